package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestDuplicateClientRequestID: a call whose client request id is open gets an error and no attempt, and leaves the
// first alone. The id is free once the first call has ended, its attempt included.
func TestDuplicateClientRequestID(t *testing.T) {
	sent, release := make(chan bool, 1), make(chan AttemptResult)
	r := startRouter(t, func(context.Context, Attempt) AttemptResult {
		sent <- true
		return <-release
	}, listed(7))
	call := newCall(unsafe, time.Minute)
	call.ClientRequestID = "9b"
	answered := make(chan bool)
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		_, ok := r.Handle(ctx, call)
		answered <- ok
	}()
	<-sent
	answer, ok := r.Handle(t.Context(), call)
	if attempts := r.counters.Attempts.Load(); !ok || answer.Verdict != Duplicate || attempts != 1 {
		t.Errorf("%+v, %v after %d attempts", answer, ok, attempts)
	}
	disconnect() // the first call's attempt is still in flight, and may run
	if ok := <-answered; ok {
		t.Error("the first was answered")
	}
	if answer, _ := r.Handle(t.Context(), call); answer.Verdict != Duplicate {
		t.Errorf("while the first's attempt is in flight: %+v", answer)
	}
	release <- AttemptResult{Result: balancer.Cancelled}
	go func() { release <- AttemptResult{Result: balancer.OK} }()
	for answer.Verdict = Duplicate; answer.Verdict != Served; { // until the first's outcome is handled
		answer, _ = r.Handle(t.Context(), call)
		if answer.Verdict != Served && answer.Verdict != Duplicate {
			t.Fatalf("%+v", answer)
		}
	}
	open := make(chan int)
	r.post(inspectEvent(func(r *Router) { open <- len(r.calls.clientRequestIDs) }))
	if n := <-open; n != 0 {
		t.Errorf("%d client request ids stay", n)
	}
}
