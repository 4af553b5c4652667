package transport

import (
	"sync"
	"time"
)

// deadlines are what http.Server wants of a client connection. It sets nine for
// one request, and waits for few of them: the connection, where each costs a
// timer, hears of one only when a read is to wait.
type deadlines struct {
	mu      sync.Mutex
	read    time.Time // as http.Server has set it
	applied time.Time // the same, as the connection has it
	reading bool      // a read is with the connection
	write   time.Time // as the connection has it
}

// Read implements net.Conn. Bytes are taken under the lock, so that whether the
// connection ends is decided either before or after: a request whose bytes were
// taken counts as taken, and to close on it would lose it. One that is still
// unread when the node closes is sent again by its client, which the kernel
// tells by a reset.
func (k *clientConn) Read(b []byte) (int, error) {
	if err := k.reads(true); err != nil {
		return 0, err
	}
	k.buf = b
	n, err := k.ReadGate(b, &k.all.mu, k.open, k.took)
	k.reads(false)
	k.life.read(err, "client-closed", "client-reset")
	return n, err
}

// reads notes that a read begins, or has ended.
func (k *clientConn) reads(begins bool) error {
	k.deadlines.mu.Lock()
	defer k.deadlines.mu.Unlock()
	k.deadlines.reading = begins
	return k.applyRead()
}

// applyRead lets a read that runs end in time. The lock of deadlines is held.
func (k *clientConn) applyRead() error {
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
	return k.applyRead()
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
