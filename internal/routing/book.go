package routing

import (
	"fmt"
	"strings"
	"sync/atomic"

	"olivebridge/balancer"
)

// book is the last stage: a call that is answered and has no try out leaves
// the table.
func (r *Router) book(e *openCall) {
	if e.answered && e.out == 0 && r.open[e.id] == e {
		delete(r.open, e.id)
		delete(r.names, e.ClientRequestID)
	}
}

// abandon fails a call whose event panicked and calls its tries off.
func (r *Router) abandon(id balancer.RequestID) {
	e := r.open[id]
	if e == nil {
		return
	}
	r.relay(e, Answer{Verdict: Failed})
	for i := range e.tries {
		r.Cancel(id, i)
	}
	r.book(e)
	defer r.caught("abandoned call")         // the fault may lie in what the Balancer holds of it
	r.balancer.HandleDisconnect(r.now(), id) // or it would send it from where it waits, and hear of no outcome
}

// Counters count what a node takes in, sends and answers. They are safe for
// concurrent use.
type Counters struct {
	Received, Served, Rejected, Failed, DeadlineExceeded, Duplicates, Disconnected atomic.Int64 // calls
	QueueFull, WatchdogAnswers, Panics                                             atomic.Int64 // what should not happen
	Attempts, Cancelled                                                            atomic.Int64
	RejectedByFleetQuota, RetriesOverFleetBudget, WarmUpOverFleetBudget            atomic.Int64                       // calls, and tries, for which a Gate had nothing left
	AttemptResults                                                                 [balancer.NotSent + 1]atomic.Int64 // of tries
	HealthChecks, HealthChecksFailed, EndpointLists, WatchFailures                 atomic.Int64
}

func (c *Counters) answered(v Verdict) {
	[...]*atomic.Int64{&c.Served, &c.Rejected, &c.Failed, &c.DeadlineExceeded, &c.Duplicates}[v].Add(1)
}

func (c *Counters) outcome(res balancer.Result) {
	if int(res) < len(c.AttemptResults) {
		c.AttemptResults[res].Add(1)
	}
}

// String writes the counters as name=value, one line.
func (c *Counters) String() string {
	var b strings.Builder
	add := func(name string, v *atomic.Int64) { fmt.Fprintf(&b, " %s=%d", name, v.Load()) }
	add("taken", &c.Received)
	add("served", &c.Served)
	add("reject", &c.Rejected)
	add("failed", &c.Failed)
	add("overdue", &c.DeadlineExceeded)
	add("twice", &c.Duplicates)
	add("hung_up", &c.Disconnected)
	add("queue_full", &c.QueueFull)
	add("guard_answers", &c.WatchdogAnswers)
	add("panics", &c.Panics)
	add("tries", &c.Attempts)
	add("called_off", &c.Cancelled)
	for i, name := range [...]string{"ok", "errored", "turned_away", "timed_out", "connect_failed", "reset",
		"called_off", "moot"} {
		add("try_"+name, &c.AttemptResults[i])
	}
	if c.RejectedByFleetQuota.Load()+c.RetriesOverFleetBudget.Load()+c.WarmUpOverFleetBudget.Load() > 0 { // nodes without budgets have no word of them
		add("over_budget", &c.RejectedByFleetQuota)
		add("over_retries", &c.RetriesOverFleetBudget)
		add("over_cold", &c.WarmUpOverFleetBudget)
	}
	add("probes", &c.HealthChecks)
	add("probes_failed", &c.HealthChecksFailed)
	add("lists", &c.EndpointLists)
	add("watch_failures", &c.WatchFailures)
	return strings.TrimSpace(b.String())
}
