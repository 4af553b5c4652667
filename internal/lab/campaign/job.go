package campaign

import (
	"time"

	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/stage"
)

// The rules that a campaign itself judges by: a worker that died, and one that came to no end.
const (
	RuleCrash = "crash"
	RuleHang  = "hang"
)

// Job is one run that a worker is to play: a script, or a seed of a scenario.
type Job struct {
	ID       int    `json:"id"` // its place in the campaign
	Seed     uint64 `json:"seed"`
	Scenario string `json:"scenario,omitempty"` // file; "": the one that is built in
	Script   string `json:"script,omitempty"`   // TOML; it goes before Seed and Scenario
	Trace    bool   `json:"trace,omitempty"`
	Log      bool   `json:"log,omitempty"`   // the nodes' logs go to standard error
	Watch    bool   `json:"watch,omitempty"` // what the run tells goes where a trace would, as package sample writes it
}

// reply is what a worker says of a job.
type reply struct {
	ID     int           `json:"id"`
	Result *stage.Result `json:"result,omitempty"`
	Error  string        `json:"error,omitempty"` // why the job could not be begun
}

// Outcome is what came of a job.
type Outcome struct {
	Job    Job           `json:"-"`
	Result stage.Result  `json:"result"`
	Real   time.Duration `json:"real"`
	Said   string        `json:"said,omitempty"` // what a worker that ended wrote, shortened
	Err    error         `json:"-"`              // the job could not be begun: no run
}

// Failed reports whether a rule was broken.
func (o *Outcome) Failed() bool { return len(o.Result.Violations) > 0 }

// Broke reports whether the rule was broken, and how it was first.
func (o *Outcome) Broke(rule string) (rules.Violation, bool) {
	for _, v := range o.Result.Violations {
		if v.Rule == rule {
			return v, true
		}
	}
	return rules.Violation{}, false
}

// ended is the outcome of a run whose worker died, or had to be killed.
func ended(j Job, rule, what, said string) Outcome {
	return Outcome{Job: j, Said: said, Result: stage.Result{
		Seed: j.Seed, Violations: []rules.Violation{{Rule: rule, Detail: what}},
	}}
}
