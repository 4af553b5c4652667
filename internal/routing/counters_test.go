package routing

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestCountersOfEachResult checks that each result of an attempt is counted under the name that the operators'
// documentation lists, and that the counters of abnormal events are included.
func TestCountersOfEachResult(t *testing.T) {
	for result, name := range map[balancer.Result]string{
		balancer.OK:            "ok",
		balancer.Errored:       "errored",
		balancer.Rejected:      "turned_away",
		balancer.TimedOut:      "timed_out",
		balancer.ConnectFailed: "connect_failed",
		balancer.Reset:         "reset",
		balancer.Cancelled:     "called_off",
		balancer.NotSent:       "moot",
	} {
		transport := func(context.Context, Attempt) AttemptResult { return AttemptResult{Result: result} }
		r := startRouter(t, transport, fullList(7))
		r.Handle(t.Context(), newCall(nonIdempotentClass, time.Second))
		if want := fmt.Sprintf("try_%s=1", name); !strings.Contains(r.counters.String(), want) {
			t.Errorf("counters do not contain %s: %s", want, r.counters)
		}
	}
	ctx, disconnect := context.WithCancel(t.Context())
	r := startRouter(t, func(ctx context.Context, _ Attempt) AttemptResult {
		disconnect()
		<-ctx.Done()
		return AttemptResult{Result: balancer.Cancelled}
	}, fullList(7))
	r.Handle(ctx, newCall(idempotentClass, time.Minute))
	line := r.counters.String()
	if !strings.Contains(line, "hung_up=1") || !strings.Contains(line, "queue_full=0 guard_answers=0 panics=0") {
		t.Error(line)
	}
	for !strings.Contains(r.counters.String(), " called_off=1") { // the cancellation is a separate event
		time.Sleep(time.Millisecond)
	}
}
