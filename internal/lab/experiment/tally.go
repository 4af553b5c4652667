package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivebridge/internal/lab/report"
	"olivebridge/internal/lab/sample"
	"olivebridge/internal/lab/world"
)

// phaseTallies counts the requests of one phase, by class and by tenant.
type phaseTallies struct{ classes, tenants []*tally }

// tally counts the requests of one class or tenant and their latencies.
type tally struct {
	report.Counts
	earnedWorth, possibleWorth float64 // worth of served requests, and of all requests
	latencies                  *hdrhistogram.Histogram
}

// newTallies returns n empty tallies.
func newTallies(n int) []*tally {
	all := make([]*tally, n)
	for i := range all {
		all[i] = &tally{latencies: newHistogram()}
	}
	return all
}

// newHistogram returns an empty latency histogram.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// recordLatency adds a duration to a histogram, clamped to the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)) // fails only outside the range
}

// add counts one request of the given class.
func (t *tally) add(q sample.Request, class *world.Class) {
	t.earnedWorth += t.Counts.Add(q, class)
	t.possibleWorth += requestWorth(q, class)
	if hasLatency(q) {
		recordLatency(t.latencies, q.EndedAt-q.ScheduledAt)
	}
}

// requestWorth returns the worth that a request could have earned: its class's
// worth, or 0 if its client left.
func requestWorth(q sample.Request, class *world.Class) float64 {
	if q.Outcome == sample.ClientLeft {
		return 0
	}
	return class.Weight
}

// hasLatency reports whether a request's latency is recorded. The latency of a
// refused or failed request means nothing; a request without a response counts
// with the time after which its client gave up.
func hasLatency(q sample.Request) bool {
	return q.Outcome == sample.Served || q.Outcome == sample.Unanswered
}

// figures computes the counts, worth share and latency quantiles of a tally;
// latencies are in milliseconds.
func (t *tally) figures() report.Figures {
	f := report.Figures{Counts: t.Counts, Worth: shareOrOne(t.earnedWorth, t.possibleWorth)}
	if t.latencies.TotalCount() > 0 {
		at := func(q float64) float64 { return float64(t.latencies.ValueAtQuantile(q)) / 1e3 }
		f.P50, f.P90, f.P99, f.P999 = at(50), at(90), at(99), at(99.9)
		f.Max = float64(t.latencies.Max()) / 1e3
	}
	return f
}

// quantile returns the element below which the share q of the sorted durations lies.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
