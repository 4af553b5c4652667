package transport

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"olivebridge/internal/routing"
)

// peerConn is a connection to a peer, or to discovery. One try at a time uses it.
type peerConn struct {
	Conn
	life   *life
	peer   *routing.Upstream
	freed  time.Time // when it fell idle
	failed error     // of a read: what came before it is not whole
	up     *upload   // that it carries, or carried last; nil: none
}

// Read implements net.Conn. An end stays as it was first told: the system tells
// a reset once, and an orderly end from then on, which would make a cut answer
// without length a whole one.
func (c *peerConn) Read(b []byte) (int, error) {
	if c.failed != nil && !errors.Is(c.failed, os.ErrDeadlineExceeded) {
		return 0, c.failed
	}
	n, err := c.Conn.Read(b)
	c.life.read(err, "peer-closed", "reset")
	if err != nil {
		c.failed = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.life.end("idle")
	return c.Conn.Close()
}

// end closes the connection for a reason, unless an earlier one is known.
func (c *peerConn) end(reason string) {
	c.life.because(reason)
	c.Close()
}

// Interrupt ends what is being read or written.
func (c *peerConn) Interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// endWatch interrupts a connection when a context ends.
type endWatch struct {
	try  tryContext
	stop func() bool // without a try
}

// tryContext is a try's context, which needs no goroutine to tell its end.
type tryContext interface {
	InterruptOnDone(routing.Interrupter) (goesOn bool)
}

func watchEnd(ctx context.Context, c *peerConn) endWatch {
	if try, ok := ctx.(tryContext); ok {
		if !try.InterruptOnDone(c) { // it ended just before
			c.Interrupt()
		}
		return endWatch{try: try}
	}
	return endWatch{stop: context.AfterFunc(ctx, c.Interrupt)}
}

// end ends the watch, and says whether the context had not ended. Nothing is
// interrupted any more then.
func (w endWatch) end() (undisturbed bool) {
	if w.try != nil {
		return w.try.InterruptOnDone(nil)
	}
	return w.stop()
}

// stale says why an idle connection cannot carry a try; "": it can. Whatever
// there is to read belongs to no request that is still to be sent.
func (c *peerConn) stale() string {
	switch n, err := c.Peek(); {
	case errors.Is(err, syscall.EAGAIN):
		return ""
	case err != nil:
		return "reset"
	case n == 0:
		return "peer-closed"
	default:
		return "surplus"
	}
}
