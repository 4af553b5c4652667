package live

import (
	"syscall"
	"time"
)

// upgrade starts a successor of the current process while that keeps serving. Once the successor serves, both do for
// the duration overlap. It does nothing if the current process is not serving, is exiting or stopped, or if an upgrade
// is in progress.
func (i *instance) upgrade(overlap time.Duration) {
	if i.current == nil || i.current.terminating || !i.current.serving || i.upgrading() || i.stopped != nil {
		return
	}
	i.overlap = overlap
	previousExited := i.previousExited
	c := i.newProcess(false, false)
	if c == nil {
		return
	}
	i.next = c
	i.report("upgrade", c)
	i.launch(c, nil)
	own, both := i.previousExited, make(chan struct{})
	i.previousExited = both
	i.run.children.Go(func() {
		<-own
		<-previousExited
		close(both)
	})
}

// upgrading reports whether a successor is starting, or serves beside its predecessor.
func (i *instance) upgrading() bool { return i.next != nil || i.previous != nil }

// onServing is called when a process has started to serve. In an upgrade the predecessor ends after the overlap.
func (i *instance) onServing(c *child) {
	switch {
	case c.mustRefuseStart:
		i.run.addViolation("refusal", "node %s started in a directory in which it must not", i.c.Name)
	case c == i.next:
		i.previous, i.current, i.next = i.current, c, nil
		i.report("upgraded", c)
		i.endPreviousAfter(i.overlap)
	case c == i.current:
		i.report("serves", c)
	case c == i.duplicate:
		i.report("twin serves", c)
	}
	i.reloadFleetFile(c)
}

// endPreviousAfter sends SIGTERM to the predecessor of the current process, if it runs, after a delay.
func (i *instance) endPreviousAfter(delay time.Duration) {
	previous := i.previous
	if delay <= 0 {
		i.endPrevious(syscall.SIGTERM)
		return
	}
	i.run.loop.After(delay, func() {
		if i.previous == previous {
			i.endPrevious(syscall.SIGTERM)
		}
	})
}

// endPrevious ends the predecessor of the current process with a signal, if it runs.
func (i *instance) endPrevious(signal syscall.Signal) {
	if i.previous != nil {
		i.previous.terminating = true
		i.previous.signal(signal)
		i.previous = nil
	}
}

// killNext aborts an upgrade in progress.
func (i *instance) killNext() {
	if i.next != nil {
		i.next.signal(syscall.SIGKILL)
		i.next = nil
	}
}

// handleOtherExit handles the exit of a process other than the current one, and reports whether c is such a process.
func (i *instance) handleOtherExit(c *child, err error) bool {
	if c == i.stopped {
		i.stopped = nil
	}
	switch c {
	case i.current:
		return false
	case i.next:
		i.next = nil
		i.run.addViolation("crash", "node %s: the next process ended: %v; it wrote: %s", i.c.Name, err, c.lastLine)
	case i.previous:
		i.previous = nil
		i.run.addViolation("crash", "node %s: the predecessor ended: %v; it wrote: %s", i.c.Name, err, c.lastLine)
	case i.duplicate:
		i.duplicate = nil
		i.run.addViolation("crash", "node %s: the stranger ended: %v; it wrote: %s", i.c.Name, err, c.lastLine)
	}
	return true
}
