package rules

import (
	"strings"
	"time"

	"olivebridge/internal/lab/link"
)

// kind is what a connection is for.
type kind uint8

const (
	fromClient kind = iota // to a node
	toPeer                 // from a node
	toDiscovery
)

// conn is one connection to or from a node.
type conn struct {
	j        *Judge
	id       string
	from, to string
	kind     kind
	node     *node
	life     int // of the node
	open     bool
	fwd      flow // from the side that dialed
	back     flow
	broken   bool // reset at one end at least
	forgot   bool // it is to be forgotten

	client *clientConn
	peer   *peerConn
	ask    *askConn
}

// flow is one direction. Offsets count its bytes from the connection's begin.
type flow struct {
	scan                scanner
	sent, arrived, read int64
	ended               bool // no byte is sent any more
	spoilt              bool // what is sent cannot be read
}

func byID(a, b *conn) int { return strings.Compare(a.id, b.id) }

// meet takes up a connection if it is one of a node's.
func (j *Judge) meet(c link.Crossing) *conn {
	k := &conn{j: j, id: c.Conn, from: c.From, to: c.To}
	k.back.scan.answers = true
	if n := j.nodes[strings.TrimSuffix(c.To, nodePort)]; n != nil && strings.HasSuffix(c.To, nodePort) {
		k.kind, k.node, k.client = fromClient, n, &clientConn{conn: k}
	} else if k.node = j.nodes[c.From]; k.node == nil {
		return nil
	} else if j.isDiscovery(c.To) {
		k.kind, k.ask = toDiscovery, &askConn{conn: k}
		k.back.scan.keep = true
	} else {
		k.kind, k.peer = toPeer, &peerConn{conn: k}
	}
	k.life = k.node.life
	k.node.conns[k] = struct{}{}
	j.conns[k.id] = k
	if m, ok := j.bad[k.id]; ok && k.client != nil {
		delete(j.bad, k.id)
		k.client.mark(m)
	}
	return k
}

func (j *Judge) isDiscovery(addr string) bool {
	for _, a := range j.c.Discovery {
		if a == addr {
			return true
		}
	}
	return false
}

// see takes in one crossing.
func (k *conn) see(c link.Crossing) {
	f := &k.fwd
	if c.Back {
		f = &k.back
	}
	switch c.What {
	case link.Dial:
		if k.ask != nil {
			k.ask.dialed()
		}
	case link.Open:
		if !k.open {
			k.open = true
			k.opened()
		}
	case link.Fail:
		k.broke(true)
		k.broke(false)
	case link.Sent:
		k.scan(f, c.Back, c.Data)
	case link.Arrived:
		f.arrived += int64(len(c.Data))
		k.arrived(c.Back, len(c.Data) == 0 && c.Note == "fin")
	case link.Read:
		f.read += int64(len(c.Data))
	case link.Fin:
		k.finished(f, c.Back)
	case link.Shut:
		k.finished(f, c.Back)
		k.forgetAt(c.Back)
	case link.Broke:
		if c.Note == "killed" && k.atNode(c.Back) {
			k.killed(c.At)
		} else {
			k.broke(c.Back)
		}
	}
}

// atNode reports whether a side is the node's.
func (k *conn) atNode(back bool) bool { return back == (k.kind == fromClient) }

// forgetAt lets the connection go once it is over at its node's side. Until
// then the node may go on writing to it.
func (k *conn) forgetAt(back bool) {
	if k.atNode(back) && !k.forgot {
		k.forgot = true
		k.j.forget(k.j.now, ended{conn: k})
	}
}

// scan reads bytes that were sent.
func (k *conn) scan(f *flow, back bool, b []byte) {
	if f.spoilt {
		f.sent += int64(len(b))
		return
	}
	for {
		n, e := f.scan.next(b)
		f.sent += int64(n)
		b = b[n:]
		if e != none {
			k.met(f, back, e)
		}
		if f.spoilt = f.spoilt || e == spoilt; f.spoilt {
			f.sent += int64(len(b))
			return
		}
		if n == 0 && e == none {
			return
		}
	}
}

// met passes on what a scanner met; f.sent is where.
func (k *conn) met(f *flow, back bool, e event) {
	m := &f.scan.m
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
		k.ask.answer(e, m)
	default:
		k.ask.request(e, m)
	}
}

// opened: it is up.
func (k *conn) opened() {
	switch {
	case k.client != nil:
		k.client.opened()
	case k.peer != nil:
		k.peer.name = k.j.at[k.to]
	}
}

// arrived: more bytes have come to the other side, or the end of them has.
func (k *conn) arrived(back, end bool) {
	switch {
	case k.client != nil && !back:
		k.client.arrived(end)
	case k.peer != nil && back:
		k.peer.arrived()
	case k.ask != nil:
		k.ask.arrived(back)
	}
}

// finished: one side has ended its sending, or closed.
func (k *conn) finished(f *flow, back bool) {
	if f.ended {
		return
	}
	f.ended = true
	if f.scan.end() {
		k.met(f, back, whole)
	}
	switch {
	case k.client != nil && back:
		k.client.nodeEnded()
	case k.client != nil:
		k.client.left()
	case k.peer != nil:
		k.peer.ended(!back)
	default:
		k.ask.ended(back)
	}
}

// broke: one end was reset.
func (k *conn) broke(back bool) {
	k.broken = true
	k.fwd.ended, k.back.ended = true, true
	switch {
	case k.client != nil:
		k.client.broke(back)
	case k.peer != nil:
		k.peer.ended(false)
	default:
		k.ask.broke()
	}
	k.forgetAt(back)
}

// killed: the node's process is gone, and all of its connections with it.
func (k *conn) killed(at time.Duration) {
	if k.client != nil {
		k.client.killed(at)
	} else if k.peer != nil {
		k.peer.ended(true)
	}
	k.broken = true
	k.forgetAt(k.kind == fromClient)
}
