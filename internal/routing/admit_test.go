package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestDuplicateClientRequestID checks that a call with the client request id of an open call gets an error without an
// attempt and does not affect the open call. The id can be used again once the first call and its attempt have ended.
func TestDuplicateClientRequestID(t *testing.T) {
	sent, release := make(chan bool, 1), make(chan AttemptResult)
	r := startRouter(t, func(context.Context, Attempt) AttemptResult {
		sent <- true
		return <-release
	}, fullList(7))
	call := newCall(nonIdempotentClass, time.Minute)
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
		t.Errorf("duplicate call: got %+v, ok %v after %d attempts; want Duplicate after 1 attempt", answer, ok, attempts)
	}
	disconnect() // the attempt of the first call is still in flight and may run
	if ok := <-answered; ok {
		t.Error("the first call was answered after its client disconnected")
	}
	if answer, _ := r.Handle(t.Context(), call); answer.Verdict != Duplicate {
		t.Errorf("attempt of the first call in flight: got answer %+v, want Duplicate", answer)
	}
	release <- AttemptResult{Result: balancer.Cancelled}
	go func() { release <- AttemptResult{Result: balancer.OK} }()
	for answer.Verdict = Duplicate; answer.Verdict != Served; { // until the outcome of the first call is handled
		answer, _ = r.Handle(t.Context(), call)
		if answer.Verdict != Served && answer.Verdict != Duplicate {
			t.Fatalf("got answer %+v, want Served or Duplicate", answer)
		}
	}
	open := make(chan int)
	r.post(inspectEvent(func(r *Router) { open <- len(r.calls.clientRequestIDs) }))
	if n := <-open; n != 0 {
		t.Errorf("%d client request ids are left in the call table, want 0", n)
	}
}
