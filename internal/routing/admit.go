package routing

import (
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// openCall is a call in the table.
type openCall struct {
	Call
	id       balancer.RequestID
	answer   Answer // once given: before wait is told, and never again
	wait     *wait
	answered bool        // it is given, or nobody waits for it
	over     atomic.Bool // the same, for the carrier
	deadline balancer.Time
	as       *balancer.Class   // its class as it came, as the decisions have it
	tries    []*runningAttempt // by number
	out      int               // those whose outcome is not in
	first    runningAttempt
	few      [2]*runningAttempt // room for tries
}

// slowest is the longest that a slow call may take to come: 32 MB at a little over 16 kB a second.
const slowest = 32 * time.Minute

// patience is how long after its arrival a call is over.
func (e *openCall) patience() time.Duration {
	if e.StreamsBody {
		return e.Timeout + slowest
	}
	return e.Timeout
}

// admitEvent is the second stage: the call enters the table and the Balancer
// decides.
type admitEvent struct{ e *openCall }

func (a admitEvent) call() balancer.RequestID { return a.e.id }

func (a admitEvent) handle(r *Router) {
	e, now := a.e, r.now()
	if _, open := r.names[e.ClientRequestID]; open && e.ClientRequestID != "" {
		// Guards against a second effect, and the first call's answer going to
		// another client. An error, not a reject: the first may run.
		e.answered = true
		e.give(Answer{Verdict: Duplicate})
		return
	}
	r.names[e.ClientRequestID] = struct{}{}
	r.lastID++
	e.id = r.lastID
	e.tries = e.few[:0]
	if e.Class >= 0 && e.Class < len(r.set.Classes) {
		e.as = &r.set.Classes[e.Class] // a reload brings other settings
	}
	e.deadline = r.balancerTime(e.ReceivedAt.Add(e.patience() - answerMargin))
	r.open[e.id] = e
	r.balancer.HandleRequest(now, balancer.Request{
		ID: e.id, Timeout: time.Duration(max(e.deadline-now, 0)), AffinityKey: e.AffinityKey,
		Class: e.Class, Tenant: e.Tenant, ClientRetry: e.ClientRetry, StreamsBody: e.StreamsBody,
	})
}
