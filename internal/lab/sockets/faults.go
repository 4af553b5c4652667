package sockets

import (
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
)

// The faults of the network, each at the world's end of a connection.

// resends is how long a machine goes on sending anew what is not acknowledged.
// Whatever is lost for longer is lost for good.
const resends = time.Second

// Vanish takes a machine of the world's off the network: its connections fall
// silent, and new ones to it do not come up.
func (n *Net) Vanish(host string) {
	n.absent[host] = true
	n.listen()
	n.each(func(c *conn) {
		if c.tcp != nil && (c.from == host || c.host == host) {
			c.lost = true
			c.silence()
		}
	})
}

// Return brings it back. It knows its connections no more: they break.
func (n *Net) Return(host string) {
	delete(n.absent, host)
	n.listen()
	n.each(func(c *conn) {
		if c.lost && (c.from == host || c.host == host) {
			c.reset()
		}
	})
}

// listen opens and closes the entrances, as the machines behind them are heard.
func (n *Net) listen() {
	for d, e := range n.doors { // each by itself
		e.deafen(n.unheard(d.by, hostOf(d.addr)))
	}
}

func (n *Net) unheard(by, host string) bool {
	if by == "" {
		by = Anyone
	}
	return n.absent[host] || n.parted(by, host)
}

// silence lets nothing pass any more. Both ends believe the connection open.
func (c *conn) silence() {
	c.silent, c.frozen, c.hush, c.out = true, false, nil, nil
	c.resume()
}

// Hush silences the connections picked among those that are open now.
func (n *Net) Hush(pick func(conn string) bool) {
	n.each(func(c *conn) {
		if c.tcp != nil && !c.gone && pick(c.id) {
			c.silence()
		}
	})
}

// cut parts two sets of machines.
type cut struct{ a, b func(host string) bool }

func (n *Net) parted(x, y string) bool {
	return slices.ContainsFunc(n.cuts, func(c *cut) bool { return c.a(x) && c.b(y) || c.a(y) && c.b(x) })
}

// Cut parts two sets of machines: nothing passes between them until it heals. A
// connection on which something was lost for longer than a second then stays silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	this := &cut{a, b}
	n.cuts = append(n.cuts, this)
	n.part()
	return func() {
		if i := slices.Index(n.cuts, this); i >= 0 {
			n.cuts = slices.Delete(n.cuts, i, i+1)
			n.part()
		}
	}
}

// part freezes connections, or thaws them, as the cuts have it.
func (n *Net) part() {
	n.listen()
	n.each(func(c *conn) {
		parted := n.parted(c.from, c.host)
		switch {
		case c.silent || parted == c.frozen:
		case parted:
			c.frozen, c.waiting = true, n.loop.Now()
		default:
			c.thaw()
		}
	})
}

func (c *conn) thaw() {
	now := c.n.loop.Now()
	unsent := len(c.out) > 0 || c.closing == whole || c.closing == fin && !c.finned
	if unsent && now-c.waiting > resends || c.late != nil && now-c.late.at > resends {
		c.silence()
		return
	}
	c.frozen = false
	c.flush()
	c.n.post(c.resume)
}

// reset breaks a connection under both its ends.
func (c *conn) reset() {
	heard := c.gone || c.ended
	c.leave()
	c.abort()
	c.resume()
	if !heard {
		c.ended = true
		c.h.End(c, link.ErrReset)
	}
}

// hushing is a time in which new connections may fall silent.
type hushing struct {
	share float64
	to    func(host string) bool
}

// hush is when a connection falls silent: once it has brought that many
// requests, in place of the answer to the last.
type hush struct {
	of          *hushing
	turn, turns int
	asking      bool
}

// mostTurns bounds how many requests a connection carries until it falls silent.
const mostTurns = 8

// HushNew lets a share of the connections that come to some machines from now on
// fall silent, each right after it has brought one of its requests.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	h := &hushing{share, to}
	n.hushes = append(n.hushes, h)
	return func() {
		n.hushes = slices.DeleteFunc(n.hushes, func(o *hushing) bool { return o == h })
	}
}

func (c *conn) drawHush() {
	for _, h := range c.n.hushes {
		if !h.to(c.host) {
			continue
		}
		r := figure.Stream(c.n.Seed, c.id+" hush")
		if x, turn := r.Float64(), 1+r.IntN(mostTurns); x < h.share {
			c.hush = &hush{of: h, turn: turn}
			return
		}
	}
}

// asked notes that bytes have come.
func (c *conn) asked() {
	if h := c.hush; h != nil && !h.asking {
		h.asking = true
		h.turns++
	}
}

// answers notes that bytes are about to leave, unless they are those that are not to.
func (c *conn) answers() {
	h := c.hush
	if h == nil {
		return
	}
	if h.asking && h.turns == h.turn && slices.Contains(c.n.hushes, h.of) {
		c.silence()
	}
	h.asking = false
}

// Slow does nothing here: see the package's doc.
func (n *Net) Slow(float64, func(host string) bool, func(host string) bool) (heal func()) {
	return func() {}
}
