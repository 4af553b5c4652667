package transport

import (
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// clientConn is a client connection. http.Server reads and writes it.
type clientConn struct {
	Conn
	conns *clientConns
	log   *connLog

	// The fields down to lingerUntil are guarded by the lock of conns.

	state clientState
	// list is the list of conns that holds the connection, at element; nil: none does.
	list    *list.List
	element *list.Element
	// requestStart is when the connection was accepted, or the first byte of the current request was read.
	requestStart time.Time
	// lastRead is when bytes were last read.
	lastRead time.Time
	// responses counts the requests that were answered.
	responses int
	// streaming: a message too long to be buffered is on its way.
	streaming bool
	// framing follows the requests in the bytes that are read.
	framing requestFraming
	// lingerUntil is when lingering ends at the latest.
	lingerUntil time.Time

	// For Read, of which one runs at a time. The functions are kept here, since a method value allocates.

	readBuf    []byte
	beforeRead func() error
	afterRead  func(n int)

	// responseWritten: bytes were written since the current request began, or to the one before it.
	responseWritten atomic.Bool
	deadlines       connDeadlines
}

// checkReadable returns the error of a read that may not go on. The lock is held.
func (c *clientConn) checkReadable() error {
	switch {
	case !c.state.closing():
		return nil
	case c.conns.handOff != nil:
		return io.EOF // http.Server would answer any other error, to a client that belongs to another process by now
	}
	return net.ErrClosed
}

// noteRead notes that n bytes were read. The lock is held.
func (c *clientConn) noteRead(n int) {
	if c.state.beginRequest() {
		c.requestStart = time.Now()
		c.responseWritten.Store(false)
	}
	c.moveTo(nil)
	c.lastRead = time.Now()
	c.framing.feed(c.readBuf[:n])
	c.state.noteRead(c.furtherStarted())
}

// furtherStarted reports whether a request behind the current one has started. The lock is held.
func (c *clientConn) furtherStarted() bool { return c.framing.started > c.responses+1 }

// finishRequest notes that the current request has been answered. The lock is held.
func (c *clientConn) finishRequest() {
	c.responses++
	c.state.finishRequest(c.furtherStarted())
	if !c.state.idle() { // the request before it has used up none of its time
		c.requestStart = time.Now()
		c.lastRead = c.requestStart
	}
}

// completeRequest notes that the current request has been read to its end, and reports whether it may be forwarded.
// The connection may have been closed for standing still just before, though the last bytes had come.
func (c *clientConn) completeRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.completeRequest()
	return !c.state.closing()
}

// noteUnreadPipelined notes that bytes wait behind a request that is open.
func (c *clientConn) noteUnreadPipelined() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.noteUnread()
}

// isClosing reports whether the close is decided.
func (c *clientConn) isClosing() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.closing()
}

// requestArrived reports whether all of the current request has come.
func (c *clientConn) requestArrived() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.request == requestComplete || c.framing.complete(c.responses+1)
}

// requestStarted is when the first byte of the current request was read.
func (c *clientConn) requestStarted() time.Time {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.requestStart
}

// wasPipelined reports whether the current request began to come while the one before it was open.
func (c *clientConn) wasPipelined() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.pipelined
}

// hasPipelinedRequest reports whether a further request, or a part of it, has been read behind the current one,
// whose end is beyond doubt. No more is read while that one is open: see watchForClose.
func (c *clientConn) hasPipelinedRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.nextStarted && !c.framing.ambiguousAt(c.responses+1)
}

// framingAmbiguous reports whether the head of the current request leaves any doubt about where the request ends.
func (c *clientConn) framingAmbiguous() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.ambiguousAt(c.responses + 1)
}

// mustCloseAfterRequest reports whether the framing of the current request's body ends the connection.
func (c *clientConn) mustCloseAfterRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.isLast(c.responses + 1)
}

// moveTo moves the connection to the end of a list, or with nil out of any. The lock is held.
func (c *clientConn) moveTo(l *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = l
	if l != nil {
		c.element = l.PushBack(c)
	}
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.conns.aborted.Load() {
		return 0, net.ErrClosed
	}
	c.responseWritten.Store(true)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.log.setReason(reasonClientGone)
	}
	return n, err
}

// CloseWrite implements Conn. It does nothing once the close is decided: another process may go on with the
// connection.
func (c *clientConn) CloseWrite() error {
	if c.isClosing() {
		return net.ErrClosed
	}
	return c.Conn.CloseWrite()
}

// Close implements net.Conn, and lets the last response arrive first: see linger. A connection that is being handed
// off is closed by whoever sends it: http.Server, whose read finds it closing, would close the descriptor under the
// sending.
func (c *clientConn) Close() error {
	c.conns.mu.Lock()
	reason := reasonNodeClosed
	if c.conns.draining {
		reason = reasonDrain
	}
	handedOff := c.state.handedOff
	c.conns.mu.Unlock()
	if handedOff {
		return nil
	}
	c.log.setReason(reason)
	c.linger()
	return c.closeNow(reason)
}

// closeNow closes the connection without lingering, for a reason unless an earlier one is known.
func (c *clientConn) closeNow(reason closeReason) error {
	c.log.logEnd(reason)
	return c.Conn.Close()
}
