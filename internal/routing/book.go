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
		delete(r.names, e.Name)
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
	Taken, Served, Rejected, Failed, Overdue, Twice, HungUp atomic.Int64 // calls
	QueueFull, GuardAnswers, Panics                         atomic.Int64 // what should not happen
	Tries, CalledOff                                        atomic.Int64
	OverBudget, OverRetries, OverCold                       atomic.Int64                       // calls, and tries, for which a Gate had nothing left
	Results                                                 [balancer.NotSent + 1]atomic.Int64 // of tries
	Probes, ProbesFailed, Lists, WatchFailures              atomic.Int64
}

func (c *Counters) answered(v Verdict) {
	[...]*atomic.Int64{&c.Served, &c.Rejected, &c.Failed, &c.Overdue, &c.Twice}[v].Add(1)
}

func (c *Counters) outcome(res balancer.Result) {
	if int(res) < len(c.Results) {
		c.Results[res].Add(1)
	}
}

// String writes the counters as name=value, one line.
func (c *Counters) String() string {
	var b strings.Builder
	add := func(name string, v *atomic.Int64) { fmt.Fprintf(&b, " %s=%d", name, v.Load()) }
	add("taken", &c.Taken)
	add("served", &c.Served)
	add("reject", &c.Rejected)
	add("failed", &c.Failed)
	add("overdue", &c.Overdue)
	add("twice", &c.Twice)
	add("hung_up", &c.HungUp)
	add("queue_full", &c.QueueFull)
	add("guard_answers", &c.GuardAnswers)
	add("panics", &c.Panics)
	add("tries", &c.Tries)
	add("called_off", &c.CalledOff)
	for i, name := range [...]string{"ok", "errored", "turned_away", "timed_out", "connect_failed", "reset",
		"called_off", "moot"} {
		add("try_"+name, &c.Results[i])
	}
	if c.OverBudget.Load()+c.OverRetries.Load()+c.OverCold.Load() > 0 { // nodes without budgets have no word of them
		add("over_budget", &c.OverBudget)
		add("over_retries", &c.OverRetries)
		add("over_cold", &c.OverCold)
	}
	add("probes", &c.Probes)
	add("probes_failed", &c.ProbesFailed)
	add("lists", &c.Lists)
	add("watch_failures", &c.WatchFailures)
	return strings.TrimSpace(b.String())
}
