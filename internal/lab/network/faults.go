package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
)

// retransmitLimit is how long a machine goes on sending anew what is not acknowledged.
// Whatever is lost for longer is lost for good.
const retransmitLimit = time.Second

// machine is the one at an end.
func (e *end) machine() string { return [2]string{e.conn.from, e.conn.host}[e.side] }

// Kill ends the process on a machine: its connections are reset, its listeners
// are no more, and its calls fail. What listens or dials there afterwards is
// another process.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	h := n.hosts[host]
	delete(n.hosts, host)
	for addr, l := range n.listeners { // in no order, but nothing is heard of it
		if hostOf(addr) == host {
			l.processKilled()
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.dead = true
		h.mu.Unlock()
	}
	n.forEachConn(func(c *conn) {
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
	n.vanished[host] = true
	n.forEachConn(func(c *conn) {
		if c.from == host || c.host == host {
			c.stale = true
			c.dropInFlight()
		}
	})
}

// Return brings it back. It knows its connections no more: each breaks once
// either side sends on it.
func (n *Net) Return(host string) { delete(n.vanished, host) }

// dropInFlight clears both ways.
func (c *conn) dropInFlight() {
	c.pipes[0].dropAll()
	c.pipes[1].dropAll()
}

// silence loses all that is sent from now on. Both ends believe the connection open.
func (c *conn) silence() {
	c.silent = true
	c.dropInFlight()
}

// Hush silences the connections picked among those that are open now.
func (n *Net) Hush(pick func(id string) bool) {
	n.forEachConn(func(c *conn) {
		if !c.ends[0].closed && !c.ends[1].closed && c.ends[0].up && pick(c.id) {
			c.silence()
		}
	})
}

// hostRule concerns the machines of one set and those of another.
type hostRule struct {
	a, b   func(host string) bool
	factor float64
}

func (r *hostRule) between(x, y string) bool { return r.a(x) && r.b(y) || r.a(y) && r.b(x) }

// addRule adds a rule to those in force; without takes it away, once.
func addRule(rules *[]*hostRule, r *hostRule, then func()) (without func()) {
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
	return addRule(&n.slowdowns, &hostRule{a, b, factor}, func() {})
}

// Cut parts two sets of machines. What was lost within the last second before it
// heals comes late, as machines send it again; a connection that had lost
// something earlier stays silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	return addRule(&n.partitions, &hostRule{a: a, b: b}, func() {
		n.forEachConn(func(c *conn) {
			if !n.connPartitioned(c) {
				c.heal()
			}
		})
	})
}

// connPartitioned reports whether a partition lies between the ends.
func (n *Net) connPartitioned(c *conn) bool { return n.Partitioned(c.from, c.host) }

// Partitioned reports whether a partition lies between two machines.
func (n *Net) Partitioned(a, b string) bool {
	return slices.ContainsFunc(n.partitions, func(r *hostRule) bool { return r.between(a, b) })
}

// heal goes on after a partition.
func (c *conn) heal() {
	now := c.net.loop.Now()
	for i := range c.pipes {
		if p := &c.pipes[i]; p.blocked && now-p.blockedSince > retransmitLimit {
			c.silence()
			return
		}
	}
	for i := range c.pipes {
		if p := &c.pipes[i]; p.blocked {
			p.blocked = false
			p.queue[p.head].arrivesAt = now + p.baseDelay()
			p.startTimer()
		}
	}
}

// silenceFault is a time in which new connections may fall silent.
type silenceFault struct {
	share   float64
	matches func(host string) bool
}

// silencePlan is when a connection falls silent: once it has carried that many requests
// and no byte of an answer to the last, or a moment later.
type silencePlan struct {
	fault        *silenceFault
	lastRequest  int
	delay        time.Duration
	requestCount int
	requestOpen  bool
	timer        *loop.Timer
}

// maxRequestsUntilSilent bounds how many requests a connection carries until it falls silent.
const maxRequestsUntilSilent = 8

// HushNew lets a share of the connections that are dialed to some machines from
// now on fall silent, each right after it has brought one of its requests.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	h := &silenceFault{share, to}
	n.silenceFaults = append(n.silenceFaults, h)
	return func() {
		n.silenceFaults = slices.DeleteFunc(n.silenceFaults, func(x *silenceFault) bool { return x == h })
	}
}

// drawSilencePlan draws whether a new connection will fall silent, and when.
func (n *Net) drawSilencePlan(c *conn) {
	var r *rand.Rand
	for _, h := range n.silenceFaults {
		if !h.matches(c.host) {
			continue
		}
		if r == nil {
			r = figure.Stream(n.seed, c.id+" hush")
		}
		x, turn, pause := r.Float64(), 1+r.IntN(maxRequestsUntilSilent), pieceGap(r)
		if x < h.share && c.silencePlan == nil {
			c.silencePlan = &silencePlan{fault: h, lastRequest: turn, delay: pause}
		}
	}
}

// requestReceived notes that bytes have come to an end.
func (c *conn) requestReceived(side int) {
	h := c.silencePlan
	if h == nil || side != 1 {
		return
	}
	if !h.requestOpen {
		h.requestOpen = true
		h.requestCount++
	}
	if h.requestCount == h.lastRequest && c.pipes[0].bytesInFlight == 0 {
		h.timer.Stop() // what came was not yet the whole request
		h.timer = c.net.loop.After(h.delay, c.becomeSilent)
	}
}

// responseSent notes that bytes leave an end.
func (c *conn) responseSent(side int) {
	h := c.silencePlan
	if h == nil || side != 1 {
		return
	}
	if h.requestOpen && h.requestCount == h.lastRequest {
		c.becomeSilent()
	}
	h.requestOpen = false
}

func (c *conn) becomeSilent() {
	c.silencePlan.timer.Stop()
	if slices.Contains(c.net.silenceFaults, c.silencePlan.fault) {
		c.silence()
	}
	c.silencePlan = nil
}
