package routing

import (
	"time"

	"olivebridge/balancer"
)

// outcomeEvent is the fifth stage: a try is over. A served one is relayed
// before the Balancer hears of it, so that it knows the call is closed.
type outcomeEvent struct{ a *runningAttempt }

func (ev outcomeEvent) call() balancer.RequestID { return ev.a.RequestID }

func (ev outcomeEvent) handle(r *Router) {
	a := ev.a
	e := r.open[a.RequestID]
	if e == nil || a.in {
		return
	}
	a.in = true
	e.out--
	o := balancer.Outcome{ID: a.RequestID, Attempt: a.Number, Latency: a.latency, Result: a.result.Result}
	if a.Upstream != nil {
		o.Server = a.Upstream.ID
		r.chosen.saw(a.Upstream, o.Result, false)
	}
	r.count.outcome(o.Result)
	if o.Result == balancer.OK {
		r.relay(e, Answer{Verdict: Served, Reply: a.result.Reply})
	}
	o.RequestDone = e.answered
	defer r.book(e)
	r.balancer.HandleOutcome(r.now(), o)
}

// relay gives a call its one answer. Outcome, hang-up and deadline may race:
// only the first counts.
func (r *Router) relay(e *openCall, a Answer) {
	if !e.answered {
		e.answered = true
		e.over.Store(true)
		e.give(a)
	} else {
		drop(a.Reply)
	}
}

// give lets the front go on with an answer.
func (e *openCall) give(a Answer) {
	e.answer = a
	e.wait.told <- struct{}{}
}

// Refuse implements balancer.Host. The answer leaves at once.
func (r *Router) Reject(id balancer.RequestID, after time.Duration) {
	if e := r.open[id]; e != nil {
		r.relay(e, Answer{Verdict: Rejected, RetryAfter: after})
		r.book(e)
	}
}

// Fail implements balancer.Host. The answer leaves at once.
func (r *Router) Fail(id balancer.RequestID) {
	if e := r.open[id]; e != nil {
		v := Failed
		if r.now() >= e.deadline {
			v = DeadlineExceeded
		}
		r.relay(e, Answer{Verdict: v})
		r.book(e)
	}
}

// hangUpEvent tells that nobody waits for the call any more.
type hangUpEvent struct{ e *openCall }

func (h hangUpEvent) call() balancer.RequestID { return h.e.id }

func (h hangUpEvent) handle(r *Router) {
	if h.e.answered { // the answer was on its way
		drop(h.e.answer.Reply)
	}
	if r.open[h.e.id] != h.e {
		return
	}
	h.e.answered = true
	h.e.over.Store(true)
	defer r.book(h.e)
	r.balancer.HandleDisconnect(r.now(), h.e.id)
}
