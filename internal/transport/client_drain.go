package transport

import "context"

// isDraining reports whether connections are closed as soon as they are idle.
func (cs *clientConns) isDraining() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.draining
}

// startDraining closes every idle connection. Until stopDraining, each other connection is closed with its next
// response.
func (cs *clientConns) startDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.shortenLingering()
	cs.closeIdle()
}

// stopDraining ends draining: idle connections are kept open again.
func (cs *clientConns) stopDraining() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = false
}

// waitDrained closes connections as they become idle, until none is open or the context calls ends, and returns the
// number of connections that are still open. If messages too long to be buffered are in progress when calls ends, it
// waits for them until the context streams ends.
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

// closeIdle closes all idle connections and reports whether there were any. The caller must hold mu.
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

// hasNextRequest reports whether unread bytes of the next request follow a response. That request is served and the
// connection closed with its response, because a close with unread bytes resets the connection, which can lose the
// previous response. The caller must hold mu.
func (cs *clientConns) hasNextRequest(c *clientConn) bool {
	return cs.handOff == nil && c.responseWritten.Load() && hasUnread(c.Conn)
}

// rejectIncomplete rejects the requests that have not arrived completely, except long ones that are being streamed, and
// returns their number. Unread bytes may complete a request, which is read first.
func (cs *clientConns) rejectIncomplete() int64 {
	rejected := cs.decideIncomplete()
	for _, c := range rejected {
		c.log.setReason(reasonDrain)
		c.writeRejection(rejection)
		c.responseWritten.Store(true) // the response may need time to arrive: see linger
		_ = c.SetReadDeadline(expiredDeadline)
	}
	return int64(len(rejected))
}

// decideIncomplete decides the close of the connections whose request rejectIncomplete rejects, and returns them.
func (cs *clientConns) decideIncomplete() []*clientConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var incomplete []*clientConn
	for c := range cs.open {
		if c.state.request != readingRequest || c.state.closing() || c.streaming || c.responseWritten.Load() ||
			c.framing.complete(c.responseCount+1) || hasUnread(c.Conn) {
			continue
		}
		c.state.decideClose(false)
		c.moveTo(nil)
		c.rejected.Store(true)
		incomplete = append(incomplete, c)
	}
	return incomplete
}

// abort makes all reads and writes fail, also on connections that are accepted later. http.Server closes the
// connections.
func (cs *clientConns) abort() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.aborted.Store(true)
	for c := range cs.open {
		c.state.abort()
		c.moveTo(nil)
	}
}
