package routing

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// TestInvalidChangesAreRejected checks that an invalid change is returned as an error or logged and has no effect.
func TestInvalidChangesAreRejected(t *testing.T) {
	r := newRouter(nil, fullList(7))
	r.maintenance = maintenance.New()
	var logged bytes.Buffer
	r.log = slog.New(slog.NewTextHandler(&logged, nil))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	if err := r.Suspend("nobody"); err == nil || err.Error() != `no list has ever named server "nobody"` {
		t.Error(err)
	}
	r.AddUnlistedServer("elsewhere") // listed only by another process of the node
	if err := r.Suspend("elsewhere"); err != nil {
		t.Error(err)
	}
	r.UpdateSettings(balancer.Settings{}) // invalid: no classes
	classes := make(chan int)
	r.post(inspectEvent(func(r *Router) {
		r.CheckHealth(99) // in no list
		r.abandon(99)
		classes <- len(r.settings.Classes)
	}))
	if n := <-classes; n != 2 {
		t.Errorf("got %d classes, want 2", n)
	}
	stop()
	<-ended
	if !strings.Contains(logged.String(), "settings not taken") {
		t.Error(logged.String())
	}
	r = newRouter(nil, fullList())
	r.settings = balancer.Settings{}
	if err := r.Run(t.Context()); err == nil {
		t.Error("Run returned no error for settings without classes")
	}
	if DeadlineExceeded.String() != "overdue" {
		t.Error(DeadlineExceeded)
	}
}

// TestRunLeavesNothingRunning checks that after Run returns no attempt and no timer started by it is left and no call
// waits.
func TestRunLeavesNothingRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attemptEnded atomic.Bool
		r := newRouter(func(ctx context.Context, _ Attempt) AttemptResult {
			<-ctx.Done()
			time.Sleep(time.Millisecond)
			attemptEnded.Store(true)
			return AttemptResult{Result: balancer.Cancelled}
		}, fullList(7))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		answered := make(chan bool)
		go func() {
			_, ok := r.Handle(t.Context(), newCall(idempotentClass, time.Minute))
			answered <- ok
		}()
		synctest.Wait()
		want := Snapshot{
			Calls:            1,
			ClientRequestIDs: 1,
			AttemptsInFlight: 1,
			Upstreams:        1,
			Timers:           1,
			WatchRunning:     true,
		}
		if snapshot, err := r.Snapshot(t.Context()); err != nil || snapshot != want {
			t.Errorf("got snapshot %+v, error %v", snapshot, err)
		}
		stopped := time.Now()
		stop()
		if ok := <-answered; ok || time.Since(stopped) > 0 {
			t.Errorf("call pending at shutdown: got ok %v after %v, want false at once", ok, time.Since(stopped))
		}
		if err := <-ended; err != nil || !attemptEnded.Load() {
			t.Errorf("Run returned %v or did not wait for an attempt", err)
		}
		for e := range r.timers {
			if e.timer.Stop() {
				t.Error("a timer still runs after Run has returned")
			}
		}
		if _, err := r.Snapshot(t.Context()); err == nil {
			t.Error("Snapshot returned no error after Run has returned")
		}
	})
}
