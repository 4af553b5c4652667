package routing

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestFullQueueRejects checks that a call is rejected before its timeout while the queue is full. This is safe for a
// call of any class, because the call never ran.
func TestFullQueueRejects(t *testing.T) {
	r := newRouter(nil, fullList()) // Run is never called
	fillQueue(r)
	call := newCall(nonIdempotentClass, 200*time.Millisecond)
	answer, ok := r.Handle(t.Context(), call)
	elapsed := time.Since(call.ReceivedAt)
	if !ok || answer.Verdict != Rejected || elapsed > call.Timeout {
		t.Errorf("got answer %+v, ok %v after %v; want Rejected within the timeout", answer, ok, elapsed)
	}
}

// TestWatchdogAnswersLostCall checks that a call that the event loop never answers gets DeadlineExceeded, which leaves
// open whether the call ran.
func TestWatchdogAnswersLostCall(t *testing.T) {
	r := newRouter(nil, fullList())
	answer, ok := r.Handle(t.Context(), newCall(idempotentClass, 30*time.Millisecond))
	if !ok || answer.Verdict != DeadlineExceeded {
		t.Errorf("got answer %+v, ok %v; want DeadlineExceeded", answer, ok)
	}
	if r.counters.WatchdogAnswers.Load() != 1 {
		t.Error("WatchdogAnswers does not count the answer of the watchdog")
	}
}

// TestWatchdogWithFullQueue checks that the watchdog answers in time while the event loop hangs and the queue is
// full. It guards against waiting for room in the queue for the disconnectEvent.
func TestWatchdogWithFullQueue(t *testing.T) {
	r := newRouter(nil, fullList())
	call := newCall(nonIdempotentClass, 100*time.Millisecond)
	answers := make(chan Answer, 1)
	go func() {
		answer, _ := r.Handle(t.Context(), call)
		answers <- answer
	}()
	for len(r.events) == 0 { // wait until the call is enqueued
		time.Sleep(time.Millisecond)
	}
	fillQueue(r)
	select {
	case answer := <-answers:
		elapsed := time.Since(call.ReceivedAt)
		if answer.Verdict != DeadlineExceeded || elapsed > call.Timeout+50*time.Millisecond {
			t.Errorf("got answer %+v after %v, want DeadlineExceeded at most 50 ms after the timeout", answer, elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Error("Handle returned no answer within 5 s")
	}
	close(r.stopped)
}

// TestRejectsOnceStopped checks that a call received after the event loop has stopped is rejected with a Retry-After.
// It never ran.
func TestRejectsOnceStopped(t *testing.T) {
	r := newRouter(nil, fullList())
	close(r.stopped)
	answer, ok := r.Handle(t.Context(), newCall(nonIdempotentClass, time.Second))
	if !ok || answer.Verdict != Rejected || answer.RetryAfter <= 0 {
		t.Errorf("got answer %+v, ok %v; want Rejected with a RetryAfter", answer, ok)
	}
}

// TestAnswerBeforeWait checks that an answer delivered before the front end waits for it is not lost: a call with a
// lost answer would hang until its timeout.
func TestAnswerBeforeWait(t *testing.T) {
	r := newRouter(nil, fullList())
	call := &openCall{Call: newCall(idempotentClass, time.Minute), waiter: r.newAnswerWaiter()}
	r.respond(call, Answer{Verdict: Rejected})
	r.respond(call, Answer{Verdict: Served}) // a second answer has no effect
	answer, ok := r.awaitAnswer(t.Context(), call)
	if !ok || answer.Verdict != Rejected || len(call.waiter.answered) != 0 {
		t.Errorf("got answer %+v, ok %v; want the first answer, Rejected, signalled once", answer, ok)
	}
}

// TestWaitForQueueCapacity checks the three ends of waiting for room in the queue: the client disconnects and the call
// is dropped, the event loop stops and the call is rejected with a Retry-After, or there is room and the call is
// enqueued.
func TestWaitForQueueCapacity(t *testing.T) {
	const delay = 10 * time.Millisecond
	full := func() *Router {
		r := newRouter(nil, fullList())
		fillQueue(r)
		return r
	}
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(delay, disconnect)
	if answer, ok := full().Handle(ctx, newCall(idempotentClass, time.Minute)); ok {
		t.Errorf("disconnected client got answer %+v, want none", answer)
	}

	r := full()
	time.AfterFunc(delay, func() { close(r.stopped) })
	answer, ok := r.Handle(t.Context(), newCall(idempotentClass, time.Minute))
	if !ok || answer.Verdict != Rejected || answer.RetryAfter <= 0 {
		t.Errorf("event loop stopped: got answer %+v, ok %v; want Rejected with a RetryAfter", answer, ok)
	}

	r = full()
	time.AfterFunc(delay, func() { <-r.events })
	answer, ok = r.Handle(t.Context(), newCall(idempotentClass, 200*time.Millisecond))
	if !ok || answer.Verdict != DeadlineExceeded {
		t.Errorf("enqueued but never handled: got answer %+v, ok %v; want DeadlineExceeded", answer, ok)
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r = full()
	<-r.events // makes room for the snapshotEvent only
	if _, err := r.Snapshot(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
