package transport

import "context"

// isDraining reports whether connections are closed as they fall idle.
func (cs *clientConns) isDraining() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.draining
}

// startDraining closes every idle connection. The others are closed with their response, until stopDraining.
func (cs *clientConns) startDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.shortenLingering()
	cs.closeIdle()
}

// stopDraining lets connections be kept again.
func (cs *clientConns) stopDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = false
}

// waitDrained closes connections as they fall idle, until none is open or the time for calls is over, and returns
// how many are left. While messages too long to be buffered are on their way it waits until the time for streams is
// over.
func (cs *clientConns) waitDrained(calls, streams context.Context) int {
	wake := func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.changed.Broadcast()
	}
	defer context.AfterFunc(calls, wake)()
	defer context.AfterFunc(streams, wake)()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for len(cs.open) > 0 && (calls.Err() == nil || cs.streaming > 0 && streams.Err() == nil) {
		if !cs.closeIdle() {
			cs.changed.Wait()
		}
	}
	cs.drainEnded = true
	return len(cs.open)
}

// closeIdle closes the idle connections and reports whether there were any. The lock is held.
func (cs *clientConns) closeIdle() bool {
	var conns []*clientConn
	for c := range cs.open {
		if c.state.idle() && !c.state.closing() && !cs.hasNextRequest(c) {
			conns = append(conns, c)
		}
	}
	if len(conns) > 0 {
		cs.closeConns(reasonDrain, conns...)
	}
	return len(conns) > 0
}

// hasNextRequest reports whether bytes of the next request wait behind a response. That request is served, and its
// connection closed with it: a close over unread bytes is a reset, which might take the response with it. The lock
// is held.
func (cs *clientConns) hasNextRequest(c *clientConn) bool {
	return cs.handOff == nil && c.responseWritten.Load() && hasUnread(c.Conn)
}

// abort stops all reads and writes, on connections still to come as well. Closing them is left to http.Server.
func (cs *clientConns) abort() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.aborted.Store(true)
	for c := range cs.open {
		c.state.abort()
		c.moveTo(nil)
	}
}
