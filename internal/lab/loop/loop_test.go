package loop

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// runLoop calls f with a new loop in a synctest bubble and runs the loop for a virtual minute.
func runLoop(t *testing.T, f func(l *Loop)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(synctest.Wait)
		f(l)
		l.Run(t.Context(), time.Minute, nil)
	})
}

// TestInstantsAreDistinct guards a condition of deterministic runs: no two timers share an instant, and none falls
// on a whole microsecond, where the nodes' ticks are.
func TestInstantsAreDistinct(t *testing.T) {
	runLoop(t, func(l *Loop) {
		seen := map[time.Duration]bool{}
		for range 3000 {
			l.At(5*time.Millisecond, func() {
				now := l.Now()
				if seen[now] || now%time.Microsecond == 0 {
					t.Errorf("timer ran at %v: not a free instant", now)
				}
				seen[now] = true
			})
		}
		l.At(time.Second, func() {
			if len(seen) != 3000 {
				t.Errorf("%d timers ran, want 3000", len(seen))
			}
		})
	})
}

func TestStop(t *testing.T) {
	runLoop(t, func(l *Loop) {
		e := l.After(time.Second, func() { t.Error("a stopped timer ran") })
		if !e.Stop() || e.Stop() || (*Timer)(nil).Stop() {
			t.Error("Stop did not return true, false and, for nil, false")
		}
		var again *Timer
		again = l.After(time.Second, func() {
			if again.Stop() {
				t.Error("Stop returned true for a running timer")
			}
		})
	})
}

// TestPostsAreSorted guards a condition of deterministic runs: the order of functions that goroutines post at one
// instant does not depend on the scheduling of the goroutines.
func TestPostsAreSorted(t *testing.T) {
	var first []string
	for i := range 50 {
		var got []string
		runLoop(t, func(l *Loop) {
			l.After(time.Millisecond, func() {
				for n := range 20 {
					go func() {
						l.Post(Key{fmt.Sprint("host", n%4), uint64(n)}, func() { got = append(got, fmt.Sprint(n, l.Now())) })
					}()
				}
			})
		})
		if i == 0 {
			first = got
		}
		if len(got) != 20 || !slices.Equal(got, first) {
			t.Fatalf("run %d: %v, want %v", i, got, first)
		}
	}
}

// TestNodeTimersRunFirst guards a condition of deterministic runs: a function posted by a node's timer runs before
// the loop's own timer of that instant.
func TestNodeTimersRunFirst(t *testing.T) {
	runLoop(t, func(l *Loop) {
		var order []string
		at := time.Millisecond + 1
		l.At(at, func() { order = append(order, "event") })
		time.AfterFunc(at, func() { l.Post(Key{Source: "timer"}, func() { order = append(order, "timer") }) })
		l.At(time.Second, func() {
			if !slices.Equal(order, []string{"timer", "event"}) {
				t.Error(order)
			}
		})
	})
}

func TestRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(synctest.Wait)
		n := 0
		var repeat func()
		repeat = func() { n++; l.After(time.Second, repeat) }
		repeat()
		if l.Run(t.Context(), 10*time.Second+time.Millisecond, nil) || n != 11 {
			t.Errorf("%d timers ran until the time limit, want 11, or done was reported", n)
		}
		if !l.Run(t.Context(), time.Hour, func() bool { return n == 20 }) || l.Pending() != 1 {
			t.Error("Run did not return when done returned true")
		}
		ctx, stop := context.WithCancel(t.Context())
		l.After(time.Second/2, stop)
		if l.Run(ctx, time.Hour, nil) || l.Now() > 21*time.Second {
			t.Error("Run did not return when its context ended")
		}
	})
}

// TestPostsDoNotStarveTimers guards against goroutines that, on the machine's clock, post faster than the loop runs
// their functions and keep timers from running.
func TestPostsDoNotStarveTimers(t *testing.T) {
	l := New(nil)
	timerRan := false
	var repost func()
	repost = func() {
		if !timerRan {
			l.Post(Key{}, repost)
		}
	}
	l.Post(Key{}, repost)
	l.After(time.Millisecond, func() { timerRan = true })
	if !l.Run(t.Context(), time.Minute, func() bool { return timerRan }) {
		t.Error("the timer did not run")
	}
}

// TestTimersRunInBursts guards against a loop that falls further behind the more goroutines post: due timers run in
// bursts instead of one timer after each posted function.
func TestTimersRunInBursts(t *testing.T) {
	l := New(nil)
	posts, timersRun := 0, 0
	var repost func()
	repost = func() {
		posts++
		l.Post(Key{}, repost)
	}
	l.Post(Key{}, repost)
	for range 3 * maxBurst {
		l.After(0, func() { timersRun++ })
	}
	if !l.Run(t.Context(), time.Minute, func() bool { return timersRun >= 2*maxBurst+5 }) || posts > 10 {
		t.Errorf("%d timers ran along with %d posts", timersRun, posts)
	}
}

// TestRealClock checks that the loop runs timers and posted functions on the machine's clock, where it does not wait
// for goroutines.
func TestRealClock(t *testing.T) {
	l := New(nil)
	var mu sync.Mutex
	n := 0
	go l.Post(Key{}, func() { mu.Lock(); n++; mu.Unlock() })
	l.After(time.Millisecond, func() { n++ })
	if !l.Run(t.Context(), time.Minute, func() bool { return n == 2 }) {
		t.Error("the timer and the posted function did not both run")
	}
}
