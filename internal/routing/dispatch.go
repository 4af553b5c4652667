package routing

import (
	"time"

	"olivebridge/balancer"
)

// Send implements balancer.Host. It creates an attempt at the server that the Balancer chose and starts it. The outcome
// always arrives as an event, even if nothing can be sent, because a Host must not call back into the Balancer.
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

// newAttempt creates the next attempt of a call. upstream is nil if the upstream table does not contain the server that
// the Balancer chose.
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
		attempt.OnBodySent = attempt.markBodySent
	}
	return attempt
}

// startBefore returns the end of the window in which servers drop duplicates of a call with an idempotency key. The
// window starts at the creation of the first attempt that may have run, because that attempt was not sent earlier. The
// Balancer checks the window when it chooses the server, but the connection may be established much later. If a reload
// has changed the window, the shorter of both applies. The zero time means that no window limits the next attempt.
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

// startAttempt runs the attempt on its own goroutine, which posts exactly one outcomeEvent.
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
