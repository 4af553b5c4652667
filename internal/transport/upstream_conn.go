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
type upstreamConn struct {
	Conn
	log       *connLog
	peer      *routing.Peer
	idleSince time.Time // when it fell idle
	readErr   error     // of a read: what came before it is not whole
	upload    *upload   // that it carries, or carried last; nil: none
}

// Read implements net.Conn. An end stays as it was first told: the system tells
// a reset once, and an orderly end from then on, which would make a cut answer
// without length a whole one.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(b)
	c.log.noteReadError(err, "peer-closed", "reset")
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	c.log.logEnd("idle")
	return c.Conn.Close()
}

// end closes the connection for a reason, unless an earlier one is known.
func (c *upstreamConn) closeFor(reason string) {
	c.log.setReason(reason)
	c.Close()
}

// Interrupt ends what is being read or written.
func (c *upstreamConn) Interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// endWatch interrupts a connection when a context ends.
type cancelWatch struct {
	attempt       attemptContext
	stopAfterFunc func() bool // without a try
}

// tryContext is a try's context, which needs no goroutine to tell its end.
type attemptContext interface {
	OnEnd(routing.Interrupter) (goesOn bool)
}

func watchCancel(ctx context.Context, c *upstreamConn) cancelWatch {
	if try, ok := ctx.(attemptContext); ok {
		if !try.OnEnd(c) { // it ended just before
			c.Interrupt()
		}
		return cancelWatch{attempt: try}
	}
	return cancelWatch{stopAfterFunc: context.AfterFunc(ctx, c.Interrupt)}
}

// end ends the watch, and says whether the context had not ended. Nothing is
// interrupted any more then.
func (w cancelWatch) stop() (undisturbed bool) {
	if w.attempt != nil {
		return w.attempt.OnEnd(nil)
	}
	return w.stopAfterFunc()
}

// stale says why an idle connection cannot carry a try; "": it can. Whatever
// there is to read belongs to no request that is still to be sent.
func (c *upstreamConn) staleReason() string {
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
