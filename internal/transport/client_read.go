package transport

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// WatchDelay is the time for which a call is open before its client connection is watched for a disconnect. Most calls
// are answered within it. Before that, an attempt that is not sent immediately checks for a disconnect itself: see
// hasDisconnected.
const WatchDelay = 10 * time.Millisecond

// Read implements net.Conn. It reads bytes while it holds conns.mu, so a close is decided either before or after the
// read: a request whose bytes were read counts as accepted, and a close would lose it. A request that is still unread
// when the connection closes makes the kernel send a reset, after which the client sends the request again.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 { // http.Server reads a single byte while a call is open, and rarely otherwise
		if !c.waitForClientCheck() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.requestArrived() {
			return 0, c.watchForClose()
		}
	}
	return c.readUnlessClosing(b[:c.readLimit(len(b))])
}

// readLimit returns the number of bytes, at most n, that a read may return. During draining a read returns no bytes
// after the current request: otherwise a client that always pipelines its next request would have to be answered
// forever.
func (c *clientConn) readLimit(n int) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.conns.draining && !c.state.idle() {
		return c.framing.bytesNeeded(n)
	}
	return n
}

// watchForClose blocks, while a call is open, until its client disconnects. Bytes after the call's request do not show
// a disconnect. They stay unread until it is their turn, because every request that has been read must be answered,
// even if the connection is about to be closed.
func (c *clientConn) watchForClose() error {
	for {
		if _, err := c.readUnlessClosing(nil); err != nil {
			return err
		}
		c.noteUnreadPipelined()
		if c.HasEnded() {
			c.log.setReason(reasonClientClosed)
			return io.EOF
		}
		if !c.waitForClientCheck() {
			return os.ErrDeadlineExceeded
		}
	}
}

// readUnlessClosing reads while it holds conns.mu, unless the close is decided.
func (c *clientConn) readUnlessClosing(b []byte) (int, error) {
	if err := c.setReading(true); err != nil {
		return 0, err
	}
	c.readBuf = b
	n, err := c.ReadUnderLock(b, &c.conns.mu, c.beforeRead, c.afterRead)
	_ = c.setReading(false)
	if err != nil && !c.isClosing() { // otherwise this side caused the error
		c.log.noteReadError(err, reasonClientClosed, reasonClientReset)
	}
	if n > 0 && c.headFault != reasonNone {
		return 0, c.rejectHead()
	}
	return n, err
}

// lastReadTime returns the time when bytes were last read; zero: none have been.
func (c *clientConn) lastReadTime() time.Time {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.lastReadAt
}

// minHidingBytes is the number of unread bytes behind a request from which these may hide the close of the connection:
// far more than clients that wait for their answers send.
const minHidingBytes = 32 << 10

// mayHideClose implements disconnectChecker. The end of a connection arrives behind the bytes that the client wrote
// before, and these do not arrive while unread ones fill the receive window.
func (c *clientConn) mayHideClose() bool {
	unread, err := c.Unread()
	return err == nil && unread >= minHidingBytes && !c.ReceivesMore()
}

// hasDisconnected implements disconnectChecker. It also detects a disconnect after unread bytes: those of a long body
// whose call still waits, or those of a further request. It makes http.Server notice the disconnect at once, unless
// http.Server is still reading the body.
func (c *clientConn) hasDisconnected() bool {
	n, err := c.Peek()
	if errors.Is(err, syscall.EAGAIN) || n > 0 && !c.HasEnded() {
		return false
	}
	c.checkClientNow()
	return true
}
