package routing

import (
	"context"
	"sync"
	"time"
)

// attemptContext is the context of an attempt. It ends when the attempt is cancelled or the node ends. It allocates
// nothing unless Done is called, and has no timer: the Transport watches the attempt's ExpiresAt.
type attemptContext struct {
	mu          sync.Mutex
	cause       error         // why it ended; nil: it has not
	done        chan struct{} // nil until asked for
	interrupter Interrupter   // of the Transport; nil: none
}

var _ context.Context = (*attemptContext)(nil)

// cancel ends the context with a cause; the first counts.
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
	if c.interrupter != nil { // with the lock held: once InterruptOnDone has replaced it, it is not called any more
		c.interrupter.Interrupt()
	}
}

// InterruptOnDone has the interrupter called when the context ends, in place of the one given before; nil: none. It
// reports whether the context goes on. Once it has ended, the interrupter is not called.
func (c *attemptContext) InterruptOnDone(interrupter Interrupter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupter = interrupter
	return c.cause == nil
}

// Deadline implements context.Context: it has none.
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

// Err implements context.Context. It returns the cause, which context.Cause then returns too.
func (c *attemptContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Value implements context.Context: it carries none.
func (c *attemptContext) Value(any) any { return nil }
