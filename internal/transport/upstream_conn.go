package transport

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// upstreamConn is a connection to a server, or to the discovery service. One attempt at a time uses it.
type upstreamConn struct {
	Conn
	log    *connLog
	server *routing.Upstream // nil: discovery
	// idleSince is when it fell idle.
	idleSince time.Time
	// readErr is the error of a failed read: what came before it is incomplete. nil: none has failed.
	readErr error
	// upload is the body that it carries, or carried last; nil: none.
	upload *upload
}

// Read implements net.Conn. An error stays as it was first returned: the system tells a reset once, and an orderly end
// from then on, which would make a cut response without length a complete one.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(b)
	c.log.noteReadError(err, reasonServerClosed, reasonReset)
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	c.log.logEnd(reasonIdle)
	return c.Conn.Close()
}

// closeFor closes the connection for a reason, unless an earlier one is known.
func (c *upstreamConn) closeFor(reason closeReason) {
	c.log.setReason(reason)
	_ = c.Close()
}

// Interrupt implements routing.Interrupter: it ends what is being read or written.
func (c *upstreamConn) Interrupt() { _ = c.SetDeadline(expiredDeadline) }

// staleReason says why an idle connection cannot carry an attempt; reasonNone: it can. Whatever there is to read
// belongs to no request that is still to be sent.
func (c *upstreamConn) staleReason() closeReason {
	n, err := c.Peek()
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return reasonNone
	case err != nil:
		return reasonReset
	case n == 0:
		return reasonServerClosed
	default:
		return reasonExtraBytes
	}
}

// responseDeadline is when the response to an attempt on the connection is given up: at until, but that of an upload
// counts from its last byte; zero: that has not been written.
func (c *upstreamConn) responseDeadline(until time.Time) time.Time {
	if c.upload == nil {
		return until
	}
	if nanoseconds := c.upload.responseUntil.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{} // its pace is the client's, and watched there
}

// failureResult closes a connection that brought no complete response, and says what that means for its attempt, which
// was written to its end and so may have run. cause is why the attempt was given up; nil: it was not.
func (c *upstreamConn) failureResult(err, cause error) balancer.Result {
	switch {
	case errors.Is(err, errResponseTooLarge):
		c.closeFor(reasonOversize)
		return balancer.Errored
	case c.readErr == nil: // the bytes are there, and no response
		c.closeFor(reasonMalformed)
		return balancer.Errored
	}
	c.closeFor(cancelReason(cause, reasonReset))
	switch {
	case errors.Is(cause, routing.ErrDeadlineExceeded):
		return balancer.TimedOut
	case cause != nil:
		return balancer.Cancelled
	default:
		return balancer.Reset
	}
}

// cancelCause says why an attempt is given up; nil: it is not.
func cancelCause(ctx context.Context, until, now time.Time) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !until.IsZero() && !now.Before(until):
		return routing.ErrDeadlineExceeded
	}
	return nil
}

// cancelReason is the reason why the connection of an attempt ends that was given up for a cause; otherwise: it was
// not.
func cancelReason(cause error, otherwise closeReason) closeReason {
	switch {
	case cause == nil:
		return otherwise
	case errors.Is(cause, routing.ErrDeadlineExceeded):
		return reasonTimeout
	default:
		return reasonCancelled
	}
}

// cancelWatch interrupts a connection when a context ends.
type cancelWatch struct {
	attempt       attemptContext // nil: the context is not an attempt's
	stopAfterFunc func() bool    // ends the watch of any other context
}

// attemptContext is an attempt's context, which needs no goroutine to tell its end.
type attemptContext interface {
	// InterruptOnDone has i interrupted when the context ends; nil: nobody any more. It reports whether the context
	// goes on.
	InterruptOnDone(i routing.Interrupter) (goesOn bool)
}

// watchCancel has a connection interrupted when a context ends, until the watch is stopped.
func watchCancel(ctx context.Context, c *upstreamConn) cancelWatch {
	attempt, ok := ctx.(attemptContext)
	if !ok {
		return cancelWatch{stopAfterFunc: context.AfterFunc(ctx, c.Interrupt)}
	}
	if !attempt.InterruptOnDone(c) { // it ended just before
		c.Interrupt()
	}
	return cancelWatch{attempt: attempt}
}

// stop ends the watch, and reports whether the context had not ended. Nothing is interrupted any more then.
func (w cancelWatch) stop() (undisturbed bool) {
	if w.attempt != nil {
		return w.attempt.InterruptOnDone(nil)
	}
	return w.stopAfterFunc()
}
