package campaign

import (
	"time"

	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/stage"
)

// Rules that the campaign itself checks: a worker process died, or a run did not end in time.
const (
	RuleCrash = "crash"
	RuleHang  = "hang"
)

// Job is one run for a worker: a script, or a seed of a scenario.
type Job struct {
	ID       int    `json:"id"` // index in the campaign
	Seed     uint64 `json:"seed"`
	Scenario string `json:"scenario,omitempty"` // path of the scenario file; empty: the built-in scenario
	Script   string `json:"script,omitempty"`   // TOML; if set, Seed and Scenario are ignored
	Trace    bool   `json:"trace,omitempty"`    // the worker writes the run's trace
	Log      bool   `json:"log,omitempty"`      // the worker writes the nodes' logs to standard error
	Watch    bool   `json:"watch,omitempty"`    // the worker writes samples (see package sample) in place of a trace
}

// reply is a worker's reply to a job.
type reply struct {
	ID     int           `json:"id"`
	Result *stage.Result `json:"result,omitempty"`
	Error  string        `json:"error,omitempty"` // reason why the job could not start
}

// Outcome is the outcome of a job.
type Outcome struct {
	Job      Job           `json:"-"`
	Result   stage.Result  `json:"result"`
	RealTime time.Duration `json:"real"`
	Output   string        `json:"said,omitempty"` // output of a worker that ended unexpectedly, shortened
	Err      error         `json:"-"`              // the job could not start
}

// Failed reports whether the run broke a rule.
func (o *Outcome) Failed() bool { return len(o.Result.Violations) > 0 }

// Broke returns the first violation of a rule and whether there is one.
func (o *Outcome) Broke(rule string) (rules.Violation, bool) {
	for _, v := range o.Result.Violations {
		if v.Rule == rule {
			return v, true
		}
	}
	return rules.Violation{}, false
}

// crashOutcome returns the outcome of a run whose worker died or was killed.
func crashOutcome(j Job, rule, what, output string) Outcome {
	return Outcome{Job: j, Output: output, Result: stage.Result{
		Seed: j.Seed, Violations: []rules.Violation{{Rule: rule, Detail: what}},
	}}
}
