package routing

import (
	"time"

	"olivebridge/balancer"
)

// Send implements balancer.Host: it makes an attempt for the server that the Balancer chose and starts
// it. The outcome comes back as an event even if nothing can be sent, since a Host must not call back.
func (r *Router) Send(id balancer.RequestID, to balancer.ServerID, validUntil balancer.Time) {
	call := r.calls.byID[id]
	if call == nil {
		return
	}
	attempt := r.newAttempt(call, r.upstreams[to])
	if validUntil != 0 {
		attempt.ValidUntil = r.clockTime(validUntil)
	}
	call.attempts = append(call.attempts, attempt)
	call.inFlight++
	r.counters.Attempts.Add(1)
	r.startAttempt(attempt)
}

// newAttempt makes a call's next attempt. upstream is nil where the Balancer and the table of upstreams disagree.
func (r *Router) newAttempt(call *openCall, upstream *Upstream) *runningAttempt {
	attempt := &call.firstAttempt
	if len(call.attempts) > 0 {
		attempt = new(runningAttempt)
	}
	attempt.Attempt = Attempt{
		RequestID:   call.id,
		Number:      len(call.attempts),
		Upstream:    upstream,
		ExpiresAt:   r.clockTime(call.deadline),
		StartBefore: r.startBefore(call),
		CallDone:    &call.done,
		Payload:     call.Payload,
	}
	attempt.router = r
	attempt.startedAt = time.Now()
	if upstream != nil {
		attempt.confirmer = attempt
		attempt.upstreamStart = upstream.startTime()
		attempt.warmUpCost = r.warmUpCost(upstream)
	}
	if call.StreamsBody {
		attempt.BodyTimeout = call.Timeout - answerMargin
		attempt.OnBodySent = attempt.bodySent
	}
	return attempt
}

// startBefore is when the window ends in which servers drop duplicates of a call with an idempotency key. It begins
// with the first of its attempts that may have run, which left no sooner than it was started. The Balancer has asked
// as it chose the server, but the connection may be up much later. Of the windows before and after a reload the
// shorter binds. Zero: no window binds the next attempt.
func (r *Router) startBefore(call *openCall) time.Time {
	if call.class == nil || call.class.Idempotency != balancer.IdempotencyKeyed {
		return time.Time{}
	}
	for _, attempt := range call.attempts {
		if !attempt.finished || !attempt.result.Result.NeverRan() {
			window := min(call.class.DedupWindow, r.settings.Classes[call.Class].DedupWindow)
			return attempt.startedAt.Add(window)
		}
	}
	return time.Time{}
}

// startAttempt lets the attempt run on a goroutine of its own, and exactly one outcome comes back.
func (r *Router) startAttempt(attempt *runningAttempt) {
	r.tasks.Add(1)
	go attempt.run()
}

// Cancel implements balancer.Host.
func (r *Router) Cancel(id balancer.RequestID, number int) {
	call := r.calls.byID[id]
	if call == nil || number < 0 || number >= len(call.attempts) {
		return
	}
	attempt := call.attempts[number]
	if attempt.finished {
		return
	}
	r.counters.Cancelled.Add(1)
	attempt.cancel(ErrCancelled)
}
