// Package report holds what came of an experiment, and shows it: as text, as
// JSON, and as pictures along one time axis, alone or in a page.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// Form is the number of the JSON's form: it changes when a key changes its meaning.
const Form = 1

// Whole is the name of the phase that is the run as a whole.
const Whole = "whole"

// How late a load tool may begin its requests: LateShare of them by more than
// LateBy. Beyond that the figures are the tool's own, and there is no verdict.
const (
	LateBy    = 5 * time.Millisecond
	LateShare = 0.01
)

// What a Peer holds where that is no number.
const (
	Down    = -1 // it did not run in that second
	Unknown = -2 // nobody looked
)

// Verdict is what is made of an assertion, or of the whole.
type Verdict string

// The verdicts.
const (
	Passed Verdict = "passed"
	Failed Verdict = "failed"
	None   Verdict = "none" // there is no saying, for a reason that stands beside it
)

// Report is what came of one run. Times are in seconds, latencies in
// milliseconds, shares are parts of 1.
type Report struct {
	Form     int      `json:"form"`
	Name     string   `json:"name"`
	Shows    string   `json:"shows"`
	Clock    string   `json:"clock"`
	Seed     uint64   `json:"seed"`
	Short    bool     `json:"short"`
	Length   float64  `json:"length"`
	Verdict  Verdict  `json:"verdict"`
	Why      string   `json:"why,omitempty"` // there is none
	Checks   []Check  `json:"checks"`
	Broken   []string `json:"broken"` // rules, and crashes
	Lateness Lateness `json:"lateness"`
	Classes  []string `json:"classes"`
	Phases   []Phase  `json:"phases"` // the whole run first
	Seconds  []Second `json:"seconds"`
	Peers    []Peer   `json:"peers"`
	Faults   []Band   `json:"faults"`
	Events   []Event  `json:"events"`
}

// Check is an assertion with its figure.
type Check struct {
	What    string   `json:"what"`
	Class   string   `json:"class,omitempty"`
	Tenant  string   `json:"tenant,omitempty"`
	Phase   string   `json:"phase"`
	Unit    string   `json:"unit,omitempty"`
	Value   float64  `json:"value"`
	Least   *float64 `json:"least,omitempty"`
	Most    *float64 `json:"most,omitempty"`
	Verdict Verdict  `json:"verdict"`
	Note    string   `json:"note,omitempty"`
}

// Lateness is by how much the load tool began requests after they were due.
type Lateness struct {
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Share float64 `json:"share"` // by more than LateBy
}

// Counts are requests by what came of them. Those that left are of no further
// account: shares are of the others.
type Counts struct {
	Asked      int `json:"asked"`
	Served     int `json:"served"` // within the aim of their class, counted from when they were due
	Late       int `json:"late"`   // after it
	Refused    int `json:"refused"`
	Failed     int `json:"failed"` // errors, broken connections, no node reached
	Unanswered int `json:"unanswered"`
	Left       int `json:"left"`
}

// Add takes in a request and returns the worth that it earned.
func (c *Counts) Add(q sample.Request, class *world.Class) float64 {
	c.Asked++
	switch q.Outcome {
	case sample.Served:
		if q.EndedAt-q.ScheduledAt <= class.Objective.D() {
			c.Served++
			return class.Weight
		}
		c.Late++
	case sample.Rejected:
		c.Refused++
	case sample.Unanswered:
		c.Unanswered++
	case sample.ClientLeft:
		c.Left++
	default:
		c.Failed++
	}
	return 0
}

// Merge adds other counts.
func (c *Counts) Merge(o Counts) {
	c.Asked += o.Asked
	c.Served += o.Served
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Left += o.Left
}

// Share is a part of the requests that did not leave; 0 if there are none.
func (c *Counts) Share(n int) float64 {
	if stayed := c.Asked - c.Left; stayed > 0 {
		return float64(n) / float64(stayed)
	}
	return 0
}

// Figures are those of a phase, for one class, one tenant or all. Latencies are of requests
// that were served or never answered, and count from when they were due.
type Figures struct {
	Class  string `json:"class,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Counts
	Worth float64  `json:"worth"` // share of what was asked for
	P50   float64  `json:"p50_ms"`
	P90   float64  `json:"p90_ms"`
	P99   float64  `json:"p99_ms"`
	P999  float64  `json:"p999_ms"`
	Max   float64  `json:"max_ms"`
	Tries *float64 `json:"tries,omitempty"`  // that came to peers, per request; of all only
	CPU   *float64 `json:"cpu_ms,omitempty"` // of the nodes, per request; where the clock can tell

	// Memory of all nodes' processes, where the clock can tell: in the mean, and how many
	// times as much it was in the last third of the phase as in its first.
	Resident *float64 `json:"resident_mb,omitempty"`
	Growth   *float64 `json:"growth,omitempty"`
}

// Phase is the figures of one.
type Phase struct {
	Name    string    `json:"name"`
	From    float64   `json:"from"`
	To      float64   `json:"to"`
	All     Figures   `json:"all"`
	Classes []Figures `json:"classes"`
	Tenants []Figures `json:"tenants"`
}

// Second is what became of the requests that were due in one second.
type Second struct {
	At float64 `json:"at"`
	Counts
	Worth float64 `json:"worth"`
	P50   float64 `json:"p50_ms"` // 0: no request has a time
	P99   float64 `json:"p99_ms"`
	Tries int     `json:"tries"`
	CPU   float64 `json:"cpu_ms"`
}

// Peer is how much one held, second by second, in the mean.
type Peer struct {
	Name  string    `json:"name"`
	Zone  string    `json:"zone"`
	Cores int       `json:"cores"`
	Held  []float64 `json:"held"`
}

// Band is a fault, from when to when.
type Band struct {
	Kind string  `json:"kind"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
	Note string  `json:"note,omitempty"`
}

// Event is something that happened to a peer or a node.
type Event struct {
	At   float64 `json:"at"`
	Who  string  `json:"who"`
	What string  `json:"what"`
}

// Conclude makes the verdict on the whole: none where the load tool was late,
// since the figures are then its own. A broken rule is one all the same.
func (r *Report) Conclude() {
	r.Verdict, r.Why = Passed, ""
	for _, c := range r.Checks {
		if c.Verdict == Failed {
			r.Verdict = Failed
		}
	}
	if len(r.Broken) > 0 {
		r.Verdict = Failed
	}
	if r.Lateness.Share > LateShare && len(r.Broken) == 0 {
		r.Verdict = None
		r.Why = fmt.Sprintf("the load tool was late: %s of the requests began more than %v after they were due, "+
			"%s at most may", percent(r.Lateness.Share), LateBy, percent(LateShare))
	}
}

// WriteJSON writes the report as JSON. A list without anything in it is one all the same.
func (r *Report) WriteJSON(w io.Writer) error {
	full := *r
	full.Checks, full.Broken = list(r.Checks), list(r.Broken)
	full.Faults, full.Events = list(r.Faults), list(r.Events)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(full); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

func list[T any](some []T) []T {
	if some == nil {
		return []T{}
	}
	return some
}
