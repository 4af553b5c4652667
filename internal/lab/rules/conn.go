package rules

import (
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/link"
)

// connKind is what a connection is for.
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
	incarnation int // of the node
	open        bool
	forward     flow // from the side that dialed
	backward    flow
	broken      bool // reset at one end at least
	expiring    bool // it stands among those to be forgotten

	// One of these is not nil, by kind.
	client    *clientConn
	peer      *peerConn
	discovery *discoveryConn
}

// flow is one direction of a connection. Offsets count its bytes from the
// beginning of the connection.
type flow struct {
	scan      scanner
	sent      int64 // offset up to which bytes left the sending machine
	arrived   int64 // offset up to which they reached the other machine
	read      int64 // offset up to which the program there read them
	ended     bool  // no byte is sent any more
	malformed bool  // what is sent cannot be parsed
}

func byID(a, b *conn) int { return strings.Compare(a.id, b.id) }

// track adds a connection. It returns nil if it is not a node's.
func (j *Judge) track(c link.Event) *conn {
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

// observe takes in one event.
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

// atNode reports whether a side is the node's.
func (k *conn) atNode(back bool) bool { return back == (k.kind == fromClient) }

// expireAt marks the connection to be forgotten once it is closed at its node's
// side. Until then the node may go on writing to it.
func (k *conn) expireAt(back bool) {
	if k.atNode(back) && !k.expiring {
		k.expiring = true
		k.judge.expireLater(k.judge.now, expiry{conn: k})
	}
}

// scan parses bytes that were sent.
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
		if f.malformed { // dispatch may have found so as well
			f.sent += int64(len(b))
			return
		}
		if n == 0 && e == needMore {
			return
		}
	}
}

// dispatch passes on what a scanner found, at the offset f.sent.
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

// dialed: the connection was asked for.
func (k *conn) dialed() {
	if k.discovery != nil {
		k.discovery.dialed()
	}
}

// opened: the connection is up at one side; the first counts.
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

// arrived: more bytes, or the end of them, have reached the other machine.
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

// finishedSending: one side has ended its sending, or closed.
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

// reset: one end was reset.
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

// killed: the process of the node was killed, and its connections with it.
func (k *conn) killed(at time.Duration) {
	if k.client != nil {
		k.client.killed(at)
	} else if k.peer != nil {
		k.peer.closed(true)
	}
	k.broken = true
	k.expireAt(k.kind == fromClient)
}
