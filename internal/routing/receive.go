package routing

import (
	"context"
	"time"
)

const (
	// answerMargin is the part of a call's timeout that is reserved for sending the answer to the client.
	answerMargin = 4 * time.Millisecond
	// watchdogDelay is the duration after a call's timeout at which Handle answers without the event loop.
	watchdogDelay = 12 * time.Millisecond
	// streamedWatchdogDelay is the watchdogDelay of a call whose body is streamed. It covers the end of an attempt that
	// waits for a server, whose result determines whether the client may retry.
	streamedWatchdogDelay = 100 * time.Millisecond
	// enqueueTimeoutDivisor is the divisor of a call's timeout that gives the time limit for enqueueing the call.
	enqueueTimeoutDivisor = 4
)

// Handle processes a call and blocks until its answer is available. It is called on the front end's goroutine. It
// always answers in time: it rejects a call that it cannot enqueue, which then has not run, and answers
// DeadlineExceeded if the event loop has not answered by the end of the call's timeout. ok is false if ctx ends, which
// means that the client has disconnected, or if the Router stops.
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
		return r.rejectNotEnqueued(), true
	case disconnected:
		return Answer{}, false
	}
	return r.awaitAnswer(ctx, call)
}

// enqueueResult is the result of enqueueing a call.
type enqueueResult uint8

const (
	enqueued     enqueueResult = iota
	notEnqueued                // the queue is full or the event loop has stopped: the call never ran
	disconnected               // the client has disconnected: the call never ran
)

// enqueue sends a call to the event loop. While the queue is full, it waits for a fraction of the call's timeout, given
// by enqueueTimeoutDivisor.
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
	case <-timeout.C: // bounds the wait while the queue is full
		r.counters.QueueFull.Add(1)
		return notEnqueued
	case <-r.stopped:
		return notEnqueued
	case <-ctx.Done():
		return disconnected
	}
}

// rejectNotEnqueued returns the answer to a call that was not enqueued.
func (r *Router) rejectNotEnqueued() Answer {
	return Answer{Verdict: Rejected, RetryAfter: time.Duration(r.maxRetryAfter.Load())}
}

// rejectOverQuota returns the answer to a call whose tenant has exhausted its quota in the fleet. It limits retryAfter
// to MaxRetryAfter of the settings.
func (r *Router) rejectOverQuota(retryAfter time.Duration) Answer {
	return Answer{Verdict: Rejected, RetryAfter: min(retryAfter, time.Duration(r.maxRetryAfter.Load()))}
}

// answerWaiter is the state with which a front end's goroutine waits for the answer to a call. Only the goroutine that
// has received the answer returns it to the pool, because nothing signals it afterwards.
type answerWaiter struct {
	answered chan struct{} // buffered for one signal, so deliver does not block
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

// awaitAnswer waits for the answer to a call until the watchdog fires, ctx ends or the Router stops. The answer may
// already have been delivered.
func (r *Router) awaitAnswer(ctx context.Context, call *openCall) (answer Answer, ok bool) {
	waiter := call.waiter
	waiter.watchdog.Reset(time.Until(call.ReceivedAt.Add(call.maxDuration() + watchdogDelay)))
	for bodyReceived := call.BodyReceived; ; {
		select {
		case at := <-bodyReceived:
			bodyReceived = nil
			waiter.watchdog.Reset(max(time.Until(at.Add(call.Timeout)), 0) + streamedWatchdogDelay)
			r.postAsync(bodyReceivedEvent{call, at})
			continue
		case <-waiter.answered:
			answer = call.answer
			waiter.watchdog.Stop()
			r.waiters.Put(waiter)
			return answer, true
		case <-waiter.watchdog.C: // the event loop has lost the call, for example in a panic
			r.counters.WatchdogAnswers.Add(1)
			answer = Answer{Verdict: DeadlineExceeded}
			ok = true
		case <-ctx.Done():
		case <-r.stopped: // the node ends now and closes the client's connection
		}
		waiter.watchdog.Stop()
		r.postAsync(disconnectEvent{call})
		return answer, ok
	}
}
