package routing

import (
	"context"
	"time"
)

// Margins around a call's budget.
const (
	// answerMargin is kept of a budget for the answer's way to the client.
	answerMargin = 4 * time.Millisecond
	// guardDelay is how long after the deadline Take answers by itself.
	guardDelay = 12 * time.Millisecond
	// queueShare is the part of a budget that a call may wait to be admitted.
	queueShare = 4
)

// Take is the first stage: it hands a call to the decisions and waits for its
// one answer. It answers by itself, and so always in time, if the decisions
// are too busy to take the call, which then has not run, or have not answered
// when its time is up. When ctx ends the client has gone, and ok is false.
func (r *Router) Take(ctx context.Context, c Call) (a Answer, ok bool) {
	r.count.Taken.Add(1)
	defer func() {
		if ok {
			r.count.answered(a.Verdict)
		} else {
			r.count.HungUp.Add(1)
		}
	}()
	e := &openCall{Call: c, answer: make(chan Answer, 1)}
	end := time.NewTimer(time.Until(c.Arrived.Add(c.Budget / queueShare)))
	defer end.Stop()
	select {
	case r.events <- admitEvent{e}:
	case <-end.C: // guards against an overfull queue: it was never admitted, so it never ran
		r.count.QueueFull.Add(1)
		return Answer{Verdict: Reject, RetryAfter: time.Duration(r.advice.Load())}, true
	case <-r.stopped:
		return Answer{Verdict: Reject}, true
	case <-ctx.Done():
		return Answer{}, false
	}
	return r.await(ctx, e)
}

// await waits for a call's answer until its time is up. The answer may be there
// already: the decisions can be done with a call before its front waits for it.
func (r *Router) await(ctx context.Context, e *openCall) (a Answer, ok bool) {
	end := time.NewTimer(time.Until(e.Arrived.Add(e.Budget + guardDelay)))
	defer end.Stop()
	select {
	case a = <-e.answer:
		return a, true
	case <-end.C: // guards against a call that the decisions have lost, in a panic say
		r.count.GuardAnswers.Add(1)
		a = Answer{Verdict: Overdue}
		ok = true
	case <-ctx.Done():
	case <-r.stopped: // the node ends at once, and the client connection with it
	}
	r.post(hangUpEvent{e})
	return a, ok
}
