package transport

import (
	"errors"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// hangUpLook is how long a call may be open before its client connection is
// watched for the client's going. Most calls are answered by then. Until then
// a try that does not leave at once looks first, by left.
const watchDelay = 10 * time.Millisecond

// deadlines are what http.Server wants of a client connection. It sets nine for
// one request, and waits for few of them: the connection, where each costs a
// timer, hears of one only when a read is to wait.
type connDeadlines struct {
	mu      sync.Mutex
	read    time.Time // as http.Server has set it
	applied time.Time // the same, as the connection has it
	reading bool      // a read is with the connection
	write   time.Time // as the connection has it

	resting   bool // a read waits until it is time to look for the client's going
	lookTimer *time.Timer
	wake      chan struct{} // tells that read that something has changed; holds one
	lookNow   bool          // it is time to look
}

func (d *connDeadlines) init() {
	d.lookTimer, d.wake = time.NewTimer(time.Hour), make(chan struct{}, 1)
	d.lookTimer.Stop()
}

// Read implements net.Conn. Bytes are taken under the lock, so that whether the
// connection ends is decided either before or after: a request whose bytes were
// taken counts as taken, and to close on it would lose it. One that is still
// unread when the node closes is sent again by its client, which the kernel
// tells by a reset.
func (k *clientConn) Read(b []byte) (int, error) {
	if len(b) == 1 { // http.Server asks for one byte while a call is open, and else hardly ever
		if !k.waitForLook() {
			return 0, os.ErrDeadlineExceeded
		}
		if k.requestArrived() {
			return 0, k.watchForClose()
		}
	}
	return k.readGated(b[:k.readLimit(len(b))])
}

// watch waits, while a call is open, until its client has gone. Bytes behind the call's request tell nothing of that.
// They are left to be read in their turn, since what is read is owed an answer, however soon the connection is to end.
func (k *clientConn) watchForClose() error {
	for {
		if _, err := k.readGated(nil); err != nil {
			return err
		}
		k.noteUnreadPipelined()
		if k.HasEnded() {
			k.log.setReason("client-closed")
			return io.EOF
		}
		if !k.waitForLook() {
			return os.ErrDeadlineExceeded
		}
	}
}

func (k *clientConn) readGated(b []byte) (int, error) {
	if err := k.setReading(true); err != nil {
		return 0, err
	}
	k.buf = b
	n, err := k.ReadGate(b, &k.conns.mu, k.beforeRead, k.afterRead)
	k.setReading(false)
	if err != nil && !k.isClosing() { // else the client has no part in it
		k.log.noteReadError(err, "client-closed", "client-reset")
	}
	return n, err
}

// rest waits until it is time to look for the client's going, and reports
// whether it still is to be looked for.
func (k *clientConn) waitForLook() bool {
	d := &k.deadlines
	d.lookTimer.Reset(watchDelay)
	defer d.lookTimer.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.lookNow, d.resting = false, true; !expired(d.read) && !d.lookNow; {
		d.mu.Unlock()
		timeUp := false
		select {
		case <-d.lookTimer.C:
			timeUp = true
		case <-d.wake:
		}
		d.mu.Lock()
		d.lookNow = d.lookNow || timeUp
	}
	d.resting = false
	return !expired(d.read)
}

func expired(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

// stir lets a resting read look what has changed. The lock of deadlines is held.
func (d *connDeadlines) wakeReader() {
	if d.resting {
		select {
		case d.wake <- struct{}{}:
		default: // it is told already
		}
	}
}

// left reports whether the client has gone by now, also behind bytes that nobody reads yet: those of a long body whose
// call still waits, or of a further request. If so, http.Server hears of it at once, unless it still reads the body.
func (k *clientConn) hasLeft() bool {
	n, err := k.Peek()
	if errors.Is(err, syscall.EAGAIN) || n > 0 && !k.HasEnded() {
		return false
	}
	k.deadlines.mu.Lock()
	defer k.deadlines.mu.Unlock()
	k.deadlines.lookNow = true
	k.deadlines.wakeReader()
	return true
}

// reads notes that a read begins, or has ended.
func (k *clientConn) setReading(begins bool) error {
	k.deadlines.mu.Lock()
	defer k.deadlines.mu.Unlock()
	k.deadlines.reading = begins
	return k.applyReadDeadline()
}

// applyRead lets a read that runs end in time. The lock of deadlines is held.
func (k *clientConn) applyReadDeadline() error {
	d := &k.deadlines
	if !d.reading || d.read.Equal(d.applied) {
		return nil
	}
	d.applied = d.read
	return k.Conn.SetReadDeadline(d.read)
}

// SetReadDeadline implements net.Conn.
func (k *clientConn) SetReadDeadline(t time.Time) error {
	k.deadlines.mu.Lock()
	defer k.deadlines.mu.Unlock()
	k.deadlines.read = t
	k.deadlines.wakeReader()
	return k.applyReadDeadline()
}

// SetWriteDeadline implements net.Conn. One that is hardly later than the last is left.
func (k *clientConn) SetWriteDeadline(t time.Time) error {
	k.deadlines.mu.Lock()
	defer k.deadlines.mu.Unlock()
	if later := t.Sub(k.deadlines.write); later >= 0 && later < writeTimeout/4 {
		return nil
	}
	k.deadlines.write = t
	return k.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (k *clientConn) SetDeadline(t time.Time) error {
	if err := k.SetReadDeadline(t); err != nil {
		return err
	}
	return k.SetWriteDeadline(t)
}
