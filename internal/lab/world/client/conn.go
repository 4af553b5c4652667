package client

import (
	"slices"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
)

// conn is a client's connection to a node. It carries one request at a time,
// or, where the crowd pipelines, two.
type conn struct {
	crowd  *Crowd
	link   link.Conn
	addr   string
	parser *http1.Parser
	open   []*try // whose answers are still to come, in order
	up     bool
	heard  bool // bytes have come since the last whole answer
	keeps  bool // after one request it is kept, and never used again
	last   bool // it carries no further request
	gone   bool
}

// place finds a connection for a try: one of its own if it is such, else one
// that is idle, else a new one. Where all are busy and the nodes' share of
// them is used up, it waits.
func (c *Crowd) place(t *try) {
	if !c.placed(t) {
		c.waiting = append(c.waiting, t)
	}
}

func (c *Crowd) placed(t *try) bool {
	if !t.fresh && !t.resent {
		if k := c.reuse(t); k != nil {
			k.take(t)
			return true
		}
	}
	return c.dial(t)
}

func (c *Crowd) reuse(t *try) *conn {
	if t.pipelined {
		for _, k := range c.conns {
			if k.up && !k.last && !k.keeps && len(k.open) == 1 && k.open[0].sent {
				return k
			}
		}
	}
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return k
	}
	return nil
}

// looks is how often the front is asked for a node to which the crowd may open
// one more connection.
const looks = 4

func (c *Crowd) dial(t *try) bool {
	for range looks {
		addr, ok := c.env.Front.Pick(c.conf.Zone, t.draws)
		if !ok {
			t.over(unreached, 0)
			return true
		}
		if c.conf.Conns > 0 && c.held[addr] >= c.conf.Conns {
			continue
		}
		c.held[addr]++
		k := &conn{crowd: c, addr: addr, parser: http1.NewResponseParser(), last: t.fresh, open: []*try{t}}
		t.conn = k
		c.conns = append(c.conns, k)
		k.link = c.env.Fabric.Dial(c.conf.Name, addr, dialTimeout, k)
		k.keeps = figure.Stream(c.env.Seed, "keeps "+k.link.ID()).Float64() < c.conf.Keep
		return true
	}
	return false
}

// unplace takes a try off its connection. Off those that wait it is taken by stir.
func (c *Crowd) unplace(t *try) {
	if k := t.conn; k != nil {
		k.open = slices.DeleteFunc(k.open, func(o *try) bool { return o == t })
		t.conn = nil
	}
}

// stir lets tries that wait have what has become free.
func (c *Crowd) stir() {
	if c.stirs { // what is placed may end at once
		return
	}
	c.stirs = true
	defer func() { c.stirs = false }()
	for len(c.waiting) > 0 {
		waiting := c.waiting
		t := waiting[0]
		c.waiting = waiting[1:]
		if !t.ended && !c.placed(t) {
			c.waiting = waiting
			return
		}
		waiting[0] = nil
	}
}

func (k *conn) take(t *try) {
	t.conn = k
	k.open = append(k.open, t)
	t.start()
}

// Up implements link.Handler.
func (k *conn) Up(link.Conn) {
	k.up = true
	if len(k.open) > 0 {
		k.open[0].start()
	}
}

// Data implements link.Handler.
func (k *conn) Data(_ link.Conn, b []byte) {
	k.heard = true
	k.parser.Feed(b)
	k.read()
}

func (k *conn) read() {
	for !k.gone {
		m, err := k.parser.Next()
		switch {
		case err != nil || m != nil && len(k.open) == 0: // no answer, or nobody's
			k.leave(true, broken)
			return
		case m == nil:
			return
		}
		t := k.open[0]
		whole := t.sent
		k.heard = k.parser.Buffered() > 0
		k.last = k.last || m.Close
		t.answered(m)
		k.rest(whole)
	}
}

// rest is what becomes of the connection after an answer.
func (k *conn) rest(whole bool) {
	switch {
	case k.gone || len(k.open) > 0:
	case k.last || !whole: // an answer that came before the request was whole ends both
		k.leave(false, broken)
	case !k.keeps:
		k.crowd.idle = append(k.crowd.idle, k)
		k.crowd.stir()
	}
}

// leave ends the connection; tries that are on it end so.
func (k *conn) leave(hard bool, end func(*try) outcome) {
	if k.gone {
		return
	}
	if hard {
		k.link.Reset()
	} else {
		k.link.Close()
	}
	k.forget(end)
}

// broken is how tries end whose connection does.
func broken(*try) outcome { return failed }

// End implements link.Handler.
func (k *conn) End(c link.Conn, err error) {
	if err == link.ErrEOF {
		k.parser.Close()
		k.read() // an answer without a length is whole now
		if k.gone {
			return
		}
		c.Close()
	}
	unread := -1 // the place of the try that was provably not read: those before it may have been
	if n := len(k.open) - 1; err == link.ErrUnread && (n > 0 || !k.heard) {
		unread = n
	}
	place := -1
	k.forget(func(t *try) outcome {
		place++
		switch {
		case place == unread && !t.resent:
			return again
		case place == unread, err == link.ErrRefused, err == link.ErrTimedOut, !t.sent:
			return unreached
		}
		return failed
	})
}

// again is no outcome: the node had not read the whole request, and the client
// sends it once more, with the same id, on a new connection. That is the
// platform's rule, and holds for unsafe requests too. Where a connection ended
// any other way, the node may have read it, and the client must not.
const again outcome = -1

// forget takes the connection off the crowd's books, once it is closed.
func (k *conn) forget(end func(*try) outcome) {
	c := k.crowd
	k.gone = true
	c.held[k.addr]--
	same := func(o *conn) bool { return o == k }
	c.conns, c.idle = slices.DeleteFunc(c.conns, same), slices.DeleteFunc(c.idle, same)
	open := k.open
	k.open = nil
	for _, t := range open {
		t.conn = nil
		if o := end(t); o != again {
			t.over(o, 0)
			continue
		}
		t.resent, t.sent = true, false
		t.leave.Stop()
		t.write.Stop()
		c.place(t)
	}
	c.stir()
}
