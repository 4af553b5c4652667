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

// Report is the result of a campaign over seeds.
type Report struct {
	Seeds          int         `json:"seeds"`
	Passed         int         `json:"passed"`
	Failed         int         `json:"failed"`
	Requests       int         `json:"requests"` // first tries and retries by clients
	VirtualSeconds float64     `json:"virtual_seconds"`
	RealSeconds    float64     `json:"real_seconds"`
	Ratio          float64     `json:"ratio"` // virtual seconds per real second, over all workers
	Tally          stage.Tally `json:"tally"`
	Kinds          []Count     `json:"kinds"` // number of seeds with each kind of fault
	Pairs          []Count     `json:"pairs"` // number of seeds in which two kinds overlapped
	Results        []Outcome   `json:"results"`

	startTime time.Time
	table     FaultTable
}

// Count is the number of seeds in which kinds of fault occurred together.
type Count struct {
	Kinds []string `json:"kinds"`
	Seeds int      `json:"seeds"`
}

// NewReport returns an empty report of a campaign that starts now.
func NewReport() *Report { return &Report{startTime: time.Now()} }

// Add adds the outcome of one seed.
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
	r.RealSeconds = time.Since(r.startTime).Seconds()
	r.Ratio = r.VirtualSeconds / max(r.RealSeconds, 1e-3)
	r.table.Add(o.Result.Kinds, o.Result.Pairs)
	r.Results = append(r.Results, o)
}

// WriteJSON computes the counts of kinds and pairs and writes the report.
func (r *Report) WriteJSON(w io.Writer) error {
	r.Kinds, r.Pairs = r.table.counts()
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// Progress returns one line with the progress of a campaign over count seeds.
func (r *Report) Progress(count uint64) string {
	spent := time.Since(r.startTime)
	left := "unknown"
	if r.Seeds > 0 {
		each := spent / time.Duration(r.Seeds)
		left = (each * time.Duration(count-uint64(r.Seeds))).Round(time.Second).String()
	}
	return fmt.Sprintf("%d of %d seeds, %d failed, %.1f virtual seconds a second, %s left",
		r.Seeds, count, r.Failed, r.VirtualSeconds/max(spent.Seconds(), 1e-3), left)
}

// FailureLine returns one line for a failed seed: its first violation, the number of further
// violations, and the command again that replays it.
func FailureLine(o *Outcome, again string) string {
	first := o.Result.Violations[0]
	more := ""
	if n := len(o.Result.Violations) - 1; n > 0 {
		more = fmt.Sprintf(" (and %d more)", n)
	}
	return fmt.Sprintf("seed %d: %s%s; replay: %s", o.Job.Seed, first, more, again)
}

// byCount orders counts by descending number of seeds, then by kinds.
func byCount(a, b Count) int {
	return cmp.Or(-cmp.Compare(a.Seeds, b.Seeds), slices.Compare(a.Kinds, b.Kinds))
}
