package routing

import (
	"time"

	"olivebridge/balancer"
)

// outcomeEvent reports that an attempt has ended.
type outcomeEvent struct{ attempt *runningAttempt }

func (e outcomeEvent) requestID() balancer.RequestID { return e.attempt.RequestID }

// handle answers the call before it passes the outcome to the Balancer, because the outcome states whether the call is
// done.
func (e outcomeEvent) handle(r *Router) {
	attempt := e.attempt
	call := r.calls.byID[attempt.RequestID]
	if call == nil || attempt.finished {
		return
	}
	attempt.finished = true
	call.inFlight--
	outcome := balancer.Outcome{
		ID:      attempt.RequestID,
		Attempt: attempt.Number,
		Latency: attempt.latency,
		Result:  attempt.result.Result,
	}
	if attempt.Upstream != nil {
		outcome.Server = attempt.Upstream.ID
		r.subset.observe(attempt.Upstream, outcome.Result, false)
	}
	r.counters.countResult(outcome.Result)
	if outcome.Result == balancer.OK {
		r.respond(call, Answer{Verdict: Served, Reply: attempt.result.Reply})
	}
	outcome.RequestDone = call.answered
	defer r.removeIfDone(call)
	r.balancer.HandleOutcome(r.now(), outcome)
}

// respond gives a call its only answer. Outcome, disconnect and deadline may race: later answers are dropped and their
// replies released.
func (r *Router) respond(call *openCall, answer Answer) {
	if call.answered {
		releaseReply(answer.Reply)
		return
	}
	call.finish()
	call.deliver(answer)
}

// Reject implements balancer.Host. The answer is delivered immediately.
func (r *Router) Reject(id balancer.RequestID, retryAfter time.Duration) {
	r.respondWithoutReply(id, Answer{Verdict: Rejected, RetryAfter: retryAfter})
}

// Fail implements balancer.Host. The answer is delivered immediately.
func (r *Router) Fail(id balancer.RequestID) {
	call := r.calls.byID[id]
	if call == nil {
		return
	}
	verdict := Failed
	if r.now() >= call.deadline {
		verdict = DeadlineExceeded
	}
	r.respondWithoutReply(id, Answer{Verdict: verdict})
}

// respondWithoutReply answers an open call with an answer that has no reply.
func (r *Router) respondWithoutReply(id balancer.RequestID, answer Answer) {
	call := r.calls.byID[id]
	if call == nil {
		return
	}
	r.respond(call, answer)
	r.removeIfDone(call)
}

// disconnectEvent reports that the front end no longer waits for the answer to a call.
type disconnectEvent struct{ call *openCall }

func (e disconnectEvent) requestID() balancer.RequestID { return e.call.id }

func (e disconnectEvent) handle(r *Router) {
	call := e.call
	if call.answered { // the answer was delivered but not received
		releaseReply(call.answer.Reply)
	}
	if r.calls.byID[call.id] != call {
		return
	}
	call.finish()
	defer r.removeIfDone(call)
	r.balancer.HandleDisconnect(r.now(), call.id) // without effect on a call that is not admitted
}
