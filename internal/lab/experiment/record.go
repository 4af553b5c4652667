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
	"olivebridge/internal/lab/world"
)

// What histograms hold, in microseconds, and how finely.
const (
	leastLatency = 1
	mostLatency  = int64(60 * time.Second / time.Microsecond)
	digits       = 3
)

// recorder takes in what a run tells and makes its figures.
type recorder struct {
	plan    *Plan
	classes map[string]int // places in the script
	tenants map[string]int
	phases  []Phase // the whole run first
	cells   []cells // of each
	seconds []second
	late    *hdrhistogram.Histogram // by how much requests began late
	tardy   int                     // of them, how many by more than is allowed
	events  []sample.Event
	reads   []sample.Reading
}

// cells count the requests of one phase, by class and by tenant.
type cells struct{ classes, tenants []*tally }

// tally counts requests.
type tally struct {
	report.Counts
	earned, whole float64 // worth
	times         *hdrhistogram.Histogram
}

// second is what became of the requests that were due in one second.
type second struct {
	report.Counts
	earned, whole float64
	times         []time.Duration
}

func newRecorder(p *Plan) *recorder {
	r := &recorder{
		plan: p, classes: map[string]int{}, tenants: map[string]int{}, late: newHistogram(),
		phases: append([]Phase{{Name: Whole, For: p.Script.Length}}, p.Phases...),
	}
	for i, c := range p.Script.World.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range p.Script.World.Tenants {
		r.tenants[t.Name] = i
	}
	for range r.phases {
		r.cells = append(r.cells, cells{tallies(len(r.classes)), tallies(len(r.tenants))})
	}
	r.seconds = make([]second, int((p.Script.Length.D()+time.Second-1)/time.Second))
	return r
}

func tallies(n int) []*tally {
	all := make([]*tally, n)
	for i := range all {
		all[i] = &tally{times: newHistogram()}
	}
	return all
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, digits)
}

// record keeps a time; one beyond the histogram's end is kept as its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency)) // within: no error
}

// Request implements sample.Sink.
func (r *recorder) Request(q sample.Request) {
	place, ok := r.classes[q.Class]
	owner, owned := r.tenants[q.Tenant]
	if !ok || !owned || q.ScheduledAt < 0 || q.ScheduledAt >= r.plan.Script.Length.D() {
		return
	}
	class := &r.plan.Script.World.Classes[place]
	lag := max(q.SentAt-q.ScheduledAt, 0)
	record(r.late, lag)
	if lag > report.MaxLateness {
		r.tardy++
	}
	for i, p := range r.phases {
		if q.ScheduledAt >= p.From.D() && q.ScheduledAt < (p.From+p.For).D() {
			r.cells[i].classes[place].add(q, class)
			r.cells[i].tenants[owner].add(q, class)
		}
	}
	s := &r.seconds[q.ScheduledAt/time.Second]
	s.earned += s.Counts.Add(q, class)
	s.whole += wanted(q, class)
	if waited(q) {
		s.times = append(s.times, q.EndedAt-q.ScheduledAt)
	}
}

func (t *tally) add(q sample.Request, class *world.Class) {
	t.earned += t.Counts.Add(q, class)
	t.whole += wanted(q, class)
	if waited(q) {
		record(t.times, q.EndedAt-q.ScheduledAt)
	}
}

// wanted is the worth that a request asked for: none, if its client left.
func wanted(q sample.Request, class *world.Class) float64 {
	if q.Outcome == sample.ClientLeft {
		return 0
	}
	return class.Weight
}

// waited reports whether a request's time counts. Of one that was refused, or
// failed, no time says anything; one that was never answered took its client's
// whole patience.
func waited(q sample.Request) bool {
	return q.Outcome == sample.Served || q.Outcome == sample.Unanswered
}

// Reading implements sample.Sink.
func (r *recorder) Reading(one sample.Reading) { r.reads = append(r.reads, one) }

// Event implements sample.Sink.
func (r *recorder) Event(e sample.Event) { r.events = append(r.events, e) }

// progress is how far the run has come.
func (r *recorder) progress(at float64) Progress {
	p := Progress{At: at, Length: r.plan.Script.Length.D().Seconds()}
	earned, whole := 0.0, 0.0
	for _, t := range r.cells[0].classes {
		p.Asked += t.Asked
		earned += t.earned
		whole += t.whole
	}
	p.Worth = share(earned, whole)
	return p
}

// share is a part of a whole; of nothing, all of it.
func share(part, of float64) float64 {
	if of <= 0 {
		return 1
	}
	return part / of
}

// report makes up the figures; whether they are good enough is not said here.
func (r *recorder) report() *report.Report {
	e, s := r.plan.Experiment, r.plan.Script
	out := &report.Report{
		FormatVersion: report.FormatVersion, Name: e.Name, Shows: e.Shows, Seed: s.Seed, Short: r.plan.Short,
		Length: s.Length.D().Seconds(), Faults: bands(s),
	}
	for _, c := range s.World.Classes {
		out.Classes = append(out.Classes, c.Name)
	}
	out.Lateness = report.Lateness{
		P99: float64(r.late.ValueAtQuantile(99)) / 1e3, Max: float64(r.late.Max()) / 1e3,
		Share: share(float64(r.tardy), float64(r.late.TotalCount())),
	}
	if r.late.TotalCount() == 0 {
		out.Lateness = report.Lateness{}
	}
	for i, p := range r.phases {
		out.Phases = append(out.Phases, r.phase(p, r.cells[i]))
	}
	r.series(out)
	for _, e := range r.events {
		out.Events = append(out.Events, report.Event{At: e.At.Seconds(), Who: e.Name, What: e.Change})
	}
	return out
}

