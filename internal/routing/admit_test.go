package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// TestDuplicateClientRequestID checks that a call with the client request id of an open call gets an error without an
// attempt and does not affect the open call. Once that call and its attempt have ended, its id can be used again unless
// the call must not run twice and may have run.
func TestDuplicateClientRequestID(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		result balancer.Result
		want   Verdict // of a call with the same id, after the end of the first
	}{
		"non-idempotent, may have run": {nonIdempotentClass, balancer.Cancelled, Duplicate},
		"non-idempotent, never ran":    {nonIdempotentClass, balancer.NotSent, Served},
		"idempotent, may have run":     {idempotentClass, balancer.Cancelled, Served},
	} {
		t.Run(name, func(t *testing.T) { testDuplicateClientRequestID(t, c.class, c.result, c.want) })
	}
}

// testDuplicateClientRequestID runs one row of TestDuplicateClientRequestID.
func testDuplicateClientRequestID(t *testing.T, class int, result balancer.Result, want Verdict) {
	sent, release := make(chan bool, 1), make(chan AttemptResult)
	r := startRouter(t, func(context.Context, Attempt) AttemptResult {
		sent <- true
		return <-release
	}, fullList(7))
	call := newCall(class, time.Minute)
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
	release <- AttemptResult{Result: result}
	if open := r.awaitNoOpenCalls(t); open != 0 {
		t.Fatalf("%d client request ids are left in the call table, want 0", open)
	}
	go func() { release <- AttemptResult{Result: balancer.OK} }()
	if answer, _ := r.Handle(t.Context(), call); answer.Verdict != want {
		t.Errorf("after the end of the first call: got answer %+v, want verdict %v", answer, want)
	}
	if want == Duplicate {
		<-release // the attempt that was not made
	}
	if open := r.awaitNoOpenCalls(t); open != 0 {
		t.Errorf("%d client request ids are left in the call table, want 0", open)
	}
}

// awaitNoOpenCalls waits until no client request id is in the call table, for up to a second, and returns their number.
func (r *Router) awaitNoOpenCalls(t *testing.T) int {
	t.Helper()
	open := make(chan int)
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		r.post(inspectEvent(func(r *Router) { open <- len(r.calls.clientRequestIDs) }))
		if n := <-open; n == 0 || time.Now().After(end) {
			return n
		}
	}
}

// TestEndedCallsAreBounded checks that the ids of ended calls use no more than their memory: calls that must not run
// twice are rejected while every remembered id is too young to be forgotten, and older ids make room.
func TestEndedCallsAreBounded(t *testing.T) {
	const ids = 8
	ended := newEndedCalls(ids * endedCallSize("0"))
	now := time.Now()
	for i := range ids {
		if !ended.hasRoom(now) {
			t.Fatalf("no room for id %d of %d", i, ids)
		}
		ended.add(string(rune('a'+i)), now)
	}
	if ended.hasRoom(now.Add(minEndedCallRetention - 1)) {
		t.Error("room for another id while all are too young to be forgotten")
	}
	later := now.Add(minEndedCallRetention)
	if !ended.hasRoom(later) || ended.contains("a", later) || !ended.contains("b", later) {
		t.Error("the oldest id, and only that, must make room")
	}
	if ended.add("z", now.Add(endedCallRetention)); ended.contains("b", later) || ended.queue.count != 1 {
		t.Errorf("%d ids are remembered after the retention, want 1", ended.queue.count)
	}
}
