package loop

import (
	"container/heap"
	"time"
)

// Timer is a function scheduled to run on a Loop at an instant.
type Timer struct {
	at    time.Duration
	run   func()
	index int // in the queue; -1: it has run, or was stopped
	loop  *Loop
}

// At runs a function at an instant. If the instant is past or another timer has it, the function runs at the next
// free one. Whole microseconds are reserved for the timers of the nodes, whose ticks fall on them, so that no timer
// of the lab shares an instant with them.
func (l *Loop) At(at time.Duration, run func()) *Timer {
	at = l.freeInstant(max(at, l.Now()))
	l.usedInstants[at] = struct{}{}
	t := &Timer{at: at, run: run, loop: l}
	heap.Push(&l.queue, t)
	return t
}

// freeInstant returns the first free instant that is not before at.
func (l *Loop) freeInstant(at time.Duration) time.Duration {
	for {
		if at%time.Microsecond == 0 {
			at++
		}
		if _, used := l.usedInstants[at]; !used {
			return at
		}
		at++
	}
}

// After runs a function once d has passed.
func (l *Loop) After(d time.Duration, run func()) *Timer { return l.At(l.Now()+d, run) }

// Stop keeps a timer from running, and reports whether it did so. It may be called on a nil Timer.
func (t *Timer) Stop() bool {
	if t == nil || t.index < 0 {
		return false
	}
	heap.Remove(&t.loop.queue, t.index)
	delete(t.loop.usedInstants, t.at)
	return true
}

// Pending returns the number of timers that have not yet run.
func (l *Loop) Pending() int { return len(l.queue) }

// timerQueue is a heap of timers, the earliest first.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *timerQueue) Push(x any) {
	t := x.(*Timer)
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
