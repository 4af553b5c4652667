package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/report"
	"olivebridge/internal/lab/sample"
)

// Range of the latency histograms, in microseconds, and their precision in
// significant decimal digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(60 * time.Second / time.Microsecond)
	significantDigits = 3
)

// recorder is the sample.Sink of a run. It collects the samples and computes
// the figures of the report.
type recorder struct {
	plan      *Plan
	classes   map[string]int // index in the script, by name
	tenants   map[string]int // likewise
	phases    []Phase        // the first is the whole run
	tallies   []phaseTallies // of each phase, in the order of phases
	seconds   []second
	lateness  *hdrhistogram.Histogram // delay between due instant and start of each request
	lateCount int                     // number of requests that started more than report.MaxLateness late
	events    []sample.Event
	readings  []sample.Reading
}

// second holds the results of the requests that were due in one second.
type second struct {
	report.Counts
	earnedWorth, possibleWorth float64
	latencies                  []time.Duration
}

// newRecorder returns a recorder for one run of a plan.
func newRecorder(p *Plan) *recorder {
	r := &recorder{
		plan: p, classes: map[string]int{}, tenants: map[string]int{}, lateness: newHistogram(),
		phases: append([]Phase{{Name: Whole, For: p.Script.Length}}, p.Phases...),
	}
	for i, c := range p.Script.World.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range p.Script.World.Tenants {
		r.tenants[t.Name] = i
	}
	for range r.phases {
		r.tallies = append(r.tallies, phaseTallies{newTallies(len(r.classes)), newTallies(len(r.tenants))})
	}
	r.seconds = make([]second, int((p.Script.Length.D()+time.Second-1)/time.Second))
	return r
}

// Request implements sample.Sink. It ignores requests of unknown classes or
// tenants and requests that are not due within the script.
func (r *recorder) Request(q sample.Request) {
	place, ok := r.classes[q.Class]
	owner, owned := r.tenants[q.Tenant]
	if !ok || !owned || q.ScheduledAt < 0 || q.ScheduledAt >= r.plan.Script.Length.D() {
		return
	}
	class := &r.plan.Script.World.Classes[place]
	lag := max(q.SentAt-q.ScheduledAt, 0)
	recordLatency(r.lateness, lag)
	if lag > report.MaxLateness {
		r.lateCount++
	}
	for i, p := range r.phases {
		if q.ScheduledAt >= p.From.D() && q.ScheduledAt < (p.From+p.For).D() {
			r.tallies[i].classes[place].add(q, class)
			r.tallies[i].tenants[owner].add(q, class)
		}
	}
	s := &r.seconds[q.ScheduledAt/time.Second]
	s.earnedWorth += s.Counts.Add(q, class)
	s.possibleWorth += requestWorth(q, class)
	if hasLatency(q) {
		s.latencies = append(s.latencies, q.EndedAt-q.ScheduledAt)
	}
}

// Reading implements sample.Sink.
func (r *recorder) Reading(one sample.Reading) { r.readings = append(r.readings, one) }

// Event implements sample.Sink.
func (r *recorder) Event(e sample.Event) { r.events = append(r.events, e) }

// progress returns the progress of the run at an instant, in seconds.
func (r *recorder) progress(at float64) Progress {
	p := Progress{At: at, Length: r.plan.Script.Length.D().Seconds()}
	earned, whole := 0.0, 0.0
	for _, t := range r.tallies[0].classes {
		p.Asked += t.Asked
		earned += t.earnedWorth
		whole += t.possibleWorth
	}
	p.Worth = shareOrOne(earned, whole)
	return p
}

// shareOrOne returns part / of, or 1 if of is not positive.
func shareOrOne(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return part / of
}

