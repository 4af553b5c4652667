package routing

import (
	"time"

	"olivebridge/balancer"
)

// admitEvent brings a call: it enters the table, and the Balancer decides what becomes of it.
type admitEvent struct{ call *openCall }

func (e admitEvent) requestID() balancer.RequestID { return e.call.id }

func (e admitEvent) handle(r *Router) {
	call := e.call
	now := r.now()
	if r.calls.isDuplicate(call) {
		// Guards against a second effect, and against the first call's answer going to another client. The client is
		// told of an error and not of a rejection, since the first may run.
		call.answered = true
		call.deliver(Answer{Verdict: Duplicate})
		return
	}
	r.calls.add(call)
	call.attempts = call.attemptsArray[:0]
	if call.Class >= 0 && call.Class < len(r.settings.Classes) {
		call.class = &r.settings.Classes[call.Class] // a reload brings a new list and leaves this one alone
	}
	call.deadline = r.balancerTime(call.ReceivedAt.Add(call.maxDuration() - answerMargin))
	r.balancer.HandleRequest(now, balancer.Request{
		ID:          call.id,
		Timeout:     time.Duration(max(call.deadline-now, 0)),
		AffinityKey: call.AffinityKey,
		Class:       call.Class,
		Tenant:      call.Tenant,
		ClientRetry: call.ClientRetry,
		StreamsBody: call.StreamsBody,
	})
}
