package routing

import (
	"context"
	"sync"
	"time"
)

// attemptContext is the context.Context of an attempt. It ends when the attempt is cancelled or the Router stops. It
// allocates nothing unless Done is called and has no timer: the Transport enforces Attempt.ExpiresAt.
type attemptContext struct {
	mu          sync.Mutex
	cause       error         // reason for the end of the context; nil while it is active
	done        chan struct{} // created by the first call of Done
	interrupter Interrupter   // set by the Transport; nil if none is set
}

var _ context.Context = (*attemptContext)(nil)

// cancel ends the context with cause. Only the first call has an effect.
func (c *attemptContext) cancel(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	if c.done != nil {
		close(c.done)
	}
	if c.interrupter != nil { // the lock is held, so an interrupter that InterruptOnDone has replaced is never called
		c.interrupter.Interrupt()
	}
}

// InterruptOnDone replaces the interrupter that is called when the context ends; nil removes it. It reports whether the
// context is still active. If the context has already ended, the new interrupter is never called.
func (c *attemptContext) InterruptOnDone(interrupter Interrupter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupter = interrupter
	return c.cause == nil
}

// Deadline implements context.Context. The context has no deadline.
func (c *attemptContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done implements context.Context.
func (c *attemptContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.cause != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err implements context.Context. It returns the cause, so context.Cause returns the cause as well.
func (c *attemptContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Value implements context.Context. The context carries no values.
func (c *attemptContext) Value(any) any { return nil }
