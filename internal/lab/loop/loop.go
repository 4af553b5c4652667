// Package loop runs the events of a lab one at a time, each at an instant of
// its own, on whatever clock package time shows: the virtual one inside a
// testing/synctest bubble, or the machine's.
//
// Everything that the lab models (peers, discovery, clients, the network, the
// faults) lives on one Loop and needs no lock. What runs on goroutines of its
// own, as nodes do, reaches the Loop by Post.
package loop

import (
	"cmp"
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// Loop is a queue of events. All methods but Post and Now belong to the
// goroutine of Run, or to whoever has not yet started it.
type Loop struct {
	settle func() // nil: nobody waits
	start  time.Time
	queue  queue
	taken  map[time.Duration]struct{} // instants that an event in the queue has

	mu     sync.Mutex
	posted []post
	news   chan struct{} // holds one: something was posted
}

// New makes a Loop whose time begins now. settle waits until every goroutine
// that an event has set off is at rest; nil: nobody waits for them, and the
// order of what they post is that of their luck.
func New(settle func()) *Loop {
	return &Loop{settle: settle, start: time.Now(), taken: map[time.Duration]struct{}{}, news: make(chan struct{}, 1)}
}

// Now is the time since the Loop was made. It is safe for concurrent use.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Start is the instant at which the Loop was made, by the clock.
func (l *Loop) Start() time.Time { return l.start }

// Event is something that is to happen.
type Event struct {
	at    time.Duration
	f     func()
	place int // in the queue; -1: it has happened, or was stopped
	loop  *Loop
}

// At lets f run at an instant, or, if that is past or another event has it, at
// the next one that is free. Whole microseconds are left to the timers of the
// nodes, whose ticks fall there, so that no event of the lab meets them.
func (l *Loop) At(at time.Duration, f func()) *Event {
	at = max(at, l.Now())
	for {
		if at%time.Microsecond == 0 {
			at++
		}
		if _, used := l.taken[at]; !used {
			break
		}
		at++
	}
	l.taken[at] = struct{}{}
	e := &Event{at: at, f: f, loop: l}
	heap.Push(&l.queue, e)
	return e
}

// After lets f run once d has passed.
func (l *Loop) After(d time.Duration, f func()) *Event { return l.At(l.Now()+d, f) }

// Stop keeps an event from happening and reports whether it did so. It may be
// called on nil.
func (e *Event) Stop() bool {
	if e == nil || e.place < 0 {
		return false
	}
	heap.Remove(&e.loop.queue, e.place)
	delete(e.loop.taken, e.at)
	return true
}

// Key orders what is posted at one instant: by Who, then by N. Whoever posts
// gives each post a Key of its own, which must not hang on the luck of
// goroutines.
type Key struct {
	Who string
	N   uint64
}

type post struct {
	key Key
	f   func()
}

// Post lets f run on the Loop at the present instant, after all else that runs
// now has come to rest. It is safe for concurrent use.
func (l *Loop) Post(k Key, f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, post{k, f})
	l.mu.Unlock()
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// Run lets events happen until ctx ends, until is reached, or done reports true;
// nil asks nothing. It returns whether done did. done is asked after each event;
// where nobody waits for goroutines, after some.
func (l *Loop) Run(ctx context.Context, until time.Duration, done func() bool) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		l.drain()
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
		if next > now {
			timer.Reset(next - now)
			select {
			case <-timer.C:
			case <-l.news:
			case <-ctx.Done():
			}
			continue // what the nodes do at this instant goes before the lab's own event
		}
		if l.settle != nil {
			l.step(now)
		} else {
			l.due()
		}
	}
	return false
}

// burst is how many events that are due happen in a row where nobody waits for
// goroutines: more would let what they post wait for long.
const burst = 64

// due lets events happen that are due.
func (l *Loop) due() {
	for n := 0; n < burst && l.step(l.Now()); n++ {
	}
}

// step lets the next event happen if it is due.
func (l *Loop) step(now time.Duration) bool {
	if len(l.queue) == 0 || l.queue[0].at > now {
		return false
	}
	e := heap.Pop(&l.queue).(*Event)
	delete(l.taken, e.at)
	e.f()
	return true
}

// drain runs what was posted, in the order of the keys, until nothing is; where
// nobody waits for goroutines, once only, since they may post without end.
func (l *Loop) drain() {
	for again := true; again; again = l.settle != nil {
		if l.settle != nil {
			l.settle()
		}
		select {
		case <-l.news:
		default:
		}
		l.mu.Lock()
		some := l.posted
		l.posted = nil
		l.mu.Unlock()
		if len(some) == 0 {
			return
		}
		slices.SortStableFunc(some, func(a, b post) int {
			return cmp.Or(cmp.Compare(a.key.Who, b.key.Who), cmp.Compare(a.key.N, b.key.N))
		})
		for _, p := range some {
			p.f()
			if l.settle == nil { // or events would be late by all that was posted
				l.due()
			}
		}
	}
}

// Pending is how many events are still to happen.
func (l *Loop) Pending() int { return len(l.queue) }

// queue is a heap of events, the earliest first.
type queue []*Event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(x any) {
	e := x.(*Event)
	e.place = len(*q)
	*q = append(*q, e)
}

func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	e.place = -1
	return e
}
