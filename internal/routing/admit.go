package routing

import (
	"context"
	"sync/atomic"
	"time"

	"olivebridge/brain"
)

// openCall is a call in the table.
type openCall struct {
	Call
	id       brain.RequestID
	answer   chan Answer // holds one, so that giving it never waits
	answered bool        // it is given, or nobody waits for it
	over     atomic.Bool // the same, for the carrier
	deadline brain.Time
	tries    []context.CancelCauseFunc // by attempt; nil once its outcome is in
	out      int
}

// admitEvent is the second stage: the call enters the table and the Balancer
// decides.
type admitEvent struct{ e *openCall }

func (a admitEvent) call() brain.RequestID { return a.e.id }

func (a admitEvent) handle(r *Router) {
	e, now := a.e, r.now()
	if _, open := r.names[e.Name]; open && e.Name != "" {
		// Guards against a second effect, and the first call's answer going to
		// another client. An error, not a reject: the first may run.
		e.answer <- Answer{Verdict: Twice}
		e.answered = true
		return
	}
	r.names[e.Name] = struct{}{}
	r.lastID++
	e.id = r.lastID
	e.deadline = r.brainTime(e.Arrived.Add(e.Budget - answerMargin))
	r.open[e.id] = e
	r.brain.Request(now, brain.Request{
		ID: e.id, Budget: time.Duration(max(e.deadline-now, 0)), Key: e.Key,
		Class: e.Class, Tenant: e.Tenant, Repeat: e.Repeat,
	})
}
