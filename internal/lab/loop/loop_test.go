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

// runLoop plays f on a loop of its own in a bubble, for a virtual minute.
func runLoop(t *testing.T, f func(l *Loop)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := New(synctest.Wait)
		f(l)
		l.Run(t.Context(), time.Minute, nil)
	})
}

// Guards the first condition of sameness: no two events share an instant, and none falls where ticks do.
func TestInstantsAreDistinct(t *testing.T) {
	runLoop(t, func(l *Loop) {
		seen := map[time.Duration]bool{}
		for range 3000 {
			l.At(5*time.Millisecond, func() {
				now := l.Now()
				if seen[now] || now%time.Microsecond == 0 {
					t.Errorf("an event at %v", now)
				}
				seen[now] = true
			})
		}
		l.At(time.Second, func() {
			if len(seen) != 3000 {
				t.Errorf("%d events happened", len(seen))
			}
		})
	})
}

func TestStop(t *testing.T) {
	runLoop(t, func(l *Loop) {
		e := l.After(time.Second, func() { t.Error("a stopped event happened") })
		if !e.Stop() || e.Stop() || (*Timer)(nil).Stop() {
			t.Error("Stop lied")
		}
		var again *Timer
		again = l.After(time.Second, func() {
			if again.Stop() {
				t.Error("an event that happens was stopped")
			}
		})
	})
}

// Guards the second: what goroutines post at one instant does not hang on which ran first.
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
			t.Fatalf("run %d: %v, not %v", i, got, first)
		}
	}
}

// Guards the third: what a timer of a node's sets off goes before the loop's own event of that instant.
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
		var again func()
		again = func() { n++; l.After(time.Second, again) }
		again()
		if l.Run(t.Context(), 10*time.Second+time.Millisecond, nil) || n != 11 {
			t.Errorf("%d events by the end", n)
		}
		if !l.Run(t.Context(), time.Hour, func() bool { return n == 20 }) || l.Pending() != 1 {
			t.Error("it did not end when it was done")
		}
		ctx, stop := context.WithCancel(t.Context())
		l.After(time.Second/2, stop)
		if l.Run(ctx, time.Hour, nil) || l.Now() > 21*time.Second {
			t.Error("it did not end with its context")
		}
	})
}

// Guards events, on the machine's clock, against goroutines that post faster than the loop runs it.
func TestPostsDoNotStarveTimers(t *testing.T) {
	l := New(nil)
	over := false
	var again func()
	again = func() {
		if !over {
			l.Post(Key{}, again)
		}
	}
	l.Post(Key{}, again)
	l.After(time.Millisecond, func() { over = true })
	if !l.Run(t.Context(), time.Minute, func() bool { return over }) {
		t.Error("the event did not happen")
	}
}

// Guards the loop against falling further behind, the more goroutines post: events that are due do not wait for
// all of that, one by one.
func TestTimersRunInBursts(t *testing.T) {
	l := New(nil)
	posts, events := 0, 0
	var again func()
	again = func() {
		posts++
		l.Post(Key{}, again)
	}
	l.Post(Key{}, again)
	for range 3 * maxBurst {
		l.After(0, func() { events++ })
	}
	if !l.Run(t.Context(), time.Minute, func() bool { return events >= 2*maxBurst+5 }) || posts > 10 {
		t.Errorf("%d events with %d posts", events, posts)
	}
}

// On the machine's clock the loop is the same, with nobody to wait for.
func TestRealClock(t *testing.T) {
	l := New(nil)
	var mu sync.Mutex
	n := 0
	go l.Post(Key{}, func() { mu.Lock(); n++; mu.Unlock() })
	l.After(time.Millisecond, func() { n++ })
	if !l.Run(t.Context(), time.Minute, func() bool { return n == 2 }) {
		t.Error("not done")
	}
}
