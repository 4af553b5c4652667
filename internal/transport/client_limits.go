package transport

import (
	"cmp"
	"time"
)

const (
	// silentGrace is the time for which a new connection may send nothing when the limit is reached. The bytes of a client
	// that sends at once have been read by then or wait to be read.
	silentGrace = 100 * time.Millisecond
	// stalledGrace is the time for which an incomplete request may receive no bytes when the limit is reached. The request
	// that has stalled for the longest time is evicted first, so a request that arrives in pieces is kept longer than one
	// that no longer receives bytes.
	stalledGrace = 300 * time.Millisecond
	// maxPeeks is the maximum number of connections that are checked in the search for an evictable one.
	maxPeeks = 16
)

// DefaultOverflow is the MaxOverflow, in connections, of ClientLimits that leave it at zero.
const DefaultOverflow = 32

// ClientLimits limits the client connections of a node. All limits are numbers of connections, except the last two.
type ClientLimits struct {
	// MaxOpen is the maximum number of open connections. Values below 1 count as 1.
	MaxOpen int
	// MaxIdle is the maximum number of connections between two requests; 0 means that none is kept. Beyond it the longest
	// idle connection is closed: the number of connections that clients may hold to a node is limited, and each client
	// that sends one request and keeps its connection leaves one fewer to the others.
	MaxIdle int
	// MaxOverflow is the number of connections beyond MaxOpen that are accepted so that their calls can be rejected; 0
	// means DefaultOverflow.
	MaxOverflow int
	// MaxReadAhead is the maximum number of bytes of all request bodies together that are read although their servers do
	// not take them yet; 0 means that none are. Without room for more, the node cannot tell a client that has written its
	// last byte from one that has paused, and a call ends as if that byte had been written.
	MaxReadAhead int64
	// MaxLocalAnswers is the number of requests a second that the node answers by itself, over all connections that send
	// more of them than one may; 0 means that there is no maximum.
	MaxLocalAnswers float64
}

// setLimits changes the limits and closes the idle connections that exceed them.
func (cs *clientConns) setLimits(limits ClientLimits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.maxOpen = max(limits.MaxOpen, 1)
	cs.maxIdle = limits.MaxIdle
	cs.pacer.setRate(limits.MaxLocalAnswers)
	cs.maxOverflow = cmp.Or(limits.MaxOverflow, DefaultOverflow)
	if surplus := cs.surplusIdle(); len(surplus) > 0 {
		cs.closeConns(reasonEvicted, surplus...)
	}
	cs.changed.Broadcast()
}

// surplusIdle returns the longest idle connections that exceed the limits, except those with unread bytes. The caller
// must hold mu.
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

// makeRoom evicts connections until fewer than maxOpen are open. If none can be evicted, it permits maxOverflow
// connections beyond maxOpen so that their calls are rejected promptly: bytes that a client sends on a connection in
// the listener's queue count as accepted, too. Beyond these, makeRoom blocks.
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
			wake := time.AfterFunc(silentGrace/2, cs.changed.Broadcast) // the grace of a silent connection may have expired
			cs.changed.Wait()
			wake.Stop()
		}
	}
}

// evictionCandidate returns the connection whose close costs least, and the reason for closing it: a lingering
// connection, a silent one, the longest idle one, or one whose request has stalled, in this order; nil if there is
// none. Connections with unread bytes are not candidates, because the bytes may be a complete request. The caller must
// hold mu.
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

// longestSilent returns the oldest connection from which no byte arrived within silentGrace; nil if there is none. The
// caller must hold mu.
func (cs *clientConns) longestSilent(now time.Time) *clientConn {
	peeks := 0
	for e := cs.silent.Front(); e != nil && peeks < maxPeeks; e = e.Next() {
		peeks++
		c := e.Value.(*clientConn)
		if now.Sub(c.requestStartedAt) < silentGrace {
			return nil
		}
		if !hasUnread(c.Conn) {
			return c
		}
	}
	return nil
}

// longestIdle returns the longest idle connection without unread bytes; nil if there is none. The caller must hold mu.
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

// longestStalled returns the connection whose incomplete request has received no bytes for the longest time, and at
// least for stalledGrace; nil if there is none. The caller must hold mu.
func (cs *clientConns) longestStalled(now time.Time) *clientConn {
	var longest *clientConn
	for c := range cs.open { // choosing the longest keeps the result independent of map order
		stalled := c.state.request == readingRequest && !c.state.closing() && now.Sub(c.lastReadAt) >= stalledGrace
		if stalled && (longest == nil || c.lastReadAt.Before(longest.lastReadAt)) && !hasUnread(c.Conn) {
			longest = c
		}
	}
	return longest
}

// overloaded reports whether calls must be rejected because more than maxOpen connections have a complete request.
// Incomplete requests do not count, so a complete request is served even if the others have stalled.
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
