package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
)

// resends is how long a machine goes on sending anew what is not acknowledged.
// Whatever is lost for longer is lost for good.
const resends = time.Second

// machine is the one at an end.
func (e *end) machine() string { return [2]string{e.c.from, e.c.host}[e.side] }

// Kill ends the process on a machine: its connections are reset, its listeners
// are no more, and its calls fail. What listens or dials there afterwards is
// another process.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	h := n.hosts[host]
	delete(n.hosts, host)
	for addr, l := range n.listeners { // in no order, but nothing is heard of it
		if hostOf(addr) == host {
			l.die()
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.dead = true
		h.mu.Unlock()
	}
	n.each(func(c *conn) {
		for i := range c.ends {
			e := &c.ends[i]
			if e.machine() != host || !e.held {
				continue
			}
			if e.port != nil {
				e.port.kill()
			}
			e.abort("killed")
		}
	})
}

// Vanish takes a machine off the network: what it sends and is sent is lost.
// Whatever was on its way is, too.
func (n *Net) Vanish(host string) {
	n.absent[host] = true
	n.each(func(c *conn) {
		if c.from == host || c.host == host {
			c.stale = true
			c.lose()
		}
	})
}

// Return brings it back. It knows its connections no more: each breaks once
// either side sends on it.
func (n *Net) Return(host string) { delete(n.absent, host) }

// lose clears both ways.
func (c *conn) lose() {
	c.pipes[0].clear()
	c.pipes[1].clear()
}

// silence loses all that is sent from now on. Both ends believe the connection open.
func (c *conn) silence() {
	c.silent = true
	c.lose()
}

// Hush silences the connections picked among those that are open now.
func (n *Net) Hush(pick func(id string) bool) {
	n.each(func(c *conn) {
		if !c.ends[0].gone && !c.ends[1].gone && c.ends[0].up && pick(c.id) {
			c.silence()
		}
	})
}

// rule concerns the machines of one set and those of another.
type rule struct {
	a, b   func(host string) bool
	factor float64
}

func (r *rule) between(x, y string) bool { return r.a(x) && r.b(y) || r.a(y) && r.b(x) }

// with adds a rule to those in force; without takes it away, once.
func with(rules *[]*rule, r *rule, then func()) (without func()) {
	*rules = append(*rules, r)
	return func() {
		if i := slices.Index(*rules, r); i >= 0 {
			*rules = slices.Delete(*rules, i, i+1)
			then()
		}
	}
}

// Slow makes the delays between two sets of machines times longer, for all that
// is sent until healed.
func (n *Net) Slow(factor float64, a, b func(host string) bool) (heal func()) {
	return with(&n.slows, &rule{a, b, factor}, func() {})
}

// Cut parts two sets of machines. What was lost within the last second before it
// heals comes late, as machines send it again; a connection that had lost
// something earlier stays silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	return with(&n.cuts, &rule{a: a, b: b}, func() {
		n.each(func(c *conn) {
			if !n.parted(c) {
				c.mend()
			}
		})
	})
}

// parted reports whether a partition lies between the ends.
func (n *Net) parted(c *conn) bool { return n.Parted(c.from, c.host) }

// Parted reports whether a partition lies between two machines.
func (n *Net) Parted(a, b string) bool {
	return slices.ContainsFunc(n.cuts, func(r *rule) bool { return r.between(a, b) })
}

// mend goes on after a partition.
func (c *conn) mend() {
	now := c.n.loop.Now()
	for i := range c.pipes {
		if p := &c.pipes[i]; p.stuck && now-p.since > resends {
			c.silence()
			return
		}
	}
	for i := range c.pipes {
		if p := &c.pipes[i]; p.stuck {
			p.stuck = false
			p.queue[p.head].at = now + p.base()
			p.arm()
		}
	}
}

// hushing is a time in which new connections may fall silent.
type hushing struct {
	share float64
	to    func(host string) bool
}

// hush is when a connection falls silent: once it has carried that many requests
// and no byte of an answer to the last, or a moment later.
type hush struct {
	of     *hushing
	turn   int
	pause  time.Duration
	turns  int
	asking bool
	due    *loop.Timer
}

// mostTurns bounds how many requests a connection carries until it falls silent.
const mostTurns = 8

// HushNew lets a share of the connections that are dialed to some machines from
// now on fall silent, each right after it has brought one of its requests.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	h := &hushing{share, to}
	n.hushes = append(n.hushes, h)
	return func() {
		n.hushes = slices.DeleteFunc(n.hushes, func(x *hushing) bool { return x == h })
	}
}

// drawHush draws whether a new connection will fall silent, and when.
func (n *Net) drawHush(c *conn) {
	var r *rand.Rand
	for _, h := range n.hushes {
		if !h.to(c.host) {
			continue
		}
		if r == nil {
			r = figure.Stream(n.seed, c.id+" hush")
		}
		x, turn, pause := r.Float64(), 1+r.IntN(mostTurns), gap(r)
		if x < h.share && c.hush == nil {
			c.hush = &hush{of: h, turn: turn, pause: pause}
		}
	}
}

// asked notes that bytes have come to an end.
func (c *conn) asked(side int) {
	h := c.hush
	if h == nil || side != 1 {
		return
	}
	if !h.asking {
		h.asking = true
		h.turns++
	}
	if h.turns == h.turn && c.pipes[0].flying == 0 {
		h.due.Stop() // what came was not yet the whole request
		h.due = c.n.loop.After(h.pause, c.fallSilent)
	}
}

// answered notes that bytes leave an end.
func (c *conn) answered(side int) {
	h := c.hush
	if h == nil || side != 1 {
		return
	}
	if h.asking && h.turns == h.turn {
		c.fallSilent()
	}
	h.asking = false
}

func (c *conn) fallSilent() {
	c.hush.due.Stop()
	if slices.Contains(c.n.hushes, c.hush.of) {
		c.silence()
	}
	c.hush = nil
}