// report returns the report with all figures. Experiment.evaluateAsserts adds
// the checks.
func (r *recorder) report() *report.Report {
	e, s := r.plan.Experiment, r.plan.Script
	out := &report.Report{
		FormatVersion: report.FormatVersion, Name: e.Name, Shows: e.Shows, Seed: s.Seed, Short: r.plan.Short,
		Length: s.Length.D().Seconds(), Faults: faultBands(s),
	}
	for _, c := range s.World.Classes {
		out.Classes = append(out.Classes, c.Name)
	}
	out.Lateness = report.Lateness{
		P99: float64(r.lateness.ValueAtQuantile(99)) / 1e3, Max: float64(r.lateness.Max()) / 1e3,
		Share: shareOrOne(float64(r.lateCount), float64(r.lateness.TotalCount())),
	}
	if r.lateness.TotalCount() == 0 {
		out.Lateness = report.Lateness{}
	}
	for i, p := range r.phases {
		out.Phases = append(out.Phases, r.phaseFigures(p, r.tallies[i]))
	}
	r.addSeries(out)
	for _, e := range r.events {
		out.Events = append(out.Events, report.Event{At: e.At.Seconds(), Who: e.Name, What: e.Change})
	}
	return out
}

// phaseFigures computes the figures of one phase.
func (r *recorder) phaseFigures(p Phase, tallies phaseTallies) report.Phase {
	out := report.Phase{Name: p.Name, From: p.From.D().Seconds(), To: (p.From + p.For).D().Seconds()}
	all := &tally{latencies: newHistogram()}
	for i, t := range tallies.classes {
		all.Counts.Merge(t.Counts)
		all.earnedWorth += t.earnedWorth
		all.possibleWorth += t.possibleWorth
		all.latencies.Merge(t.latencies)
		f := t.figures()
		f.Class = r.plan.Script.World.Classes[i].Name
		out.Classes = append(out.Classes, f)
	}
	for i, t := range tallies.tenants {
		f := t.figures()
		f.Tenant = r.plan.Script.World.Tenants[i].Name
		out.Tenants = append(out.Tenants, f)
	}
	out.All = all.figures()
	if asked := float64(all.Asked); asked > 0 && len(r.readings) > 0 {
		from, to := p.From.D(), (p.From + p.For).D()
		tries := (r.interpolate(to, totalArrived) - r.interpolate(from, totalArrived)) / asked
		out.All.Tries = &tries
		if len(r.readings[len(r.readings)-1].Nodes) > 0 {
			cpu := (r.interpolate(to, totalCPU) - r.interpolate(from, totalCPU)) / asked
			out.All.CPU = &cpu
			out.All.Resident, out.All.Growth = r.memoryUse(from, to)
		}
	}
	return out
}

// interpolate returns the value of a growing sum at an instant, interpolated
// linearly between the readings before and after it. It returns 0 up to the
// first reading, and the last reading's value after that.
func (r *recorder) interpolate(t time.Duration, sum func(*sample.Reading) float64) float64 {
	i, _ := slices.BinarySearchFunc(r.readings, t, func(one sample.Reading, t time.Duration) int {
		return cmp.Compare(one.At, t)
	})
	switch i {
	case 0:
		return 0
	case len(r.readings):
		return sum(&r.readings[i-1])
	}
	a, b := &r.readings[i-1], &r.readings[i]
	part := float64(t-a.At) / float64(b.At-a.At)
	return sum(a) + part*(sum(b)-sum(a))
}

// totalArrived returns the number of tries that have arrived at all peers.
func totalArrived(r *sample.Reading) (n float64) {
	for _, p := range r.Peers {
		n += float64(p.AttemptsReceived)
	}
	return n
}

// totalCPU returns the processor time of all nodes, in milliseconds.
func totalCPU(r *sample.Reading) (ms float64) {
	for _, n := range r.Nodes {
		ms += milliseconds(n.CPU)
	}
	return ms
}

// memoryUse returns the mean resident memory of the nodes' processes in a phase,
// in megabytes, and its growth: the mean of the last third divided by the mean of
// the first. Either is nil if it was not measured.
func (r *recorder) memoryUse(from, to time.Duration) (mean, growth *float64) {
	third := (to - from) / 3
	all, ok := r.meanResident(from, to)
	first, begins := r.meanResident(from, from+third)
	last, ends := r.meanResident(to-third, to)
	if ok {
		mean = &all
	}
	if begins && ends {
		times := last / first
		growth = &times
	}
	return mean, growth
}

