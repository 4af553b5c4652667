package routing

import (
	"time"

	"olivebridge/balancer"
)

// bodyReceivedEvent reports to the event loop that the body of a streamed call has been received, at a time that may
// lie in the past. The call's timeout counts from that time, whether an attempt has sent the body or not.
type bodyReceivedEvent struct {
	call *openCall
	at   time.Time
}

func (e bodyReceivedEvent) requestID() balancer.RequestID { return e.call.id }

func (e bodyReceivedEvent) handle(r *Router) {
	call := e.call
	if call.answered {
		return
	}
	call.bodyReceivedAt = e.at
	call.deadline = r.balancerTime(call.endsAt().Add(-answerMargin))
	now := r.now()
	timeout := time.Duration(max(call.deadline-now, 0))
	call.bodyDeadline = time.AfterFunc(timeout, func() { r.postAsync(bodyDeadlineEvent{call}) })
	if call.admitted {
		r.balancer.HandleBodyReceived(now, call.id, timeout)
	}
}

// bodyDeadlineEvent ends the attempts of a streamed call whose timeout is over.
type bodyDeadlineEvent struct{ call *openCall }

func (e bodyDeadlineEvent) requestID() balancer.RequestID { return e.call.id }

func (e bodyDeadlineEvent) handle(r *Router) {
	if e.call.answered {
		return
	}
	for _, attempt := range e.call.attempts {
		attempt.cancel(ErrDeadlineExceeded)
	}
}

// markBodySent records that the last byte of a streamed body has been sent. The latency of the server counts from that
// time.
func (a *runningAttempt) markBodySent() {
	now := time.Now()
	a.bodySentAt.Store(&now)
	a.router.post(bodySentEvent{a, now})
}

// bodySentEvent reports to the event loop that the last byte of a streamed body has been sent.
type bodySentEvent struct {
	attempt *runningAttempt
	at      time.Time
}

func (e bodySentEvent) requestID() balancer.RequestID { return e.attempt.RequestID }

func (e bodySentEvent) handle(r *Router) {
	call := r.calls.byID[e.attempt.RequestID]
	if call == nil || e.attempt.finished {
		return
	}
	if call.bodyReceivedAt.IsZero() { // bodyReceivedEvent is still in the queue
		call.deadline = r.balancerTime(e.at.Add(call.Timeout - answerMargin))
	}
	now := r.now()
	r.balancer.HandleBodySent(now, e.attempt.RequestID, e.attempt.Number, time.Duration(max(call.deadline-now, 0)))
}
