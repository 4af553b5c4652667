package transport

import (
	"errors"
	"syscall"
	"time"
)

// Limits of lingering, the time between the decision to close a connection and the close. They allow a client on a slow
// path to write the longest known body, 60 MB, and then to read the response with the reason for the rejection.
const (
	// lingerTimeout limits the total lingering time.
	lingerTimeout = 5 * time.Second
	// lingerStallTimeout limits the time without a byte. A client that sends nothing for this time has received the
	// response, even if it keeps the connection open.
	lingerStallTimeout = time.Second
	// lingerDrainTimeout limits the total lingering time during draining, so that the shutdown ends in time.
	lingerDrainTimeout = 300 * time.Millisecond
	// lingerUnreadTimeout is the time for the response to arrive if a later request remains unread.
	lingerUnreadTimeout = 250 * time.Millisecond
	// lingerPollInterval is the interval between two checks during lingerUnreadTimeout.
	lingerPollInterval = 10 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that are read and discarded.
	maxLingerBytes = 64 << 20
	// lingerBufferSize is the maximum number of bytes discarded per read.
	lingerBufferSize = 64 << 10
	// lingerWaitBufferSize is the number of bytes with which a lingering connection waits for more.
	lingerWaitBufferSize = 512
	// lingerReadInterval is the minimum time between two reads that discard bytes. Together with lingerBufferSize it
	// bounds the processor time that a client costs which goes on sending, and allows 60 MB in lingerTimeout.
	lingerReadInterval = 2 * time.Millisecond
)

// linger delays the close of a connection until its last response has had time to arrive. A close with unread bytes
// resets the connection, as do bytes that arrive after the close, and a reset discards a response that is still in
// transit.
//
// If the answered request has not been read completely, linger closes the sending side, then reads and discards the
// rest until the client closes, too. Bytes of a request after a complete one are not read: the reset that they cause
// proves to the client that it may send that request again. In this case linger only waits for up to
// lingerUnreadTimeout.
func (c *clientConn) linger() {
	discard, until := c.startLingering()
	switch {
	case until.IsZero():
	case discard:
		c.discardUntilClosed()
	default:
		for hasUnread(c.Conn) && time.Now().Before(until) {
			time.Sleep(lingerPollInterval)
		}
	}
}

// startLingering returns the time until which the connection may linger, and whether to discard the rest of a request.
// The time is zero if the connection must not linger: no response was written, nothing needs to be waited for, the
// frontend was aborted, the time of the shutdown has elapsed, or the connection lingers already, in which case the
// second close ends the lingering.
func (c *clientConn) startLingering() (discard bool, until time.Time) {
	cs := c.conns
	cs.mu.Lock()
	defer cs.mu.Unlock()
	lingering := c.state.close == connLingering
	if !c.responseWritten.Load() || lingering || cs.aborted.Load() || cs.drainEnded || !cs.open[c] {
		return false, time.Time{}
	}
	discard = c.state.request == readingRequest
	n, err := c.Peek()
	if n == 0 && (!discard || !errors.Is(err, syscall.EAGAIN)) { // the client has closed, or nothing is unread
		return false, time.Time{}
	}
	c.state.startLingering()
	c.moveTo(&cs.lingering)
	timeout := lingerUnreadTimeout
	if discard {
		timeout = cs.lingerTimeout()
	}
	c.lingerUntil = time.Now().Add(timeout)
	return discard, c.lingerUntil
}

// lingerTimeout returns the maximum time for discarding the rest of a request. The caller must hold mu.
func (cs *clientConns) lingerTimeout() time.Duration {
	if cs.draining {
		return lingerDrainTimeout
	}
	return lingerTimeout
}

// shortenLingering reduces the remaining time of lingering connections to lingerDrainTimeout. The caller must hold mu.
func (cs *clientConns) shortenLingering() {
	for e := cs.lingering.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		until := time.Now().Add(lingerDrainTimeout)
		if until.Before(c.lingerUntil) {
			c.lingerUntil = until
			_ = c.Conn.SetReadDeadline(until)
		}
	}
}

// discardUntilClosed closes the sending side, then reads and discards bytes until the client closes or a limit is
// reached.
func (c *clientConn) discardUntilClosed() {
	if c.Conn.CloseWrite() != nil {
		return
	}
	first := make([]byte, lingerWaitBufferSize)
	for left := maxLingerBytes; left > 0 && c.extendDiscardDeadline(); {
		n, err := c.discard(first, left)
		left -= n
		if err != nil {
			return
		}
		time.Sleep(lingerReadInterval)
	}
}

// discard waits until bytes have arrived, of which first contains some afterwards, and reads at most limit of them. It
// needs a large buffer only once there are bytes, since many connections may linger.
func (c *clientConn) discard(first []byte, limit int) (int, error) {
	n, err := c.Conn.Read(first[:min(limit, len(first))])
	if err != nil || n < len(first) || !hasUnread(c.Conn) {
		return n, err
	}
	buf, ok := c.conns.discardBuffers.Get().(*[lingerBufferSize]byte)
	if !ok {
		buf = new([lingerBufferSize]byte)
	}
	defer c.conns.discardBuffers.Put(buf)
	more, err := c.Conn.Read(buf[:min(limit-n, lingerBufferSize)])
	return n + more, err
}

// extendDiscardDeadline sets the deadline of the next read of discardUntilClosed, and reports whether any time is left.
func (c *clientConn) extendDiscardDeadline() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	now := time.Now()
	deadline := now.Add(lingerStallTimeout)
	if c.lingerUntil.Before(deadline) {
		deadline = c.lingerUntil
	}
	return now.Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}
