package network

import (
	"math/rand/v2"
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
)

// retransmitLimit is the duration for which a machine retransmits unacknowledged packets. A connection whose packets
// are lost for longer delivers nothing any more.
const retransmitLimit = time.Second

// machine returns the host of this end.
func (e *end) machine() string { return [2]string{e.conn.from, e.conn.host}[e.side] }

// Kill ends the process on a machine: its connections are reset, its listeners are closed, and its calls fail.
// A process that listens or dials on the machine afterwards is a new one.
func (n *Net) Kill(host string) {
	n.mu.Lock()
	h := n.hosts[host]
	delete(n.hosts, host)
	for addr, l := range n.listeners { // the order does not matter: closing a listener causes no event
		if hostOf(addr) == host {
			l.processKilled()
			delete(n.listeners, addr)
		}
	}
	n.mu.Unlock()
	if h != nil {
		h.mu.Lock()
		h.killed = true
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

// Vanish takes a machine off the network: packets from it and to it are dropped, including those in flight.
func (n *Net) Vanish(host string) {
	n.vanished[host] = true
	n.forEachConn(func(c *conn) {
		if c.from == host || c.host == host {
			c.stale = true
			c.dropInFlight()
		}
	})
}

// Return brings a vanished machine back. It no longer knows its earlier connections: each is reset once either side
// sends on it.
func (n *Net) Return(host string) { delete(n.vanished, host) }

// dropInFlight drops the packets in flight in both directions.
func (c *conn) dropInFlight() {
	c.pipes[0].dropAll()
	c.pipes[1].dropAll()
}

// silence drops the packets in flight and every later packet. To both ends the connection still seems open.
func (c *conn) silence() {
	c.silent = true
	c.dropInFlight()
}

// Hush silences the open connections whose IDs pick accepts.
func (n *Net) Hush(pick func(id string) bool) {
	n.forEachConn(func(c *conn) {
		if !c.ends[0].closed && !c.ends[1].closed && c.ends[0].up && pick(c.id) {
			c.silence()
		}
	})
}

// hostRule applies to connections between a machine that a selects and one that b selects.
type hostRule struct {
	a, b   func(host string) bool
	factor float64
}

func (r *hostRule) between(x, y string) bool { return r.a(x) && r.b(y) || r.a(y) && r.b(x) }

// addRule adds a rule to those in force. The function that it returns removes the rule and calls then; further calls
// of it do nothing.
func addRule(rules *[]*hostRule, r *hostRule, onRemove func()) (remove func()) {
	*rules = append(*rules, r)
	return func() {
		if i := slices.Index(*rules, r); i >= 0 {
			*rules = slices.Delete(*rules, i, i+1)
			onRemove()
		}
	}
}

// Slow multiplies the delays between two sets of machines by factor, for the packets that are sent until heal is
// called.
func (n *Net) Slow(factor float64, a, b func(host string) bool) (heal func()) {
	return addRule(&n.slowdowns, &hostRule{a, b, factor}, func() {})
}

// Cut partitions two sets of machines until heal is called. Packets that were blocked for at most a second when it
// heals arrive late, since machines retransmit them; a connection with packets that were blocked for longer stays
// silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	return addRule(&n.partitions, &hostRule{a: a, b: b}, func() {
		n.forEachConn(func(c *conn) {
			if !n.connPartitioned(c) {
				c.heal()
			}
		})
	})
}

// connPartitioned reports whether a partition separates the two ends of a connection.
func (n *Net) connPartitioned(c *conn) bool { return n.Partitioned(c.from, c.host) }

// Partitioned reports whether a partition separates two machines.
func (n *Net) Partitioned(a, b string) bool {
	return slices.ContainsFunc(n.partitions, func(r *hostRule) bool { return r.between(a, b) })
}

// heal resumes the delivery after a partition, or silences the connection if packets were blocked for longer than
// retransmitLimit.
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

// silenceFault is a fault during which a share of the new connections to the matching hosts fall silent.
type silenceFault struct {
	share   float64
	matches func(host string) bool
}

// silencePlan determines when a connection falls silent: after the request number lastRequest has arrived and before
// the first byte of its response is sent, but no later than delay after the last byte of the request.
type silencePlan struct {
	fault        *silenceFault
	lastRequest  int // number of the request after which the connection falls silent
	delay        time.Duration
	requestCount int  // number of requests received, including an incomplete one
	requestOpen  bool // no byte of the response to the last request was sent
	timer        *loop.Timer
}

// maxRequestsUntilSilent is the maximum number of requests that a connection carries until it falls silent.
const maxRequestsUntilSilent = 8

// HushNew makes a share of the connections that are dialed to the hosts matching to from now on fall silent, each
// right after it has delivered one of its requests. After stop, no further connection falls silent.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	fault := &silenceFault{share, to}
	n.silenceFaults = append(n.silenceFaults, fault)
	return func() {
		n.silenceFaults = slices.DeleteFunc(n.silenceFaults, func(x *silenceFault) bool { return x == fault })
	}
}

// drawSilencePlan draws whether and when a new connection falls silent.
func (n *Net) drawSilencePlan(c *conn) {
	var r *rand.Rand
	for _, fault := range n.silenceFaults {
		if !fault.matches(c.host) {
			continue
		}
		if r == nil {
			r = figure.Stream(n.seed, c.id+" hush")
		}
		draw, lastRequest, delay := r.Float64(), 1+r.IntN(maxRequestsUntilSilent), pieceGap(r)
		if draw < fault.share && c.silencePlan == nil {
			c.silencePlan = &silencePlan{fault: fault, lastRequest: lastRequest, delay: delay}
		}
	}
}

// requestReceived records that bytes have arrived at an end.
func (c *conn) requestReceived(side int) {
	plan := c.silencePlan
	if plan == nil || side != 1 {
		return
	}
	if !plan.requestOpen {
		plan.requestOpen = true
		plan.requestCount++
	}
	if plan.requestCount == plan.lastRequest && c.pipes[0].bytesInFlight == 0 {
		plan.timer.Stop() // the request had not yet arrived completely
		plan.timer = c.net.loop.After(plan.delay, c.becomeSilent)
	}
}

// responseSent records that an end sends bytes.
func (c *conn) responseSent(side int) {
	plan := c.silencePlan
	if plan == nil || side != 1 {
		return
	}
	if plan.requestOpen && plan.requestCount == plan.lastRequest {
		c.becomeSilent()
	}
	plan.requestOpen = false
}

func (c *conn) becomeSilent() {
	c.silencePlan.timer.Stop()
	if slices.Contains(c.net.silenceFaults, c.silencePlan.fault) {
		c.silence()
	}
	c.silencePlan = nil
}
