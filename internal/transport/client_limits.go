package transport

import (
	"cmp"
	"time"
)

const (
	// silentGrace is how long a new connection may send nothing once room is needed. One that sends at once has been
	// read by then, or has bytes waiting to be.
	silentGrace = 100 * time.Millisecond
	// stalledGrace is how long an incomplete request may stand still once room is needed. The one that has stood still
	// for the longest goes first, so that a request that comes in pieces outlives those that have stopped half way.
	stalledGrace = 300 * time.Millisecond
	// maxPeeks bounds how many connections are looked at for one that can be evicted.
	maxPeeks = 16
)

// DefaultOverflow is the MaxOverflow of ClientLimits that leave it at zero.
const DefaultOverflow = 32

// ClientLimits bound the client connections of a node, in connections.
type ClientLimits struct {
	// MaxOpen bounds all of them. Below 1 it counts as 1.
	MaxOpen int
	// MaxIdle bounds those between two requests; 0: none is kept. Beyond it the longest idle is closed: clients may
	// hold only so many connections to a node, and whoever sends one request and keeps the connection takes one from
	// the others.
	MaxIdle int
	// MaxOverflow is how many beyond MaxOpen are accepted to have their calls rejected; 0: DefaultOverflow.
	MaxOverflow int
}

// setLimits changes the limits, and closes idle connections that they have no room for.
func (cs *clientConns) setLimits(limits ClientLimits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxOpen = max(limits.MaxOpen, 1)
	cs.maxIdle = limits.MaxIdle
	cs.maxOverflow = cmp.Or(limits.MaxOverflow, DefaultOverflow)
	if surplus := cs.surplusIdle(); len(surplus) > 0 {
		cs.closeConns(reasonEvicted, surplus...)
	}
	cs.changed.Broadcast()
}

// surplusIdle are the longest idle connections that the limits have no room for, but for those with something to be
// read. The lock is held.
func (cs *clientConns) surplusIdle() []*clientConn {
	surplus := max(len(cs.open)-cs.maxOpen, cs.idle.Len()-cs.maxIdle)
	var conns []*clientConn
	for e := cs.idle.Front(); e != nil && len(conns) < surplus; e = e.Next() {
		if c := e.Value.(*clientConn); !hasUnread(c.Conn) {
			conns = append(conns, c)
		}
	}
	return conns
}

// makeRoom evicts connections until a new one fits. Where none can be evicted, some more are accepted, so that
// their calls are rejected soon: what a client has sent on a connection in the listener's queue counts as accepted,
// too. Beyond those makeRoom waits.
func (cs *clientConns) makeRoom() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for len(cs.open) >= cs.maxOpen && !cs.listenerClosed {
		reason, c := cs.evictionCandidate(time.Now())
		switch {
		case c != nil:
			cs.closeConns(reason, c)
		case len(cs.open) < cs.maxOpen+cs.maxOverflow:
			return
		default:
			wake := time.AfterFunc(silentGrace/2, cs.changed.Broadcast) // a silent one may have used up its grace
			cs.changed.Wait()
			wake.Stop()
		}
	}
}

// evictionCandidate finds the connection whose close costs least: one that lingers, one that never sent anything, the
// longest idle one, or one whose request has stalled; nil if there is none. One with bytes to be read is no candidate:
// they may be a complete request. The lock is held.
func (cs *clientConns) evictionCandidate(now time.Time) (closeReason, *clientConn) {
	if e := cs.lingering.Front(); e != nil {
		return reasonEvicted, e.Value.(*clientConn)
	}
	if c := cs.longestSilent(now); c != nil {
		return reasonSilent, c
	}
	if c := cs.longestIdle(); c != nil {
		return reasonEvicted, c
	}
	if c := cs.longestStalled(now); c != nil {
		return reasonStalled, c
	}
	return reasonNone, nil
}

// longestSilent is the oldest connection that nothing has come from within the grace; nil if there is none. The
// lock is held.
func (cs *clientConns) longestSilent(now time.Time) *clientConn {
	peeks := 0
	for e := cs.silent.Front(); e != nil && peeks < maxPeeks; e = e.Next() {
		peeks++
		c := e.Value.(*clientConn)
		if now.Sub(c.requestStart) < silentGrace {
			return nil
		}
		if !hasUnread(c.Conn) {
			return c
		}
	}
	return nil
}

// longestIdle is the longest idle connection that has nothing to be read; nil if there is none. The lock is held.
func (cs *clientConns) longestIdle() *clientConn {
	peeks := 0
	for e := cs.idle.Front(); e != nil && peeks < maxPeeks; e = e.Next() {
		peeks++
		if c := e.Value.(*clientConn); !hasUnread(c.Conn) {
			return c
		}
	}
	return nil
}

// longestStalled is the connection whose incomplete request has stood still for the longest, beyond the grace; nil if
// there is none. The lock is held.
func (cs *clientConns) longestStalled(now time.Time) *clientConn {
	var longest *clientConn
	for c := range cs.open { // the longest, so that the choice does not depend on the map's order
		stalled := c.state.request == readingRequest && !c.state.closing() && now.Sub(c.lastRead) >= stalledGrace
		if stalled && (longest == nil || c.lastRead.Before(longest.lastRead)) && !hasUnread(c.Conn) {
			longest = c
		}
	}
	return longest
}

// overloaded reports whether calls must be rejected to keep the limit. Requests that have stopped half way do not
// count: a complete one among them is served.
func (cs *clientConns) overloaded() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.open) <= cs.maxOpen {
		return false
	}
	calls := 0
	for c := range cs.open {
		if c.state.request == requestComplete && !c.state.closing() {
			calls++
		}
	}
	return calls > cs.maxOpen
}
