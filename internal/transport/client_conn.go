package transport

import (
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// clientConn is a client connection of a Frontend. http.Server reads from it and writes to it.
type clientConn struct {
	Conn
	conns *clientConns
	log   *connLog

	// forwarded reports whether a server has answered the current request. It belongs to http.Server's goroutine, as does
	// allowance.
	forwarded bool
	allowance answerAllowance

	// conns.mu guards the fields from waited to lingerUntil.

	// waited reports whether bytes of the current request, or the next one if there is none, may have waited unread: in
	// the listener's queue or during a pause.
	waited bool

	state clientState
	// list is the list of conns that contains the connection, as element; nil if the connection is in none.
	list    *list.List
	element *list.Element
	// requestStartedAt is the time when the first byte of the current request was read or, for a pipelined one, when the
	// previous request was answered; the time when the connection was accepted if there was no request yet.
	requestStartedAt time.Time
	// lastReadAt is the time when bytes were last read. If these waited in the listener's queue, it is the time of their
	// arrival.
	lastReadAt time.Time
	// responseCount is the number of requests that have been answered.
	responseCount int
	// streaming reports whether the connection carries a message that is too long to be buffered.
	streaming bool
	// framing parses the boundaries of requests in the bytes that are read.
	framing requestFraming
	// headCharge is the memory that is charged for the head of the current request.
	headCharge int64
	// lingerUntil is the latest time at which lingering ends.
	lingerUntil time.Time

	// The following fields belong to Read, which is not called concurrently. They hold the two functions because creating
	// a method value allocates.

	readBuf []byte
	// headFault is the reason for which the request is rejected whose head was read last; reasonNone if it is not.
	headFault  closeReason
	beforeRead func() error
	afterRead  func(n int)

	// responseWritten reports whether response bytes have been written for the current request or, while none has begun,
	// for the previous one.
	responseWritten atomic.Bool
	// rejected reports whether the current request is rejected since its connection is evicted. Nothing else is written
	// then.
	rejected  atomic.Bool
	deadlines connDeadlines
}

// errReadAfterClose is the error of a read after the close of the connection is decided. As an error of a read it makes
// http.Server close the connection; it answers most other errors with a 400, and the client may just have sent a
// request, which is unread and which it sends again.
var errReadAfterClose = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// checkReadable returns the error with which a read must fail because the close is decided; nil if reading may
// continue. The caller must hold conns.mu.
func (c *clientConn) checkReadable() error {
	switch {
	case !c.state.closing():
		return nil
	case c.conns.handOff != nil:
		return io.EOF // http.Server answers any other error, but the client belongs to another process now
	}
	return errReadAfterClose
}

// noteRead records that n bytes were read. The caller must hold conns.mu.
func (c *clientConn) noteRead(n int) {
	begins := c.state.beginRequest()
	if begins {
		c.requestStartedAt = time.Now()
		c.responseWritten.Store(false)
		if c.responseCount > 0 {
			// Until four bytes have arrived, http.Server waits for the request under the deadline of an idle connection, and
			// closes the connection without an answer when it expires.
			c.extendIdleDeadline(c.requestStartedAt.Add(headTimeout))
		}
	}
	c.moveTo(nil)
	c.lastReadAt = time.Now()
	if c.waited && begins {
		c.noteWaitedRead()
	}
	c.framing.feed(c.readBuf[:n])
	c.headFault = c.checkHead()
	c.state.noteRead(c.laterRequestStarted())
}

// laterRequestStarted reports whether a request after the current one has started. The caller must hold conns.mu.
func (c *clientConn) laterRequestStarted() bool { return c.framing.startedCount > c.responseCount+1 }

// finishRequest records that the current request has been answered. The caller must hold conns.mu.
func (c *clientConn) finishRequest() {
	c.responseCount++
	c.waited = false
	c.state.finishRequest(c.laterRequestStarted())
	if !c.state.idle() { // the time spent on the previous request does not count for a pipelined one
		c.requestStartedAt = time.Now()
		c.lastReadAt = c.requestStartedAt
	}
}

// completeRequest records that the current request has been read completely, and reports whether it may be forwarded.
// It may not if the connection was closed as stalled just before, even though the last bytes had arrived.
func (c *clientConn) completeRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.completeRequest()
	return !c.state.closing()
}

// noteUnreadPipelined records that unread bytes follow the open request.
func (c *clientConn) noteUnreadPipelined() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.state.noteUnread()
}

// isClosing reports whether the close of the connection is decided.
func (c *clientConn) isClosing() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.closing()
}

// requestArrived reports whether all bytes of the current request have been read.
func (c *clientConn) requestArrived() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.request == requestComplete || c.framing.complete(c.responseCount+1)
}

// bodyArrival is what has been read of the body of a request, by the handler or into the buffer of http.Server.
type bodyArrival struct {
	bytes    int64 // the framing of chunks included
	complete bool  // the last byte is among them
	// endUnknown is true if the framing is not parsed, so that the last byte may be among them.
	endUnknown bool
}

// bodyArrival returns what has been read of the body of the current request.
func (c *clientConn) bodyArrival() bodyArrival {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return bodyArrival{
		bytes:      c.framing.bodyBytes,
		complete:   c.framing.complete(c.responseCount + 1),
		endUnknown: c.framing.stopped,
	}
}

// requestStartTime returns the start time of the current request: see requestStartedAt.
func (c *clientConn) requestStartTime() time.Time {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.requestStartedAt
}

// wasPipelined reports whether bytes of the current request arrived while the previous request was open.
func (c *clientConn) wasPipelined() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.pipelined
}

// hasPipelinedRequest reports whether bytes of a further request have been read after the current one, whose end is
// unambiguous. No more bytes are read while the current request is open: see watchForClose.
func (c *clientConn) hasPipelinedRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.nextStarted && !c.framing.isAmbiguous(c.responseCount+1)
}

// framingAmbiguous reports whether the end of the current request is ambiguous, judging from the heads up to its own.
func (c *clientConn) framingAmbiguous() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.isAmbiguous(c.responseCount + 1)
}

// requestExceedsLength reports whether bytes behind the current request show that its announced length is too small.
func (c *clientConn) requestExceedsLength() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.exceedsLength(c.responseCount + 1)
}

// mustCloseAfterRequest reports whether the framing of the current request's body requires closing the connection after
// the response.
func (c *clientConn) mustCloseAfterRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.framing.isLast(c.responseCount + 1)
}

// moveTo moves the connection to the end of l, or removes it from its list if l is nil. The caller must hold conns.mu.
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
	c.responseWritten.Store(true) // before the check: see writeRejection
	if c.rejected.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.log.setReason(reasonClientGone)
	}
	return n, err
}

// CloseWrite implements Conn. It does nothing once the close is decided, because another process may have taken over
// the connection.
func (c *clientConn) CloseWrite() error {
	if c.isClosing() {
		return net.ErrClosed
	}
	return c.Conn.CloseWrite()
}

// Close implements net.Conn. It lets the last response arrive before it closes the connection: see linger. It does not
// close a connection that is being handed off; the sender does. Otherwise http.Server, whose read fails because the
// close is decided, would close the descriptor while it is being sent.
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

// closeNow closes the connection without lingering. It logs reason unless an earlier reason was set.
func (c *clientConn) closeNow(reason closeReason) error {
	c.log.logEnd(reason)
	return c.Conn.Close()
}
