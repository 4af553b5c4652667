package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/brain"
	"olivebridge/internal/routing"
)

// peerConn is a connection to a peer. It keeps the record of what the try that
// it carries has written.
type peerConn struct {
	net.Conn
	life *life
	now  atomic.Pointer[writing]
}

func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.life.read(err, "peer-closed", "reset")
	return n, err
}

func (c *peerConn) Write(b []byte) (int, error) {
	w := c.now.Load()
	if w == nil {
		return c.Conn.Write(b)
	}
	if err := w.begin(); err != nil {
		c.life.because("not-sent")
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.life.because("reset")
		w.broke()
	}
	return n, err
}

func (c *peerConn) Close() error {
	if w := c.now.Load(); w != nil {
		switch context.Cause(w.ctx) {
		case routing.ErrTimeUp:
			c.life.because("try-timeout")
		case routing.ErrCalledOff:
			c.life.because("called-off")
		}
	}
	c.life.end("idle")
	return c.Conn.Close()
}

var errLeaving = errors.New("the peer leaves the upstream group")

// errSealed ends a write that comes after its try was given up.
var errSealed = errors.New("the try is over")

// writing is the record of one try's bytes. It proves whether the try can have
// run: not if no byte was given to the connection, or if a write failed, for
// then the last byte was never written.
type writing struct {
	ctx   context.Context
	peer  *routing.Peer
	grace time.Duration
	conn  atomic.Pointer[peerConn]

	mu                               sync.Mutex
	started, broken, sealed, leaving bool
}

// begin allows a write, or refuses it for good.
func (w *writing) begin() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed {
		return errSealed
	}
	if !w.started && !w.peer.OpenFor(time.Now(), w.grace) {
		w.sealed, w.leaving = true, true
		return errLeaving
	}
	w.started = true
	return nil
}

func (w *writing) broke() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = true
}

// done parts the record from its connection, which may serve another by now.
func (w *writing) done() {
	if c := w.conn.Load(); c != nil {
		c.now.CompareAndSwap(w, nil)
	}
}

// because notes why the connection that carries the try is about to end.
func (w *writing) because(reason string) {
	if c := w.conn.Load(); c != nil {
		c.life.because(reason)
	}
}

// failed says what an exchange without a whole answer means. From then on
// nothing more is written.
func (w *writing) failed(err error) brain.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	cause := context.Cause(w.ctx)
	switch ran := w.started && !w.broken; {
	case !ran && (w.leaving || cause != nil || errors.Is(err, errNoRoom)):
		return brain.Moot // not the peer's doing
	case !ran:
		return brain.ConnectFailed
	case cause == routing.ErrTimeUp:
		return brain.TimedOut
	case cause != nil:
		return brain.Cancelled
	default:
		return brain.Reset
	}
}
