package transport

import (
	"sync"
	"time"
)

// connDeadlines are the deadlines that http.Server sets on a client connection. It sets nine for one request and
// waits for few of them, and each costs a timer: a read deadline is applied to the connection only when a read is
// to wait.
type connDeadlines struct {
	mu sync.Mutex
	// read is the read deadline that was set; zero: none.
	read time.Time
	// applied is the read deadline that the connection has.
	applied time.Time
	// reading: a read waits at the connection.
	reading bool
	// write is the write deadline that the connection has.
	write time.Time

	// waiting: a read waits until it is time to look whether the client has left.
	waiting bool
	// checkDue: the client is to be checked for a disconnect.
	checkDue   bool
	checkTimer *time.Timer
	// wake tells the waiting read that something has changed. It holds one signal.
	wake chan struct{}
}

func (d *connDeadlines) init() {
	d.checkTimer = time.NewTimer(time.Hour)
	d.checkTimer.Stop()
	d.wake = make(chan struct{}, 1)
}

// signal has the waiting read look at what has changed. The lock is held.
func (d *connDeadlines) signal() {
	if !d.waiting {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default: // it is signaled already
	}
}

// waitForClientCheck waits until it is time to look whether the client has left, and reports whether the read
// deadline still allows that.
func (c *clientConn) waitForClientCheck() bool {
	d := &c.deadlines
	d.checkTimer.Reset(watchDelay)
	defer d.checkTimer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkDue = false
	d.waiting = true
	for !expired(d.read) && !d.checkDue {
		d.mu.Unlock()
		due := false
		select {
		case <-d.checkTimer.C:
			due = true
		case <-d.wake:
		}
		d.mu.Lock()
		d.checkDue = d.checkDue || due
	}
	d.waiting = false
	return !expired(d.read)
}

// checkClientNow ends the wait of waitForClientCheck.
func (c *clientConn) checkClientNow() {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.checkDue = true
	c.deadlines.signal()
}

// expired reports whether a deadline is over.
func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// setReading notes that a read begins to wait at the connection, or has ended.
func (c *clientConn) setReading(reading bool) error {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.reading = reading
	return c.applyReadDeadline()
}

// applyReadDeadline tells the connection of the read deadline while a read waits. The lock of deadlines is held.
func (c *clientConn) applyReadDeadline() error {
	d := &c.deadlines
	if !d.reading || d.read.Equal(d.applied) {
		return nil
	}
	d.applied = d.read
	return c.Conn.SetReadDeadline(d.read)
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.read = t
	c.deadlines.signal()
	return c.applyReadDeadline()
}

// SetWriteDeadline implements net.Conn. A deadline that is hardly later than the last one is skipped.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	if later := t.Sub(c.deadlines.write); later >= 0 && later < writeTimeout/4 {
		return nil
	}
	c.deadlines.write = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}
