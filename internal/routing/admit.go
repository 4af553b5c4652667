package routing

import (
	"time"

	"olivebridge/balancer"
)

// admitEvent adds a received call to the call table and passes it to the Balancer, which decides how to proceed with
// it. While the node has an older process, the call is claimed from that first.
type admitEvent struct{ call *openCall }

func (e admitEvent) requestID() balancer.RequestID { return e.call.id }

func (e admitEvent) handle(r *Router) {
	call := e.call
	now := time.Now()
	if r.calls.isTaken(call.ClientRequestID, now) {
		// Running a duplicate could repeat the side effect of the first call or send its answer to another client. The
		// verdict is Duplicate, an error, and not Rejected, because the first call may run or have run.
		call.answered = true
		call.deliver(Answer{Verdict: Duplicate})
		return
	}
	if call.Class >= 0 && call.Class < len(r.settings.Classes) {
		call.class = &r.settings.Classes[call.Class] // a reload replaces the slice and does not modify this one
	}
	if !call.repeatable() && !r.calls.ended.hasRoom(now) {
		r.counters.RejectedForIDs.Add(1)
		call.answered = true
		call.deliver(r.rejectNotEnqueued())
		return
	}
	r.calls.add(call)
	call.attempts = call.attemptsArray[:0]
	if r.peers.predecessor.Process != nil && call.ClientRequestID != "" {
		r.claimLocalCall(call)
		return
	}
	r.admit(call)
}

// admit passes a call of the table to the Balancer.
func (r *Router) admit(call *openCall) {
	now := r.now()
	call.admitted = true
	r.reportOpened(call)
	call.deadline = r.balancerTime(call.endsAt().Add(-answerMargin))
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
