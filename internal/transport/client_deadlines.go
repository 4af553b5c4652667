package transport

import (
	"sync"
	"time"
)

// connDeadlines holds the deadlines that http.Server sets on a client connection. http.Server sets nine deadlines per
// request and waits for few of them, but each deadline set on the connection costs a timer. A read deadline is
// therefore set on the connection only while a read waits there.
type connDeadlines struct {
	mu sync.Mutex
	// read is the read deadline that http.Server set; zero if there is none.
	read time.Time
	// applied is the read deadline that is set on the connection.
	applied time.Time
	// reading reports whether a read waits on the connection.
	reading bool
	// write is the write deadline that is set on the connection.
	write time.Time

	// waiting reports whether a read is blocked in waitForClientCheck.
	waiting bool
	// checkDue reports whether that read must check now whether the client has disconnected.
	checkDue   bool
	checkTimer *time.Timer
	// wake wakes the read that is blocked in waitForClientCheck. It buffers one signal.
	wake chan struct{}
}

func (d *connDeadlines) init() {
	d.checkTimer = time.NewTimer(time.Hour)
	d.checkTimer.Stop()
	d.wake = make(chan struct{}, 1)
}

// signal wakes the read that is blocked in waitForClientCheck, if there is one. The caller must hold mu.
func (d *connDeadlines) signal() {
	if !d.waiting {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// waitForClientCheck blocks until it is time to check whether the client has disconnected. It returns false if the read
// deadline expired first.
func (c *clientConn) waitForClientCheck() bool {
	d := &c.deadlines
	d.checkTimer.Reset(WatchDelay)
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

// checkClientNow makes waitForClientCheck return.
func (c *clientConn) checkClientNow() {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.checkDue = true
	c.deadlines.signal()
}

// expired reports whether a deadline has passed; a zero deadline never does.
func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// setReading records whether a read waits on the connection.
func (c *clientConn) setReading(reading bool) error {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.reading = reading
	return c.applyReadDeadline()
}

// applyReadDeadline sets the read deadline on the connection if a read waits there. The caller must hold deadlines.mu.
func (c *clientConn) applyReadDeadline() error {
	d := &c.deadlines
	if !d.reading || d.read.Equal(d.applied) {
		return nil
	}
	d.applied = d.read
	return c.Conn.SetReadDeadline(d.read)
}

// extendIdleDeadline moves a read deadline that comes before the given time to that time, from the next read on.
func (c *clientConn) extendIdleDeadline(until time.Time) {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	if d := c.deadlines.read; !d.IsZero() && d.Before(until) {
		c.deadlines.read = until
	}
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.deadlines.mu.Lock()
	defer c.deadlines.mu.Unlock()
	c.deadlines.read = t
	c.deadlines.signal()
	return c.applyReadDeadline()
}

// SetWriteDeadline implements net.Conn. It ignores a deadline that is less than writeTimeout/4 later than the current
// one.
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
