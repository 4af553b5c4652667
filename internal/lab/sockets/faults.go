package sockets

import (
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
)

// The faults of the network, each at the world's end of a connection.

// retransmitLimit is how long a machine goes on sending anew what is not acknowledged.
// Whatever is lost for longer is lost for good.
const retransmitLimit = time.Second

// Vanish takes a machine of the world's off the network: its connections fall
// silent, and new ones to it do not come up.
func (n *Net) Vanish(host string) {
	n.vanished[host] = true
	n.updateListenSockets()
	n.forEachConn(func(c *conn) {
		if c.tcp != nil && (c.from == host || c.host == host) {
			c.machineVanished = true
			c.silence()
		}
	})
}

// Return brings it back. It knows its connections no more: they break.
func (n *Net) Return(host string) {
	delete(n.vanished, host)
	n.updateListenSockets()
	n.forEachConn(func(c *conn) {
		if c.machineVanished && (c.from == host || c.host == host) {
			c.reset()
		}
	})
}

// updateListenSockets opens and closes the entrances, as the machines behind them are heard.
func (n *Net) updateListenSockets() {
	for d, e := range n.listenSockets { // each by itself
		e.setBlocked(n.unreachable(d.viewer, hostOf(d.addr)))
	}
}

func (n *Net) unreachable(by, host string) bool {
	if by == "" {
		by = AnonymousHost
	}
	return n.vanished[host] || n.partitioned(by, host)
}

// silence lets nothing pass any more. Both ends believe the connection open.
func (c *conn) silence() {
	c.silent, c.frozen, c.silencePlan, c.sendBuffer = true, false, nil, nil
	c.resume()
}

// Hush silences the connections picked among those that are open now.
func (n *Net) Hush(pick func(conn string) bool) {
	n.forEachConn(func(c *conn) {
		if c.tcp != nil && !c.closed && pick(c.id) {
			c.silence()
		}
	})
}

// partition parts two sets of machines.
type partition struct{ a, b func(host string) bool }

func (n *Net) partitioned(x, y string) bool {
	return slices.ContainsFunc(n.partitions, func(c *partition) bool { return c.a(x) && c.b(y) || c.a(y) && c.b(x) })
}

// Cut parts two sets of machines: nothing passes between them until it heals. A
// connection on which something was lost for longer than a second then stays silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	this := &partition{a, b}
	n.partitions = append(n.partitions, this)
	n.applyPartitions()
	return func() {
		if i := slices.Index(n.partitions, this); i >= 0 {
			n.partitions = slices.Delete(n.partitions, i, i+1)
			n.applyPartitions()
		}
	}
}

// applyPartitions freezes connections, or thaws them, as the cuts have it.
func (n *Net) applyPartitions() {
	n.updateListenSockets()
	n.forEachConn(func(c *conn) {
		parted := n.partitioned(c.from, c.host)
		switch {
		case c.silent || parted == c.frozen:
		case parted:
			c.frozen, c.blockedSince = true, n.loop.Now()
		default:
			c.unfreeze()
		}
	})
}

func (c *conn) unfreeze() {
	now := c.net.loop.Now()
	unsent := len(c.sendBuffer) > 0 || c.closing == closeBoth || c.closing == closeSending && !c.finSent
	if unsent && now-c.blockedSince > retransmitLimit || c.pendingRead != nil && now-c.pendingRead.at > retransmitLimit {
		c.silence()
		return
	}
	c.frozen = false
	c.flush()
	c.net.post(c.resume)
}

// reset breaks a connection under both its ends.
func (c *conn) reset() {
	heard := c.closed || c.endNotified
	c.markClosed()
	c.abort()
	c.resume()
	if !heard {
		c.endNotified = true
		c.handler.End(c, link.ErrReset)
	}
}

// silenceFault is a time in which new connections may fall silent.
type silenceFault struct {
	share   float64
	matches func(host string) bool
}

// silencePlan is when a connection falls silent: once it has brought that many
// requests, in place of the answer to the last.
type silencePlan struct {
	fault                     *silenceFault
	lastRequest, requestCount int
	requestOpen               bool
}

// maxRequestsUntilSilent bounds how many requests a connection carries until it falls silent.
const maxRequestsUntilSilent = 8

// HushNew lets a share of the connections that come to some machines from now on
// fall silent, each right after it has brought one of its requests.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	h := &silenceFault{share, to}
	n.silenceFaults = append(n.silenceFaults, h)
	return func() {
		n.silenceFaults = slices.DeleteFunc(n.silenceFaults, func(o *silenceFault) bool { return o == h })
	}
}

func (c *conn) drawSilencePlan() {
	for _, h := range c.net.silenceFaults {
		if !h.matches(c.host) {
			continue
		}
		r := figure.Stream(c.net.Seed, c.id+" hush")
		if x, turn := r.Float64(), 1+r.IntN(maxRequestsUntilSilent); x < h.share {
			c.silencePlan = &silencePlan{fault: h, lastRequest: turn}
			return
		}
	}
}

// requestReceived notes that bytes have come.
func (c *conn) requestReceived() {
	if h := c.silencePlan; h != nil && !h.requestOpen {
		h.requestOpen = true
		h.requestCount++
	}
}

// beforeWrite notes that bytes are about to leave, unless they are those that are not to.
func (c *conn) beforeWrite() {
	h := c.silencePlan
	if h == nil {
		return
	}
	if h.requestOpen && h.requestCount == h.lastRequest && slices.Contains(c.net.silenceFaults, h.fault) {
		c.silence()
	}
	h.requestOpen = false
}

// Slow does nothing here: see the package's doc.
func (n *Net) Slow(float64, func(host string) bool, func(host string) bool) (heal func()) {
	return func() {}
}