// meanResident returns the resident memory of all nodes together, in megabytes,
// as the mean of the readings from one instant until another. ok is false if none
// of them has a value.
func (r *recorder) meanResident(from, to time.Duration) (mb float64, ok bool) {
	n := 0
	for i := range r.readings {
		if at := r.readings[i].At; at < from || at >= to {
			continue
		}
		n++
		for _, one := range r.readings[i].Nodes {
			mb += float64(one.ResidentBytes) / (1 << 20)
		}
	}
	if n == 0 || mb == 0 {
		return 0, false
	}
	return mb / float64(n), true
}

// addSeries adds the figures of each second and of each peer to the report.
func (r *recorder) addSeries(out *report.Report) {
	for i := range r.seconds {
		s := &r.seconds[i]
		at := time.Duration(i) * time.Second
		one := report.Second{At: at.Seconds(), Counts: s.Counts, Worth: shareOrOne(s.earnedWorth, s.possibleWorth)}
		if len(s.latencies) > 0 {
			slices.Sort(s.latencies)
			one.P50, one.P99 = milliseconds(quantile(s.latencies, 0.5)), milliseconds(quantile(s.latencies, 0.99))
		}
		one.Tries = int(math.Round(r.interpolate(at+time.Second, totalArrived) - r.interpolate(at, totalArrived)))
		one.CPU = r.interpolate(at+time.Second, totalCPU) - r.interpolate(at, totalCPU)
		out.Seconds = append(out.Seconds, one)
	}
	for i, p := range r.plan.Script.World.Peers {
		out.Peers = append(out.Peers, report.Peer{Name: p.Name, Zone: p.Zone, Cores: p.Cores, InFlight: r.meanHeld(i)})
	}
}

// meanHeld returns the mean number of requests that a peer held in each second:
// report.Down if the peer was down for the whole second, report.Unknown if there
// is no reading.
func (r *recorder) meanHeld(place int) []float64 {
	n := len(r.seconds)
	sums, counts, ups := make([]float64, n), make([]int, n), make([]int, n)
	for _, one := range r.readings {
		i := int(one.At / time.Second)
		if i >= len(r.seconds) || place >= len(one.Peers) {
			continue
		}
		p := one.Peers[place]
		counts[i]++
		if !p.Down {
			ups[i]++
			sums[i] += float64(p.OpenRequests)
		}
	}
	for i := range sums {
		switch {
		case counts[i] == 0:
			sums[i] = report.Unknown
		case ups[i] == 0:
			sums[i] = report.Down
		default:
			sums[i] /= float64(ups[i])
		}
	}
	return sums
}

// faultBands returns the script's faults as bands on the report's time axis,
// sorted by start. All rogues together are one band.
func faultBands(s *fault.Script) (all []report.FaultInterval) {
	for i := range s.Faults {
		f := &s.Faults[i]
		from, to := f.At.D().Seconds(), f.Ends().D().Seconds()
		all = append(all, report.FaultInterval{Kind: f.Kind, From: from, To: to, Note: faultSummary(f)})
	}
	kinds, from, to := 0, time.Duration(0), time.Duration(0)
	for i, g := range s.World.Malformed {
		kinds++
		if i == 0 || g.From.D() < from {
			from = g.From.D()
		}
		to = max(to, (g.From + g.For).D())
	}
	if kinds > 0 {
		all = append(all, report.FaultInterval{
			Kind: fault.Rogues, From: from.Seconds(), To: to.Seconds(), Note: countNoun(kinds, "kind", "kinds"),
		})
	}
	slices.SortStableFunc(all, func(a, b report.FaultInterval) int { return cmp.Compare(a.From, b.From) })
	return all
}
