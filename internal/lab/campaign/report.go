package campaign

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"olivebridge/internal/lab/stage"
)

// Report is what came of a campaign over seeds.
type Report struct {
	Seeds          int         `json:"seeds"`
	Passed         int         `json:"passed"`
	Failed         int         `json:"failed"`
	Requests       int         `json:"requests"` // first tries and clients' own retries
	VirtualSeconds float64     `json:"virtual_seconds"`
	RealSeconds    float64     `json:"real_seconds"`
	Ratio          float64     `json:"ratio"` // virtual seconds a real second, of all workers together
	Tally          stage.Tally `json:"tally"`
	Kinds          []Count     `json:"kinds"` // seeds in which a kind of fault was
	Pairs          []Count     `json:"pairs"` // seeds in which two kinds overlapped
	Results        []Outcome   `json:"results"`

	start time.Time
	table Table
}

// Count is in how many seeds some kinds of fault were together.
type Count struct {
	Kinds []string `json:"kinds"`
	Seeds int      `json:"seeds"`
}

// NewReport begins a report now.
func NewReport() *Report { return &Report{start: time.Now()} }

// Add takes in the outcome of one seed.
func (r *Report) Add(o Outcome) {
	r.Seeds++
	if o.Failed() {
		r.Failed++
	} else {
		r.Passed++
	}
	r.Requests += o.Result.Tally.Asked + o.Result.Tally.Retries
	r.Tally.Add(o.Result.Tally)
	r.VirtualSeconds += o.Result.Virtual.Seconds()
	r.RealSeconds = time.Since(r.start).Seconds()
	r.Ratio = r.VirtualSeconds / max(r.RealSeconds, 1e-3)
	r.table.Add(o.Result.Kinds, o.Result.Pairs)
	r.Results = append(r.Results, o)
}

// WriteJSON writes the report, its counts made up.
func (r *Report) WriteJSON(w io.Writer) error {
	r.Kinds, r.Pairs = r.table.counts()
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// Progress is one line on how far a campaign over so many seeds has come.
func (r *Report) Progress(count uint64) string {
	spent := time.Since(r.start)
	left := "unknown"
	if r.Seeds > 0 {
		each := spent / time.Duration(r.Seeds)
		left = (each * time.Duration(count-uint64(r.Seeds))).Round(time.Second).String()
	}
	return fmt.Sprintf("%d of %d seeds, %d failed, %.1f virtual seconds a second, %s left",
		r.Seeds, count, r.Failed, r.VirtualSeconds/max(spent.Seconds(), 1e-3), left)
}

// FailureLine is the line of a seed that failed: its first broken rule, when, how, and the
// call that plays it again.
func FailureLine(o *Outcome, again string) string {
	first := o.Result.Violations[0]
	more := ""
	if n := len(o.Result.Violations) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("seed %d: %s%s; replay: %s", o.Job.Seed, first, more, again)
}

func byCount(a, b Count) int {
	return cmp.Or(-cmp.Compare(a.Seeds, b.Seeds), slices.Compare(a.Kinds, b.Kinds))
}
