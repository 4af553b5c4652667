// Package report holds the results of an experiment and writes them as text, as JSON, as an SVG chart over time and as
// an HTML page.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// FormatVersion is the version of the JSON format. It changes when a key changes its meaning.
const FormatVersion = 1

// WholeRun is the name of the phase that covers the whole run.
const WholeRun = "whole"

// Limits for the lateness of the load tool: at most MaxLateShare of the requests may start more than MaxLateness after
// they were due. Beyond that the figures measure the load tool itself, and there is no verdict.
const (
	MaxLateness  = 5 * time.Millisecond
	MaxLateShare = 0.01
)

// Values of Peer.InFlight that are not a number of requests.
const (
	Down    = -1 // the server did not run in that second
	Unknown = -2 // the value was not sampled in that second
)

// Verdict is the result of one assertion or of the whole run.
type Verdict string

// The verdicts.
const (
	Passed    Verdict = "passed"
	Failed    Verdict = "failed"
	NoVerdict Verdict = "none" // undecided; the reason is in Check.Note or Report.Reason
)

// Report holds the results of one run. Times are in seconds, latencies in milliseconds, shares are between 0 and 1.
type Report struct {
	FormatVersion int             `json:"form"`
	Name          string          `json:"name"`
	Shows         string          `json:"shows"`
	Clock         string          `json:"clock"`
	Seed          uint64          `json:"seed"`
	Short         bool            `json:"short"`
	Length        float64         `json:"length"`
	Verdict       Verdict         `json:"verdict"`
	Reason        string          `json:"why,omitempty"` // why there is no verdict
	Checks        []Check         `json:"checks"`
	Broken        []string        `json:"broken"` // broken rules and crashes
	Lateness      Lateness        `json:"lateness"`
	Classes       []string        `json:"classes"`
	Phases        []Phase         `json:"phases"` // the whole run first
	Seconds       []Second        `json:"seconds"`
	Peers         []Peer          `json:"peers"`
	Faults        []FaultInterval `json:"faults"`
	Events        []Event         `json:"events"`
}

// Check is an assertion with the measured value and the verdict. Nil bounds are not checked.
type Check struct {
	Figure  string   `json:"what"`
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

// Lateness is the delay with which the load tool started requests after they were due.
type Lateness struct {
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Share float64 `json:"share"` // of the requests that started more than MaxLateness late
}

// Counts are the numbers of requests by outcome. Requests whose client left count only in Asked and Left; shares are
// relative to the other requests.
type Counts struct {
	Asked      int `json:"asked"`
	Served     int `json:"served"` // within the latency objective of their class, measured from the due time
	Late       int `json:"late"`   // served after the latency objective
	Refused    int `json:"refused"`
	Failed     int `json:"failed"` // errors, broken connections, no node reached
	Unanswered int `json:"unanswered"`
	Left       int `json:"left"` // the client disconnected before the response
}

// Add counts a request of a class and returns the worth that it earned.
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

// Merge adds the counts o.
func (c *Counts) Merge(o Counts) {
	c.Asked += o.Asked
	c.Served += o.Served
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Left += o.Left
}

// Share returns n as a share of the requests whose client did not leave; 0 if there are none.
func (c *Counts) Share(n int) float64 {
	if stayed := c.Asked - c.Left; stayed > 0 {
		return float64(n) / float64(stayed)
	}
	return 0
}

// Figures are the figures of a phase for one class, one tenant or all requests. Latencies cover the requests that were
// served or never answered, and are measured from the time when they were due.
type Figures struct {
	Class  string `json:"class,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Counts
	Worth float64  `json:"worth"` // earned share of the requested worth
	P50   float64  `json:"p50_ms"`
	P90   float64  `json:"p90_ms"`
	P99   float64  `json:"p99_ms"`
	P999  float64  `json:"p999_ms"`
	Max   float64  `json:"max_ms"`
	Tries *float64 `json:"tries,omitempty"`  // attempts that reached servers, per request; only over all requests
	CPU   *float64 `json:"cpu_ms,omitempty"` // of the nodes, per request; nil if the clock cannot measure it

	// Mean memory of all node processes, and the memory in the last third of the phase divided by the memory in the
	// first third. Both are nil if the clock cannot measure them.
	Resident *float64 `json:"resident_mb,omitempty"`
	Growth   *float64 `json:"growth,omitempty"`
}

// Phase holds the figures of one phase of the run.
type Phase struct {
	Name    string    `json:"name"`
	From    float64   `json:"from"`
	To      float64   `json:"to"`
	All     Figures   `json:"all"`
	Classes []Figures `json:"classes"`
	Tenants []Figures `json:"tenants"`
}

// Second holds the figures of the requests that were due in one second.
type Second struct {
	At float64 `json:"at"`
	Counts
	Worth float64 `json:"worth"`
	P50   float64 `json:"p50_ms"` // 0 if no request has a latency
	P99   float64 `json:"p99_ms"`
	Tries int     `json:"tries"`
	CPU   float64 `json:"cpu_ms"`
}

// Peer holds the mean number of requests in flight at one server for each second.
type Peer struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Cores    int       `json:"cores"`
	InFlight []float64 `json:"held"`
}

// FaultInterval is the period during which a fault was active.
type FaultInterval struct {
	Kind string  `json:"kind"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
	Note string  `json:"note,omitempty"`
}

// Event is an event of a server or a node.
type Event struct {
	At   float64 `json:"at"`
	Who  string  `json:"who"`
	What string  `json:"what"`
}

// Conclude sets the verdict of the whole run from the checks and the broken rules. There is no verdict if the load tool
// was late, since the figures then measure the tool itself, unless a rule was broken: the run then failed.
func (r *Report) Conclude() {
	r.Verdict, r.Reason = Passed, ""
	for _, c := range r.Checks {
		if c.Verdict == Failed {
			r.Verdict = Failed
		}
	}
	if len(r.Broken) > 0 {
		r.Verdict = Failed
	}
	if r.Lateness.Share > MaxLateShare && len(r.Broken) == 0 {
		r.Verdict = NoVerdict
		r.Reason = fmt.Sprintf("the load tool was late: %s of the requests began more than %v after they were due, "+
			"%s at most may", formatPercent(r.Lateness.Share), MaxLateness, formatPercent(MaxLateShare))
	}
}

// WriteJSON writes the report as JSON. Empty lists are written as [], not as null.
func (r *Report) WriteJSON(w io.Writer) error {
	full := *r
	full.Checks, full.Broken = nonNil(r.Checks), nonNil(r.Broken)
	full.Faults, full.Events = nonNil(r.Faults), nonNil(r.Events)
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(full); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// nonNil returns an empty slice for nil, so that JSON has a list.
func nonNil[T any](elements []T) []T {
	if elements == nil {
		return []T{}
	}
	return elements
}
