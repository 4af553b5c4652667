package routing

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// TestWaitForTheQueue: a call that waits for room in the queue is let go with its client, and refused, with a time to
// come back, as the decisions end; in it goes once there is room.
func TestWaitForTheQueue(t *testing.T) {
	full := func() *Router {
		r := newRouter(nil, listed())
		for range queueLength {
			r.events <- &wakeEvent{}
		}
		return r
	}
	ctx, gone := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, gone)
	if a, ok := full().Handle(ctx, call(safe, time.Minute)); ok {
		t.Errorf("a client that has gone got %+v", a)
	}
	r := full()
	time.AfterFunc(10*time.Millisecond, func() { close(r.stopped) })
	if a, ok := r.Handle(t.Context(), call(safe, time.Minute)); !ok || a.Verdict != Rejected || a.RetryAfter <= 0 {
		t.Errorf("as the decisions end: %+v, %v", a, ok)
	}
	r = full()
	time.AfterFunc(10*time.Millisecond, func() { <-r.events })
	if a, ok := r.Handle(t.Context(), call(safe, 200*time.Millisecond)); !ok || a.Verdict != DeadlineExceeded {
		t.Errorf("in at last, and never decided: %+v, %v", a, ok)
	}
	ctx, gone = context.WithCancel(t.Context())
	gone()
	if _, err := full().restOf(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}

// restOf asks where nobody decides: the question goes in first.
func (r *Router) restOf(ctx context.Context) (Snapshot, error) {
	<-r.events
	return r.Snapshot(ctx)
}

// TestConfirmGoesOn: a try that asks decisions which do not answer waits no longer than its time, nor for what nobody wants.
func TestConfirmGoesOn(t *testing.T) {
	for name, end := range map[string]func(*runningAttempt){
		"its time is up":      func(a *runningAttempt) { a.ExpiresAt = time.Now() },
		"it is called off":    func(a *runningAttempt) { time.AfterFunc(10*time.Millisecond, func() { a.end(ErrCancelled) }) },
		"the decisions ended": func(a *runningAttempt) { close(a.router.stopped) },
	} {
		for _, waiting := range []int{0, queueLength} {
			a := &runningAttempt{router: newRouter(nil, listed()), Attempt: Attempt{ExpiresAt: time.Now().Add(time.Hour)}}
			for range waiting {
				a.router.events <- &wakeEvent{}
			}
			if end(a); a.confirm() {
				t.Errorf("%s, behind %d events: it may begin", name, waiting)
			}
		}
	}
}

// TestEndOfAnAttempt: whoever asks for the end of a try that has ended finds it, with its first cause.
func TestEndOfAnAttempt(t *testing.T) {
	a := new(runningAttempt)
	a.end(ErrDeadlineExceeded)
	a.end(ErrCancelled)
	select {
	case <-a.Done():
	default:
		t.Error("it does not seem to have ended")
	}
	if a.Err() != ErrDeadlineExceeded || a.Value(nil) != nil {
		t.Error(a.Err())
	}
}

// odd is a carrier and a watch with faults of the program in them.
type odd struct{ panics bool }

func (odd) RoundTrip(context.Context, Attempt) AttemptResult {
	return AttemptResult{Result: balancer.OK}
}
func (odd) CheckHealth(context.Context, *Upstream) balancer.Result { panic("probe") }
func (o odd) Watch(context.Context, func(EndpointList)) (err error) {
	if o.panics {
		panic("watch")
	}
	return nil
}

// TestPanicsBesideTheDecisions: a fault in a probe or in the watch is a probe that failed and a watch that ended, and
// so is a watch that ends without a word; the module asks anew.
func TestPanicsBesideTheDecisions(t *testing.T) {
	for _, panics := range []bool{true, false} {
		set := testSettings()
		set.HealthChecks, set.PollInterval = true, time.Millisecond
		r := newRouter(nil, listed(7))
		r.set, r.carrier, r.watcher = set, odd{}, odd{panics}
		ctx, stop := context.WithCancel(t.Context())
		over := make(chan error)
		go func() { over <- r.Run(ctx) }()
		for r.count.HealthChecksFailed.Load() == 0 || r.count.WatchFailures.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		if a, ok := r.Handle(t.Context(), call(safe, time.Second)); !ok || a.Verdict != Served && a.Verdict != Rejected { // its one peer fails probes
			t.Errorf("%+v, %v", a, ok)
		}
		stop()
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// TestOddWordsToTheDecisions: what they cannot do is said, and changes nothing.
func TestOddWordsToTheDecisions(t *testing.T) {
	r := newRouter(nil, listed(7))
	r.servers = maintenance.New()
	var said bytes.Buffer
	r.log = slog.New(slog.NewTextHandler(&said, nil))
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error)
	go func() { over <- r.Run(ctx) }()
	if err := r.Suspend("nobody"); err == nil || err.Error() != `no list has ever named server "nobody"` {
		t.Error(err)
	}
	r.AddKnownServer("elsewhere") // listed in the node's other process, not here
	if err := r.Suspend("elsewhere"); err != nil {
		t.Error(err)
	}
	r.UpdateSettings(balancer.Settings{}) // which has no classes
	kept := make(chan int)
	r.post(look(func(r *Router) {
		r.CheckHealth(99) // which no list has named
		r.abandon(99)
		kept <- len(r.set.Classes)
	}))
	if n := <-kept; n != 2 {
		t.Errorf("%d classes", n)
	}
	stop()
	<-over
	if !strings.Contains(said.String(), "settings not taken") {
		t.Error(said.String())
	}
	r = newRouter(nil, listed())
	r.set = balancer.Settings{}
	if err := r.Run(t.Context()); err == nil {
		t.Error("decisions without a class")
	}
	if DeadlineExceeded.String() != "overdue" {
		t.Error(DeadlineExceeded)
	}
}

// TestCountersTell: each end of a try counts under the name that the operators' page has, and so does what should not
// happen.
func TestCountersTell(t *testing.T) {
	for result, name := range map[balancer.Result]string{balancer.OK: "ok", balancer.Errored: "errored", balancer.Rejected: "turned_away",
		balancer.TimedOut: "timed_out", balancer.ConnectFailed: "connect_failed", balancer.Reset: "reset", balancer.Cancelled: "called_off",
		balancer.NotSent: "moot"} {
		r := started(t, func(context.Context, Attempt) AttemptResult { return AttemptResult{Result: result} }, listed(7))
		r.Handle(t.Context(), call(unsafe, time.Second))
		if want := fmt.Sprintf("try_%s=1", name); !strings.Contains(r.count.String(), want) {
			t.Errorf("no %s in %s", want, r.count)
		}
	}
	ctx, leave := context.WithCancel(t.Context())
	r := started(t, func(ctx context.Context, _ Attempt) AttemptResult {
		leave()
		<-ctx.Done()
		return AttemptResult{Result: balancer.Cancelled}
	}, listed(7))
	r.Handle(ctx, call(safe, time.Minute))
	if said := r.count.String(); !strings.Contains(said, "hung_up=1") || !strings.Contains(said, "queue_full=0 guard_answers=0 panics=0") {
		t.Error(said)
	}
	for !strings.Contains(r.count.String(), " called_off=1") { // its cancellation is an event of its own
		time.Sleep(time.Millisecond)
	}
}