// phase makes up one phase's figures.
func (r *recorder) phase(p Phase, row cells) report.Phase {
	out := report.Phase{Name: p.Name, From: p.From.D().Seconds(), To: (p.From + p.For).D().Seconds()}
	all := &tally{times: newHistogram()}
	for i, t := range row.classes {
		all.Counts.Merge(t.Counts)
		all.earned += t.earned
		all.whole += t.whole
		all.times.Merge(t.times)
		f := t.figures()
		f.Class = r.plan.Script.World.Classes[i].Name
		out.Classes = append(out.Classes, f)
	}
	for i, t := range row.tenants {
		f := t.figures()
		f.Tenant = r.plan.Script.World.Tenants[i].Name
		out.Tenants = append(out.Tenants, f)
	}
	out.All = all.figures()
	if asked := float64(all.Asked); asked > 0 && len(r.reads) > 0 {
		from, to := p.From.D(), (p.From + p.For).D()
		tries := (r.at(to, arrived) - r.at(from, arrived)) / asked
		out.All.Tries = &tries
		if len(r.reads[len(r.reads)-1].Nodes) > 0 {
			cpu := (r.at(to, spent) - r.at(from, spent)) / asked
			out.All.CPU = &cpu
			out.All.Resident, out.All.Growth = r.memory(from, to)
		}
	}
	return out
}

func (t *tally) figures() report.Figures {
	f := report.Figures{Counts: t.Counts, Worth: share(t.earned, t.whole)}
	if t.times.TotalCount() > 0 {
		at := func(q float64) float64 { return float64(t.times.ValueAtQuantile(q)) / 1e3 }
		f.P50, f.P90, f.P99, f.P999 = at(50), at(90), at(99), at(99.9)
		f.Max = float64(t.times.Max()) / 1e3
	}
	return f
}

// at is a sum that grows, at an instant between readings.
func (r *recorder) at(t time.Duration, sum func(*sample.Reading) float64) float64 {
	i, _ := slices.BinarySearchFunc(r.reads, t, func(one sample.Reading, t time.Duration) int {
		return cmp.Compare(one.At, t)
	})
	switch i {
	case 0:
		return 0
	case len(r.reads):
		return sum(&r.reads[i-1])
	}
	a, b := &r.reads[i-1], &r.reads[i]
	part := float64(t-a.At) / float64(b.At-a.At)
	return sum(a) + part*(sum(b)-sum(a))
}

// arrived is how many tries have come to peers.
func arrived(r *sample.Reading) (n float64) {
	for _, p := range r.Peers {
		n += float64(p.AttemptsReceived)
	}
	return n
}

// spent is the processor time of the nodes, in milliseconds.
func spent(r *sample.Reading) (ms float64) {
	for _, n := range r.Nodes {
		ms += milliseconds(n.CPU)
	}
	return ms
}

// memory is what the nodes' processes held in a phase, in the mean, and how many
// times as much in its last third as in its first; nil where that was not read.
func (r *recorder) memory(from, to time.Duration) (mean, growth *float64) {
	third := (to - from) / 3
	all, ok := r.resident(from, to)
	first, begins := r.resident(from, from+third)
	last, ends := r.resident(to-third, to)
	if ok {
		mean = &all
	}
	if begins && ends {
		times := last / first
		growth = &times
	}
	return mean, growth
}

// resident is the mean of the readings in a time, in megabytes.
func (r *recorder) resident(from, to time.Duration) (mb float64, ok bool) {
	n := 0
	for i := range r.reads {
		if at := r.reads[i].At; at < from || at >= to {
			continue
		}
		n++
		for _, one := range r.reads[i].Nodes {
			mb += float64(one.ResidentBytes) / (1 << 20)
		}
	}
	if n == 0 || mb == 0 {
		return 0, false
	}
	return mb / float64(n), true
}

// series makes up what is shown along the time axis.
func (r *recorder) series(out *report.Report) {
	for i := range r.seconds {
		s := &r.seconds[i]
		at := time.Duration(i) * time.Second
		one := report.Second{At: at.Seconds(), Counts: s.Counts, Worth: share(s.earned, s.whole)}
		if len(s.times) > 0 {
			slices.Sort(s.times)
			one.P50, one.P99 = milliseconds(rank(s.times, 0.5)), milliseconds(rank(s.times, 0.99))
		}
		one.Tries = int(math.Round(r.at(at+time.Second, arrived) - r.at(at, arrived)))
		one.CPU = r.at(at+time.Second, spent) - r.at(at, spent)
		out.Seconds = append(out.Seconds, one)
	}
	for i, p := range r.plan.Script.World.Peers {
		out.Peers = append(out.Peers, report.Peer{Name: p.Name, Zone: p.Zone, Cores: p.Cores, InFlight: r.held(i)})
	}
}

// rank is the value below which a share of sorted ones lies.
func rank(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// held is how much a peer held in each second, in the mean; report.Down where
// it did not run at all.
func (r *recorder) held(place int) []float64 {
	n := len(r.seconds)
	sums, counts, ups := make([]float64, n), make([]int, n), make([]int, n)
	for _, one := range r.reads {
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

// bands are the script's faults as the report shows them.
func bands(s *fault.Script) (all []report.FaultInterval) {
	for i := range s.Faults {
		f := &s.Faults[i]
		from, to := f.At.D().Seconds(), f.Ends().D().Seconds()
		all = append(all, report.FaultInterval{Kind: f.Kind, From: from, To: to, Note: about(f)})
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
			Kind: fault.Rogues, From: from.Seconds(), To: to.Seconds(), Note: count(kinds, "kind", "kinds"),
		})
	}
	slices.SortStableFunc(all, func(a, b report.FaultInterval) int { return cmp.Compare(a.From, b.From) })
	return all
}
