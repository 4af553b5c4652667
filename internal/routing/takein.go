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
func (r *Router) Handle(ctx context.Context, c Call) (a Answer, ok bool) {
	r.count.Received.Add(1)
	defer func() {
		if ok {
			r.count.answered(a.Verdict)
		} else {
			r.count.Disconnected.Add(1)
		}
	}()
	if r.gate != nil {
		if in, wait := r.gate.Admit(c.Tenant); !in {
			r.count.RejectedByFleetQuota.Add(1)
			return r.overBudget(wait), true
		}
		defer r.gate.Release(c.Tenant)
	}
	e := &openCall{Call: c, wait: r.newWait()}
	if a, ok, in := r.handIn(ctx, e); !in {
		return a, ok
	}
	return r.await(ctx, e)
}

// handIn queues a call for the decisions. If it is not in, it never ran.
func (r *Router) handIn(ctx context.Context, e *openCall) (a Answer, ok, in bool) {
	select {
	case <-r.stopped:
		return r.refusal(), true, false
	default:
	}
	select {
	case r.events <- admitEvent{e}:
		return Answer{}, false, true
	default:
	}
	end := time.NewTimer(time.Until(e.ReceivedAt.Add(e.Timeout / queueShare)))
	defer end.Stop()
	select {
	case r.events <- admitEvent{e}:
		return Answer{}, false, true
	case <-end.C: // guards against an overfull queue
		r.count.QueueFull.Add(1)
		return r.refusal(), true, false
	case <-r.stopped:
		return r.refusal(), true, false
	case <-ctx.Done():
		return Answer{}, false, false
	}
}

// refusal answers a call that the decisions never saw.
func (r *Router) refusal() Answer {
	return Answer{Verdict: Rejected, RetryAfter: time.Duration(r.advice.Load())}
}

// overBudget answers a call for which the fleet's budget has nothing left.
func (r *Router) overBudget(wait time.Duration) Answer {
	return Answer{Verdict: Rejected, RetryAfter: min(wait, time.Duration(r.advice.Load()))}
}

// wait is what a front waits on for the answer to a call. It is used again
// only by the front that has heard of its answer: nothing tells it any more then.
type wait struct {
	told  chan struct{} // holds one, so that telling never waits
	guard *time.Timer
}

func (r *Router) newWait() *wait {
	if w, ok := r.waits.Get().(*wait); ok {
		return w
	}
	w := &wait{told: make(chan struct{}, 1), guard: time.NewTimer(time.Hour)}
	w.guard.Stop()
	return w
}

// await waits for a call's answer until its time is up. The answer may be there
// already: the decisions can be done with a call before its front waits for it.
func (r *Router) await(ctx context.Context, e *openCall) (a Answer, ok bool) {
	w := e.wait
	w.guard.Reset(time.Until(e.ReceivedAt.Add(e.patience() + guardDelay)))
	select {
	case <-w.told:
		a = e.answer
		w.guard.Stop()
		r.waits.Put(w)
		return a, true
	case <-w.guard.C: // guards against a call that the decisions have lost, in a panic say
		r.count.WatchdogAnswers.Add(1)
		a = Answer{Verdict: DeadlineExceeded}
		ok = true
	case <-ctx.Done():
	case <-r.stopped: // the node ends at once, and the client connection with it
	}
	w.guard.Stop()
	r.tell(hangUpEvent{e})
	return a, ok
}
