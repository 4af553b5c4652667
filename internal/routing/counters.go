package routing

import (
	"fmt"
	"strings"
	"sync/atomic"

	"olivebridge/balancer"
)

// Counters counts the calls, attempts, health checks and endpoint lists of a node. Its methods are safe for concurrent
// use.
type Counters struct {
	// Received counts all calls. Each call that has ended also counts in exactly one of the next six counters.
	Received         atomic.Int64
	Served           atomic.Int64
	Rejected         atomic.Int64
	Failed           atomic.Int64
	DeadlineExceeded atomic.Int64
	Duplicates       atomic.Int64
	Disconnected     atomic.Int64

	// RejectedForIDs counts the calls that were rejected because their ids could not be remembered at their end.
	RejectedForIDs atomic.Int64

	// QueueFull, WatchdogAnswers and Panics are expected to stay 0.
	QueueFull       atomic.Int64
	WatchdogAnswers atomic.Int64
	Panics          atomic.Int64

	Attempts       atomic.Int64
	Cancelled      atomic.Int64
	AttemptResults [balancer.NotSent + 1]atomic.Int64 // indexed by balancer.Result

	// The next three count calls and attempts for which a quota or budget of an AdmissionControl was exhausted.
	RejectedByFleetQuota   atomic.Int64
	RetriesOverFleetBudget atomic.Int64
	WarmUpOverFleetBudget  atomic.Int64

	// Claims counts the calls that were claimed from the predecessor in an upgrade, ClaimsDenied and ClaimsUnanswered
	// those with these results. ClaimsRefused counts the successor's claims that this process has denied.
	Claims           atomic.Int64
	ClaimsDenied     atomic.Int64
	ClaimsUnanswered atomic.Int64
	ClaimsRefused    atomic.Int64

	HealthChecks       atomic.Int64
	HealthChecksFailed atomic.Int64
	EndpointLists      atomic.Int64
	WatchFailures      atomic.Int64
}

// attemptResultNames holds the name of each balancer.Result in the output of Counters.String.
var attemptResultNames = [balancer.NotSent + 1]string{
	balancer.OK:            "ok",
	balancer.Errored:       "errored",
	balancer.Rejected:      "turned_away",
	balancer.TimedOut:      "timed_out",
	balancer.ConnectFailed: "connect_failed",
	balancer.Reset:         "reset",
	balancer.Cancelled:     "called_off",
	balancer.NotSent:       "moot",
}

// countEnd counts a call that has ended. answered is false if the client disconnected before the answer.
func (c *Counters) countEnd(answer Answer, answered bool) {
	if !answered {
		c.Disconnected.Add(1)
		return
	}
	c.verdictCounter(answer.Verdict).Add(1)
}

func (c *Counters) verdictCounter(v Verdict) *atomic.Int64 {
	byVerdict := [...]*atomic.Int64{
		Served:           &c.Served,
		Rejected:         &c.Rejected,
		Failed:           &c.Failed,
		DeadlineExceeded: &c.DeadlineExceeded,
		Duplicate:        &c.Duplicates,
	}
	return byVerdict[v]
}

// countResult counts an attempt that has ended, by its result.
func (c *Counters) countResult(result balancer.Result) {
	if int(result) < len(c.AttemptResults) {
		c.AttemptResults[result].Add(1)
	}
}

// String returns the counters as name=value pairs on one line.
func (c *Counters) String() string {
	var line strings.Builder
	add := func(name string, counter *atomic.Int64) { fmt.Fprintf(&line, " %s=%d", name, counter.Load()) }
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
	for result, name := range attemptResultNames {
		add("try_"+name, &c.AttemptResults[result])
	}
	if c.fleetBudgetDenials() > 0 { // nodes without fleet budgets omit these counters
		add("over_budget", &c.RejectedByFleetQuota)
		add("over_retries", &c.RetriesOverFleetBudget)
		add("over_cold", &c.WarmUpOverFleetBudget)
	}
	if c.Claims.Load()+c.ClaimsRefused.Load() > 0 { // a process without an upgrade omits these counters
		add("ids_asked", &c.Claims)
		add("ids_denied", &c.ClaimsDenied)
		add("ids_unanswered", &c.ClaimsUnanswered)
		add("ids_refused", &c.ClaimsRefused)
	}
	if c.RejectedForIDs.Load() > 0 { // nodes with room for all ids omit this counter
		add("ids_full", &c.RejectedForIDs)
	}
	add("probes", &c.HealthChecks)
	add("probes_failed", &c.HealthChecksFailed)
	add("lists", &c.EndpointLists)
	add("watch_failures", &c.WatchFailures)
	return strings.TrimSpace(line.String())
}

func (c *Counters) fleetBudgetDenials() int64 {
	return c.RejectedByFleetQuota.Load() + c.RetriesOverFleetBudget.Load() + c.WarmUpOverFleetBudget.Load()
}
