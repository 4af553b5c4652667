// Package loop runs the functions of a lab one at a time, each at a different instant, on the clock that package time
// shows: the virtual clock of a testing/synctest bubble, or the machine's clock.
//
// Everything that the lab models (peers, discovery, clients, the network, the faults) runs on one Loop and needs no
// lock. Code that runs on other goroutines, such as the nodes, calls Post.
package loop

import (
	"cmp"
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// maxBurst is the maximum number of due timers that run consecutively where the loop does not wait for goroutines:
// more would delay the functions that goroutines post.
const maxBurst = 64

// Loop is a queue of timers and of posted functions. All methods except Post and Now belong to the goroutine of Run,
// or to the creator until Run is called.
type Loop struct {
	waitIdle     func() // nil: the loop does not wait for goroutines
	start        time.Time
	queue        timerQueue
	usedInstants map[time.Duration]struct{} // of the timers in the queue

	mu     sync.Mutex
	posted []post        // guarded by mu
	wake   chan struct{} // holds one element: something was posted
}

// New returns a Loop whose time begins now. waitIdle waits until every goroutine that a function on the Loop has
// started is blocked. If it is nil, the Loop does not wait for goroutines, and the order of their posts depends on
// the scheduler.
func New(waitIdle func()) *Loop {
	return &Loop{
		waitIdle:     waitIdle,
		start:        time.Now(),
		usedInstants: map[time.Duration]struct{}{},
		wake:         make(chan struct{}, 1),
	}
}

// Now returns the time since the Loop was made. It is safe for concurrent use.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Start returns the clock time at which the Loop was made.
func (l *Loop) Start() time.Time { return l.start }

// Key orders the functions posted at one instant: by Source, then by Sequence. Each post has a unique Key, which must
// not depend on the scheduling of goroutines.
type Key struct {
	Source   string
	Sequence uint64
}

type post struct {
	key Key
	run func()
}

// Post runs a function on the Loop at the present instant, once all running functions and goroutines are blocked. It
// is safe for concurrent use.
func (l *Loop) Post(k Key, run func()) {
	l.mu.Lock()
	l.posted = append(l.posted, post{key: k, run: run})
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs timers and posted functions until ctx ends, the time until is reached, or done returns true; done may be
// nil. Run reports whether done returned true. done is called after each timer or, where the Loop does not wait for
// goroutines, after several of them.
func (l *Loop) Run(ctx context.Context, until time.Duration, done func() bool) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		l.runPosted()
		if done != nil && done() {
			return true
		}
		now := l.Now()
		if now >= until {
			return false
		}
		next := until
		if len(l.queue) > 0 {
			next = min(next, l.queue[0].at)
		}
		switch {
		case next > now:
			// The nodes' timers of the next instant run before the timer of the lab.
			timer.Reset(next - now)
			l.wait(ctx, timer)
		case l.waitIdle != nil:
			l.runNext(now)
		default:
			l.runDue()
		}
	}
	return false
}

// wait waits until the timer fires, something is posted or ctx ends.
func (l *Loop) wait(ctx context.Context, timer *time.Timer) {
	select {
	case <-timer.C:
	case <-l.wake:
	case <-ctx.Done():
	}
}

// runDue runs the timers that are due, at most maxBurst of them.
func (l *Loop) runDue() {
	for range maxBurst {
		if !l.runNext(l.Now()) {
			return
		}
	}
}

// runNext runs the next timer if it is due, and reports whether it was.
func (l *Loop) runNext(now time.Duration) bool {
	if len(l.queue) == 0 || l.queue[0].at > now {
		return false
	}
	t := heap.Pop(&l.queue).(*Timer)
	delete(l.usedInstants, t.at)
	t.run()
	return true
}

// runPosted runs posted functions until none is left. Where the Loop does not wait for goroutines, it runs one batch
// only, since they may post without end.
func (l *Loop) runPosted() {
	if l.waitIdle == nil {
		l.runBatch()
		return
	}
	for more := true; more; more = l.runBatch() {
		l.waitIdle()
	}
}

// runBatch runs the functions posted until now, in the order of their keys, and reports whether there were any.
func (l *Loop) runBatch() bool {
	batch := l.takePosted()
	slices.SortStableFunc(batch, func(a, b post) int {
		return cmp.Or(cmp.Compare(a.key.Source, b.key.Source), cmp.Compare(a.key.Sequence, b.key.Sequence))
	})
	for _, p := range batch {
		p.run()
		if l.waitIdle == nil {
			l.runDue() // otherwise all posted functions would delay the timers
		}
	}
	return len(batch) > 0
}

// takePosted removes and returns the functions posted until now.
func (l *Loop) takePosted() []post {
	select {
	case <-l.wake:
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.posted
	l.posted = nil
	return batch
}
