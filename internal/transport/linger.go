package transport

import (
	"errors"
	"syscall"
	"time"
)

// How long a connection may linger, once its end is decided. A client on a slow way still gets to write the
// longest body that is known, 60 MB, and then reads why it was refused.
const (
	lingerTimeout       = 5 * time.Second        // in all
	lingerStallTimeout  = time.Second            // without a byte: whoever holds it open has had its answer
	lingerDrainTimeout  = 300 * time.Millisecond // in all, while the node closes connections: it has to end in time
	lingerUnreadTimeout = 250 * time.Millisecond // for an answer to arrive, where a request behind it stays unread
	lingerPollInterval  = 10 * time.Millisecond  // between two looks meanwhile
	maxLingerBytes      = 64 << 20               // that are read and dropped
)

// linger keeps a connection whose end is decided for as long as its last answer needs to arrive. A close over
// unread bytes is a reset, which takes an answer still under way with it, as do bytes that come after it.
//
// What is left of a request that has its answer is read and dropped, behind the end of the sending, until the
// client ends too. Bytes of a request behind a whole one are not read: their reset proves to its client that it
// may send that request again; it only waits a moment.
func (k *clientConn) linger() {
	rest, until := k.startLingering()
	switch {
	case until.IsZero():
	case rest:
		k.discardUntilClosed()
	default:
		for hasUnread(k.Conn) && time.Now().Before(until) {
			time.Sleep(lingerPollInterval)
		}
	}
}

// lingers says until when the connection may linger, and whether for the rest of a request. Zero: not at all.
// Nothing is owed where no answer was written, or the end is at hand; a second close ends the lingering.
func (k *clientConn) startLingering() (rest bool, until time.Time) {
	c := k.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	if !k.responseWritten.Load() || k.lingering || c.aborted.Load() || c.drainEnded || !c.open[k] {
		return false, time.Time{}
	}
	rest = k.active && !k.whole
	n, err := k.Peek()
	if n == 0 && (!rest || !errors.Is(err, syscall.EAGAIN)) { // its client has ended, or nothing is unread
		return false, time.Time{}
	}
	k.gone, k.lingering = true, true
	k.moveTo(&c.lingering)
	most := lingerUnreadTimeout
	if rest {
		most = c.lingerTimeout()
	}
	k.lingerUntil = time.Now().Add(most)
	return rest, k.lingerUntil
}

// lingerTime is how long the rest of a request is read at most. The lock is held.
func (c *clientConns) lingerTimeout() time.Duration {
	if c.draining {
		return lingerDrainTimeout
	}
	return lingerTimeout
}

// hurryLingering lets what lingers end as it must while the node closes connections. The lock is held.
func (c *clientConns) shortenLingering() {
	for e := c.lingering.Front(); e != nil; e = e.Next() {
		k := e.Value.(*clientConn)
		if soon := time.Now().Add(lingerDrainTimeout); soon.Before(k.lingerUntil) {
			k.lingerUntil = soon
			k.Conn.SetReadDeadline(soon)
		}
	}
}

// drop ends the sending, and reads and drops what comes.
func (k *clientConn) discardUntilClosed() {
	if k.Conn.CloseWrite() != nil {
		return
	}
	buf := make([]byte, 16<<10)
	for left := maxLingerBytes; left > 0 && k.extendDiscardDeadline(); {
		n, err := k.Conn.Read(buf[:min(left, len(buf))])
		if left -= n; err != nil {
			return
		}
	}
}

// waits lets the next read of drop's wait, and reports whether there is time for one.
func (k *clientConn) extendDiscardDeadline() bool {
	k.conns.mu.Lock()
	defer k.conns.mu.Unlock()
	now := time.Now()
	end := now.Add(lingerStallTimeout)
	if k.lingerUntil.Before(end) {
		end = k.lingerUntil
	}
	return now.Before(end) && k.Conn.SetReadDeadline(end) == nil
}
