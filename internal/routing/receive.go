package routing

import (
	"context"
	"time"
)

const (
	// answerMargin is the part of a call's timeout that is left for the answer's way to the client.
	answerMargin = 4 * time.Millisecond
	// watchdogDelay is how long after a call's timeout Handle answers by itself.
	watchdogDelay = 12 * time.Millisecond
	// enqueueTimeoutDivisor divides a call's timeout into the time that it may wait to be enqueued.
	enqueueTimeoutDivisor = 4
)

// Handle runs on the front end's goroutine: it hands a call to the decisions and waits for its one
// answer. It answers by itself, and so always in time, where the decisions are too busy to take the call, which then
// has not run, or have not answered when its time is up. When ctx ends, the client has gone and ok is false.
func (r *Router) Handle(ctx context.Context, c Call) (answer Answer, ok bool) {
	r.counters.Received.Add(1)
	defer func() { r.counters.countEnd(answer, ok) }()
	if r.admission != nil {
		admitted, retryAfter := r.admission.Admit(c.Tenant)
		if !admitted {
			r.counters.RejectedByFleetQuota.Add(1)
			return r.rejectOverQuota(retryAfter), true
		}
		defer r.admission.Release(c.Tenant)
	}
	call := &openCall{Call: c, waiter: r.newAnswerWaiter()}
	switch r.enqueue(ctx, call) {
	case notEnqueued:
		return r.rejectUnseen(), true
	case disconnected:
		return Answer{}, false
	}
	return r.awaitAnswer(ctx, call)
}

// enqueueResult says whether the decisions get a call.
type enqueueResult uint8

const (
	enqueued     enqueueResult = iota
	notEnqueued                // the decisions are too busy or have ended: the call never ran
	disconnected               // the client has gone: the call never ran
)

// enqueue hands a call to the decisions. It waits for a part of the call's timeout while the queue is full.
func (r *Router) enqueue(ctx context.Context, call *openCall) enqueueResult {
	select {
	case <-r.stopped:
		return notEnqueued
	default:
	}
	select {
	case r.events <- admitEvent{call}:
		return enqueued
	default:
	}
	timeout := time.NewTimer(time.Until(call.ReceivedAt.Add(call.Timeout / enqueueTimeoutDivisor)))
	defer timeout.Stop()
	select {
	case r.events <- admitEvent{call}:
		return enqueued
	case <-timeout.C: // guards against an overfull queue
		r.counters.QueueFull.Add(1)
		return notEnqueued
	case <-r.stopped:
		return notEnqueued
	case <-ctx.Done():
		return disconnected
	}
}

// rejectUnseen answers a call that the decisions never saw.
func (r *Router) rejectUnseen() Answer {
	return Answer{Verdict: Rejected, RetryAfter: time.Duration(r.maxRetryAfter.Load())}
}

// rejectOverQuota answers a call whose tenant has nothing left of the fleet's quota.
func (r *Router) rejectOverQuota(retryAfter time.Duration) Answer {
	return Answer{Verdict: Rejected, RetryAfter: min(retryAfter, time.Duration(r.maxRetryAfter.Load()))}
}

// answerWaiter is what a front end's goroutine waits on for a call's answer. It is pooled, but only by the goroutine
// that has got the answer: nobody signals it any more then.
type answerWaiter struct {
	answered chan struct{} // holds one, so that signalling never blocks
	watchdog *time.Timer
}

func (r *Router) newAnswerWaiter() *answerWaiter {
	if waiter, ok := r.waiters.Get().(*answerWaiter); ok {
		return waiter
	}
	waiter := &answerWaiter{answered: make(chan struct{}, 1), watchdog: time.NewTimer(time.Hour)}
	waiter.watchdog.Stop()
	return waiter
}

// awaitAnswer waits for a call's answer until its time is up. The answer may be there already.
func (r *Router) awaitAnswer(ctx context.Context, call *openCall) (answer Answer, ok bool) {
	waiter := call.waiter
	waiter.watchdog.Reset(time.Until(call.ReceivedAt.Add(call.maxDuration() + watchdogDelay)))
	select {
	case <-waiter.answered:
		answer = call.answer
		waiter.watchdog.Stop()
		r.waiters.Put(waiter)
		return answer, true
	case <-waiter.watchdog.C: // guards against a call that the decisions have lost, in a panic for example
		r.counters.WatchdogAnswers.Add(1)
		answer = Answer{Verdict: DeadlineExceeded}
		ok = true
	case <-ctx.Done():
	case <-r.stopped: // the node ends at once, and the client's connection with it
	}
	waiter.watchdog.Stop()
	r.postAsync(disconnectEvent{call})
	return answer, ok
}
