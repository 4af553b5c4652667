package rules

import (
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/link"
)

// connKind is the direction and purpose of a connection.
type connKind uint8

const (
	fromClient  connKind = iota // from a client to a node
	toPeer                      // from a node to a peer
	toDiscovery                 // from a node to discovery
)

// conn is one connection to or from a node.
type conn struct {
	judge       *Judge
	id          string
	from        string // the host that dialed
	to          string // the address dialed
	kind        connKind
	node        *node
	incarnation int // of the node when the connection was dialed
	open        bool
	forward     flow // from the side that dialed
	backward    flow // to the side that dialed
	broken      bool // reset on at least one end
	expiring    bool // it is queued in Judge.expiring

	// Exactly one of these is set, depending on kind.
	client    *clientConn
	peer      *peerConn
	discovery *discoveryConn
}

// flow is the state of one direction of a connection. Offsets are in bytes from
// the beginning of the connection.
type flow struct {
	scan      scanner
	sent      int64         // offset up to which bytes were sent
	arrived   int64         // offset up to which bytes have reached the other machine
	read      int64         // offset up to which the receiving program has read bytes
	readAt    time.Duration // time of the last read
	ended     bool          // no further bytes are sent
	malformed bool          // the bytes cannot be parsed
}

func byID(a, b *conn) int { return strings.Compare(a.id, b.id) }

// addConn adds the connection of an event to the judge's state. It returns nil if
// neither end is a node.
func (j *Judge) addConn(c link.Event) *conn {
	k := &conn{judge: j, id: c.Conn, from: c.From, to: c.To}
	k.backward.scan.answers = true
	host, isNodePort := strings.CutSuffix(c.To, nodePort)
	server := j.nodes[host]
	k.node = j.nodes[c.From]
	switch {
	case isNodePort && server != nil:
		k.kind = fromClient
		k.node = server
		k.client = &clientConn{conn: k}
	case k.node == nil:
		return nil
	case slices.Contains(j.config.Discovery, c.To):
		k.kind = toDiscovery
		k.discovery = &discoveryConn{conn: k}
		k.backward.scan.storeBody = true
	default:
		k.kind = toPeer
		k.peer = &peerConn{conn: k}
	}
	k.incarnation = k.node.incarnation
	k.node.conns[k] = struct{}{}
	j.conns[k.id] = k
	if input, marked := j.malformedConns[k.id]; marked && k.client != nil {
		delete(j.malformedConns, k.id)
		k.client.markMalformed(input)
	}
	return k
}

// observe handles one event of the connection.
func (k *conn) observe(c link.Event) {
	f := &k.forward
	if c.Back {
		f = &k.backward
	}
	switch c.Kind {
	case link.Dial:
		k.dialed()
	case link.Open:
		k.opened()
	case link.Fail:
		k.reset(true)
		k.reset(false)
	case link.Sent:
		k.scan(f, c.Back, c.Data)
	case link.Arrived:
		f.arrived += int64(len(c.Data))
		k.arrived(c.Back, len(c.Data) == 0 && c.Note == "fin")
	case link.Read:
		f.read += int64(len(c.Data))
		f.readAt = k.judge.now
	case link.Finished:
		k.finishedSending(f, c.Back)
	case link.Closed:
		k.finishedSending(f, c.Back)
		k.expireAt(c.Back)
	case link.Reset:
		if c.Note == "killed" && k.atNode(c.Back) {
			k.killed(c.At)
		} else {
			k.reset(c.Back)
		}
	}
}

// atNode reports whether a side of the connection is the node. back is true for
// the side that accepted the connection.
func (k *conn) atNode(back bool) bool { return back == (k.kind == fromClient) }

// expireAt queues the connection for removal once its node's side is closed.
// Until then the node may still write to it.
func (k *conn) expireAt(back bool) {
	if k.atNode(back) && !k.expiring {
		k.expiring = true
		k.judge.expireLater(k.judge.now, expiry{conn: k})
	}
}

// scan parses bytes that were sent in one direction.
func (k *conn) scan(f *flow, back bool, b []byte) {
	if f.malformed {
		f.sent += int64(len(b))
		return
	}
	for {
		n, e := f.scan.next(b)
		f.sent += int64(n)
		b = b[n:]
		if e != needMore {
			k.dispatch(f, back, e)
		}
		if e == malformedMessage {
			f.malformed = true
		}
		if f.malformed { // dispatch may have set it too
			f.sent += int64(len(b))
			return
		}
		if n == 0 && e == needMore {
			return
		}
	}
}

// dispatch passes a scan event at offset f.sent to the handler for the kind and
// direction of the connection.
func (k *conn) dispatch(f *flow, back bool, e scanEvent) {
	m := &f.scan.message
	switch {
	case k.client != nil && back:
		k.client.answer(e, m)
	case k.client != nil:
		k.client.request(e, m)
	case k.peer != nil && back:
		k.peer.answer(e, m)
	case k.peer != nil:
		k.peer.request(e, m)
	case back:
		k.discovery.answer(e, m)
	default:
		k.discovery.request(e, m)
	}
}

// dialed is called when the connection is dialed.
func (k *conn) dialed() {
	if k.discovery != nil {
		k.discovery.dialed()
	}
}

// opened is called when the connection is established at a side; only the first
// call has an effect.
func (k *conn) opened() {
	if k.open {
		return
	}
	k.open = true
	switch {
	case k.client != nil:
		k.client.opened()
	case k.peer != nil:
		k.peer.name = k.judge.peerNames[k.to]
	}
}

// arrived is called when more bytes have reached the other machine, or the end
// of the sender's bytes, in which case end is true.
func (k *conn) arrived(back, end bool) {
	switch {
	case k.client != nil && !back:
		k.client.arrived(end)
	case k.peer != nil && back:
		k.peer.arrived()
	case k.discovery != nil:
		k.discovery.arrived(back)
	}
}

// finishedSending is called when one side has ended its sending or closed the
// connection.
func (k *conn) finishedSending(f *flow, back bool) {
	if f.ended {
		return
	}
	f.ended = true
	if f.scan.end() {
		k.dispatch(f, back, messageComplete)
	}
	switch {
	case k.client != nil && back:
		k.client.nodeEnded()
	case k.client != nil:
		k.client.clientEnded()
	case k.peer != nil:
		k.peer.closed(!back)
	default:
		k.discovery.closed(back)
	}
}

// reset is called when one end of the connection was reset.
func (k *conn) reset(back bool) {
	k.broken = true
	k.forward.ended = true
	k.backward.ended = true
	switch {
	case k.client != nil:
		k.client.reset(back)
	case k.peer != nil:
		k.peer.closed(false)
	default:
		k.discovery.reset()
	}
	k.expireAt(back)
}

// killed is called when the node's process was killed, which ends its
// connections.
func (k *conn) killed(at time.Duration) {
	if k.client != nil {
		k.client.killed(at)
	} else if k.peer != nil {
		k.peer.closed(true)
	}
	k.broken = true
	k.expireAt(k.kind == fromClient)
}
