package transport

import (
	"errors"
	"syscall"
	"time"
)

// How long a connection may linger once its close is decided. A client on a slow path still gets to write the longest
// body that is known, 60 MB, and then reads why it was rejected.
const (
	// lingerTimeout bounds the whole lingering.
	lingerTimeout = 5 * time.Second
	// lingerStallTimeout bounds the time without a byte: who holds the connection open has had its response.
	lingerStallTimeout = time.Second
	// lingerDrainTimeout bounds the whole lingering while the node closes connections, since it has to end in time.
	lingerDrainTimeout = 300 * time.Millisecond
	// lingerUnreadTimeout is for a response to arrive where a request behind it stays unread.
	lingerUnreadTimeout = 250 * time.Millisecond
	// lingerPollInterval is between two looks meanwhile.
	lingerPollInterval = 10 * time.Millisecond
	// maxLingerBytes are read and discarded.
	maxLingerBytes = 64 << 20
	// lingerBufferSize is what is read of them at a time.
	lingerBufferSize = 16 << 10
)

// linger keeps a connection whose close is decided for as long as its last response needs to arrive. A close over
// unread bytes is a reset, which takes a response still under way with it, as do bytes that come after the close.
//
// What is left of a request that has its response is read and discarded, behind the end of the sending, until the
// client closes, too. Bytes of a request behind a complete one are not read: their reset proves to the client that
// it may send that request again; it only waits a moment.
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

// startLingering says until when the connection may linger, and whether to discard the rest of a request. The time
// is zero where it may not: no response was written, or the time of the shutdown is over. A second close ends the
// lingering.
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
	if n == 0 && (!discard || !errors.Is(err, syscall.EAGAIN)) { // its client has closed, or nothing is unread
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

// lingerTimeout is how long the rest of a request is discarded at most. The lock is held.
func (cs *clientConns) lingerTimeout() time.Duration {
	if cs.draining {
		return lingerDrainTimeout
	}
	return lingerTimeout
}

// shortenLingering has lingering connections end as they must while the node closes connections. The lock is held.
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

// discardUntilClosed ends the sending, and reads and discards what comes.
func (c *clientConn) discardUntilClosed() {
	if c.Conn.CloseWrite() != nil {
		return
	}
	buf := make([]byte, lingerBufferSize)
	for left := maxLingerBytes; left > 0 && c.extendDiscardDeadline(); {
		n, err := c.Conn.Read(buf[:min(left, len(buf))])
		left -= n
		if err != nil {
			return
		}
	}
}

// extendDiscardDeadline gives the next read of discardUntilClosed its time, and reports whether there is any left.
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
