package routing

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestFullQueueRejects: with the queue full a call is rejected well before its time is up, whatever its class, since it
// never ran.
func TestFullQueueRejects(t *testing.T) {
	r := newRouter(nil, listed()) // Run is never called
	fillQueue(r)
	call := newCall(unsafe, 200*time.Millisecond)
	answer, ok := r.Handle(t.Context(), call)
	elapsed := time.Since(call.ReceivedAt)
	if !ok || answer.Verdict != Rejected || elapsed > call.Timeout {
		t.Errorf("%+v, %v after %v", answer, ok, elapsed)
	}
}

// TestWatchdogAnswersLostCall: a call that the decisions never answer gets an answer all the same, and it promises
// nothing.
func TestWatchdogAnswersLostCall(t *testing.T) {
	r := newRouter(nil, listed())
	answer, ok := r.Handle(t.Context(), newCall(safe, 30*time.Millisecond))
	if !ok || answer.Verdict != DeadlineExceeded {
		t.Errorf("%+v, %v", answer, ok)
	}
	if r.counters.WatchdogAnswers.Load() != 1 {
		t.Error("the watchdog did not count")
	}
}

// TestWatchdogBehindAFullQueue: where the decisions hang, the watchdog's answer waits for nothing. It guards against
// waiting for room in the queue for the event that tells of the disconnect.
func TestWatchdogBehindAFullQueue(t *testing.T) {
	r := newRouter(nil, listed())
	call := newCall(unsafe, 100*time.Millisecond)
	answers := make(chan Answer, 1)
	go func() {
		answer, _ := r.Handle(t.Context(), call)
		answers <- answer
	}()
	for len(r.events) == 0 { // until the call is enqueued
		time.Sleep(time.Millisecond)
	}
	fillQueue(r)
	select {
	case answer := <-answers:
		elapsed := time.Since(call.ReceivedAt)
		if answer.Verdict != DeadlineExceeded || elapsed > call.Timeout+50*time.Millisecond {
			t.Errorf("%+v after %v", answer, elapsed)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer")
	}
	close(r.stopped)
}

// TestRejectsOnceStopped: what comes once the decisions have ended never ran, and gets a Retry-After.
func TestRejectsOnceStopped(t *testing.T) {
	r := newRouter(nil, listed())
	close(r.stopped)
	answer, ok := r.Handle(t.Context(), newCall(unsafe, time.Second))
	if !ok || answer.Verdict != Rejected || answer.RetryAfter <= 0 {
		t.Errorf("%+v, %v", answer, ok)
	}
}

// TestAnswerBeforeWait guards against an answer that is lost because it was given before the front end waited for it:
// the call then hung until its time was up.
func TestAnswerBeforeWait(t *testing.T) {
	r := newRouter(nil, listed())
	call := &openCall{Call: newCall(safe, time.Minute), waiter: r.newAnswerWaiter()}
	r.respond(call, Answer{Verdict: Rejected})
	r.respond(call, Answer{Verdict: Served}) // the second of a race counts for nothing
	answer, ok := r.awaitAnswer(t.Context(), call)
	if !ok || answer.Verdict != Rejected || len(call.waiter.answered) != 0 {
		t.Errorf("%+v, %v", answer, ok)
	}
}

// TestWaitForQueueCapacity: a call that waits for room in the queue is dropped once its client disconnects, rejected
// with a Retry-After as the decisions end, and enqueued once there is room.
func TestWaitForQueueCapacity(t *testing.T) {
	const delay = 10 * time.Millisecond
	full := func() *Router {
		r := newRouter(nil, listed())
		fillQueue(r)
		return r
	}
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(delay, disconnect)
	if answer, ok := full().Handle(ctx, newCall(safe, time.Minute)); ok {
		t.Errorf("a disconnected client got %+v", answer)
	}

	r := full()
	time.AfterFunc(delay, func() { close(r.stopped) })
	answer, ok := r.Handle(t.Context(), newCall(safe, time.Minute))
	if !ok || answer.Verdict != Rejected || answer.RetryAfter <= 0 {
		t.Errorf("as the decisions end: %+v, %v", answer, ok)
	}

	r = full()
	time.AfterFunc(delay, func() { <-r.events })
	answer, ok = r.Handle(t.Context(), newCall(safe, 200*time.Millisecond))
	if !ok || answer.Verdict != DeadlineExceeded {
		t.Errorf("enqueued at last, and never decided: %+v, %v", answer, ok)
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r = full()
	<-r.events // room for the question alone
	if _, err := r.Snapshot(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
