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

// upstreamConn is a connection to a server or to the discovery service. At most one attempt uses it at a time.
type upstreamConn struct {
	Conn
	log    *connLog
	server *routing.Upstream // nil: the discovery service
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// readErr is the error of a failed read; nil: none has failed. A response read before the error is incomplete.
	readErr error
	// upload is the streamed request body that the connection carries or carried last; nil: none.
	upload *upload
}

// Read implements net.Conn. Every read after a failed one returns the same error, except after an expired deadline. The
// operating system reports a reset only once and end of file afterwards, which would make a truncated response without
// a length look complete.
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

// closeFor closes the connection and logs the reason, unless an earlier reason is set.
func (c *upstreamConn) closeFor(reason closeReason) {
	c.log.setReason(reason)
	_ = c.Close()
}

// Interrupt implements routing.Interrupter. It ends any read or write in progress.
func (c *upstreamConn) Interrupt() { _ = c.SetDeadline(expiredDeadline) }

// staleReason returns the reason why an idle connection cannot carry another attempt, or reasonNone if it can. Bytes
// that wait to be read cannot belong to a request that has not been sent yet.
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

// responseDeadline returns the time at which the wait for the response ends. For an attempt without an upload this is
// deadline. The deadline of an upload counts from the last byte of its body, and is zero until that byte has been
// written.
func (c *upstreamConn) responseDeadline(deadline time.Time) time.Time {
	if c.upload == nil {
		return deadline
	}
	if responseDeadline := c.upload.responseDeadline.Load(); responseDeadline != nil {
		return *responseDeadline
	}
	return time.Time{} // no deadline: upload.send limits the pace of the client
}

// failureResult closes a connection that returned no complete response, and returns the result of its attempt. The
// request was written completely, so the server may have run it. cause is the reason why the attempt was cancelled;
// nil: it was not cancelled.
func (c *upstreamConn) failureResult(err, cause error) balancer.Result {
	switch {
	case errors.Is(err, errResponseTooLarge):
		c.closeFor(reasonOversize)
		return balancer.Errored
	case c.readErr == nil: // no read has failed: the bytes received are no valid response
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

// cancelCause returns the reason why an attempt is cancelled or has expired; nil: neither.
func cancelCause(ctx context.Context, deadline, now time.Time) error {
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case !deadline.IsZero() && !now.Before(deadline):
		return routing.ErrDeadlineExceeded
	}
	return nil
}

// cancelReason returns the close reason for the connection of an attempt that was cancelled for cause. A nil cause
// means that the attempt was not cancelled: cancelReason then returns otherwise.
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
	attempt       attemptContext // nil: the context is not an attemptContext
	stopAfterFunc func() bool    // ends the watch of any other kind of context
}

// attemptContext is the context of an attempt. It reports its end without a goroutine.
type attemptContext interface {
	// InterruptOnDone makes the context interrupt i when it ends; nil removes the registration. It reports whether the
	// context is still active.
	InterruptOnDone(i routing.Interrupter) (active bool)
}

// watchCancel interrupts the connection when ctx ends, until the watch is stopped.
func watchCancel(ctx context.Context, c *upstreamConn) cancelWatch {
	attempt, ok := ctx.(attemptContext)
	if !ok {
		return cancelWatch{stopAfterFunc: context.AfterFunc(ctx, c.Interrupt)}
	}
	if !attempt.InterruptOnDone(c) { // the context has already ended
		c.Interrupt()
	}
	return cancelWatch{attempt: attempt}
}

// stop ends the watch and reports whether the context is still active. The connection is not interrupted after stop has
// returned.
func (w cancelWatch) stop() (notCancelled bool) {
	if w.attempt != nil {
		return w.attempt.InterruptOnDone(nil)
	}
	return w.stopAfterFunc()
}
