package sockets

import (
	"slices"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
)

// This file implements the network faults, each of which acts at the ends of the modelled services.

// retransmitLimit is the duration for which a machine retransmits unacknowledged packets. A connection whose packets
// are lost for longer delivers nothing any more.
const retransmitLimit = time.Second

// Vanish takes a modelled machine off the network: its connections fall silent, and dials to it time out.
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

// Return brings a vanished machine back. It no longer knows its earlier connections: they are reset.
func (n *Net) Return(host string) {
	delete(n.vanished, host)
	n.updateListenSockets()
	n.forEachConn(func(c *conn) {
		if c.machineVanished && (c.from == host || c.host == host) {
			c.reset()
		}
	})
}

// updateListenSockets blocks or unblocks each listening socket according to the faults in force.
func (n *Net) updateListenSockets() {
	for view, socket := range n.listenSockets { // the order does not matter: the sockets are independent
		socket.setBlocked(n.unreachable(view.viewer, hostOf(view.addr)))
	}
}

func (n *Net) unreachable(viewer, host string) bool {
	if viewer == "" {
		viewer = AnonymousHost
	}
	return n.vanished[host] || n.partitioned(viewer, host)
}

// silence blocks the connection permanently. To both ends it still seems open.
func (c *conn) silence() {
	c.silent, c.frozen, c.silencePlan, c.sendBuffer = true, false, nil, nil
	c.resume()
}

// Hush silences the open connections whose IDs pick accepts.
func (n *Net) Hush(pick func(conn string) bool) {
	n.forEachConn(func(c *conn) {
		if c.tcp != nil && !c.closed && pick(c.id) {
			c.silence()
		}
	})
}

// partition separates the machines that a selects from those that b selects.
type partition struct{ a, b func(host string) bool }

func (n *Net) partitioned(x, y string) bool {
	return slices.ContainsFunc(n.partitions, func(c *partition) bool { return c.a(x) && c.b(y) || c.a(y) && c.b(x) })
}

// Cut partitions two sets of machines: nothing passes between them until heal is called. A connection on which data
// was blocked for more than a second then stays silent.
func (n *Net) Cut(a, b func(host string) bool) (heal func()) {
	added := &partition{a, b}
	n.partitions = append(n.partitions, added)
	n.applyPartitions()
	return func() {
		if i := slices.Index(n.partitions, added); i >= 0 {
			n.partitions = slices.Delete(n.partitions, i, i+1)
			n.applyPartitions()
		}
	}
}

// applyPartitions freezes or unfreezes each connection according to the partitions in force.
func (n *Net) applyPartitions() {
	n.updateListenSockets()
	n.forEachConn(func(c *conn) {
		partitioned := n.partitioned(c.from, c.host)
		switch {
		case c.silent || partitioned == c.frozen:
		case partitioned:
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

// reset resets a connection at both ends.
func (c *conn) reset() {
	notified := c.closed || c.endNotified
	c.markClosed()
	c.abort()
	c.resume()
	if !notified {
		c.endNotified = true
		c.handler.End(c, link.ErrReset)
	}
}

// silenceFault is a fault during which a share of the new connections to the matching hosts fall silent.
type silenceFault struct {
	share   float64
	matches func(host string) bool
}

// silencePlan determines when a connection falls silent: in place of the response to the request number lastRequest.
type silencePlan struct {
	fault                     *silenceFault
	lastRequest, requestCount int  // the connection falls silent at request lastRequest; number of requests so far
	requestOpen               bool // no byte of the response to the last request was sent
}

// maxRequestsUntilSilent is the maximum number of requests that a connection carries until it falls silent.
const maxRequestsUntilSilent = 8

// HushNew makes a share of the connections that are accepted by the hosts matching to from now on fall silent, each
// right after it has delivered one of its requests. After stop, no further connection falls silent.
func (n *Net) HushNew(share float64, to func(host string) bool) (stop func()) {
	fault := &silenceFault{share, to}
	n.silenceFaults = append(n.silenceFaults, fault)
	return func() {
		n.silenceFaults = slices.DeleteFunc(n.silenceFaults, func(o *silenceFault) bool { return o == fault })
	}
}

func (c *conn) drawSilencePlan() {
	for _, fault := range c.net.silenceFaults {
		if !fault.matches(c.host) {
			continue
		}
		r := figure.Stream(c.net.Seed, c.id+" hush")
		if draw, lastRequest := r.Float64(), 1+r.IntN(maxRequestsUntilSilent); draw < fault.share {
			c.silencePlan = &silencePlan{fault: fault, lastRequest: lastRequest}
			return
		}
	}
}

// requestReceived records that bytes have arrived.
func (c *conn) requestReceived() {
	if plan := c.silencePlan; plan != nil && !plan.requestOpen {
		plan.requestOpen = true
		plan.requestCount++
	}
}

// beforeWrite records that bytes are about to be sent, or silences the connection if they are the response that must
// not be sent.
func (c *conn) beforeWrite() {
	plan := c.silencePlan
	if plan == nil {
		return
	}
	if plan.requestOpen && plan.requestCount == plan.lastRequest && slices.Contains(c.net.silenceFaults, plan.fault) {
		c.silence()
	}
	plan.requestOpen = false
}

// Slow does nothing on loopback; see the package comment.
func (n *Net) Slow(float64, func(host string) bool, func(host string) bool) (heal func()) {
	return func() {}
}
