package transport

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// watchDelay is how long a call may be open before its client connection is watched for a disconnect. Most calls
// are answered by then. Until then an attempt that is not sent at once looks first: see hasDisconnected.
const watchDelay = 10 * time.Millisecond

// Read implements net.Conn. Bytes are taken under the lock of conns, so that a close is decided either before them
// or after: a request whose bytes were taken counts as taken, and a close would lose it. One that is still unread
// at a close is sent again by its client, which the kernel tells by a reset.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 { // http.Server reads one byte while a call is open, and hardly ever else
		if !c.waitForClientCheck() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.requestArrived() {
			return 0, c.watchForClose()
		}
	}
	return c.readGated(b[:c.readLimit(len(b))])
}

// readLimit is how many of n bytes a read may take. While connections are drained it takes none behind the current
// request: a client that always sends the next one ahead would have to be answered for ever.
func (c *clientConn) readLimit(n int) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.conns.draining && !c.state.idle() {
		return c.framing.bytesNeeded(n)
	}
	return n
}

// watchForClose waits, while a call is open, until its client has disconnected. Bytes behind the call's request say
// nothing of that. They are left to be read in their turn, since every request that is read must be answered,
// however soon the connection is to be closed.
func (c *clientConn) watchForClose() error {
	for {
		if _, err := c.readGated(nil); err != nil {
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

// readGated reads under the lock of conns, unless the close is decided.
func (c *clientConn) readGated(b []byte) (int, error) {
	if err := c.setReading(true); err != nil {
		return 0, err
	}
	c.readBuf = b
	n, err := c.ReadGate(b, &c.conns.mu, c.beforeRead, c.afterRead)
	_ = c.setReading(false)
	if err != nil && !c.isClosing() { // else the client has no part in it
		c.log.noteReadError(err, reasonClientClosed, reasonClientReset)
	}
	return n, err
}

// hasDisconnected implements disconnectChecker. It finds a client that disconnected behind bytes that nobody reads
// yet, too: those of a long body whose call still waits, or of a further request. http.Server notices at once, unless
// it still reads the body.
func (c *clientConn) hasDisconnected() bool {
	n, err := c.Peek()
	if errors.Is(err, syscall.EAGAIN) || n > 0 && !c.HasEnded() {
		return false
	}
	c.checkClientNow()
	return true
}
