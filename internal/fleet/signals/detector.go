package signals

import (
	"cmp"
	"slices"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// maxAge is for how long an observation counts: a node that has ejected a server tries it again within 2 s as a rule,
	// and reports that.
	maxAge = 6 * time.Second
	// forgetAfter is after how long a server that was neither used nor reported is forgotten.
	forgetAfter = time.Minute
	// maxSuspectedPart is the part of the group that may be suspected at one time. What more than that has failed for
	// many nodes at once each finds out for itself: it may be the nodes' own network.
	maxSuspectedPart = 0.25
	// maxFailedPart is the part of the group beyond which a node's report is ignored: the node is cut off, slow itself,
	// or wrong.
	maxFailedPart = 0.25
	// MaxObservations bounds a report: the newest.
	MaxObservations = 40
	// failingAfter is how many failures in a row are more than chance.
	failingAfter = 2
	// maxNodes bounds the nodes whose reports are kept; a fleet has fewer.
	maxNodes = 1024
	// weightTolerance is by how much a sum of weights may be too small for rounding.
	weightTolerance = 1e-9
)

// observed is an observation with the time it was made.
type observed struct {
	startedAt int64
	condition Condition
	at        time.Duration // 0: never
}

// ownState is what this node has observed of a server.
type ownState struct {
	observed
	answeredAt time.Duration // the last time; 0: never
	failures   int           // in a row
}

// failed reports whether this node has failed with the server, and had no answer since.
func (s *ownState) failed() bool { return s.at > 0 && s.condition != Recovered }

// nodeReport is a node's last report.
type nodeReport struct {
	incarnation string
	number      uint64
	servers     map[uint64]observed
}

// Detector decides which servers are suspected, by what this node has observed and others have reported. It is not
// safe for concurrent use.
type Detector struct {
	self      string // name of this node
	witnesses int    // whose reports make a server suspected
	own       map[uint64]*ownState
	reports   map[string]*nodeReport // by name of the node
	number    uint64                 // of this node's last report
	mutant    func(string) bool      // see package mutant
}

// NewDetector makes the detector of a node, which suspects a server by the reports of so many others.
func NewDetector(self string, witnesses int) *Detector {
	return &Detector{
		self:      self,
		witnesses: witnesses,
		own:       map[uint64]*ownState{},
		reports:   map[string]*nodeReport{},
		mutant:    mutant.Active,
	}
}

// Observe takes how an attempt or a health check of this node went, and reports whether others should learn of it at
// once.
func (d *Detector) Observe(now time.Duration, server Server, result Result) bool {
	s := d.own[server.ID]
	if s == nil || s.startedAt != server.StartedAt {
		s = &ownState{observed: observed{startedAt: server.StartedAt}}
		d.own[server.ID] = s
	}
	if result == Answered {
		return s.answer(now)
	}
	return s.fail(now)
}

// answer takes an answer, and reports whether that is news.
func (s *ownState) answer(now time.Duration) bool {
	s.answeredAt = now
	s.failures = 0
	if !s.failed() {
		return false
	}
	s.condition = Recovered
	s.at = now
	return true
}

// fail takes a failure, and reports whether that is news.
func (s *ownState) fail(now time.Duration) bool {
	before := s.condition
	failedBefore := s.failed()
	s.failures++
	s.condition = Missed
	s.at = now
	if s.failures >= failingAfter {
		s.condition = Failing
	}
	return !failedBefore || s.condition != before
}

// Report returns this node's next report; none of its observations is old.
func (d *Detector) Report(now time.Duration, incarnation string) Report {
	d.number++
	r := Report{From: d.self, Incarnation: incarnation, Number: d.number}
	for id, s := range d.own {
		switch {
		case s.at > 0 && now-s.at <= maxAge:
			server := Server{ID: id, StartedAt: s.startedAt}
			r.Observations = append(r.Observations, Observation{server, s.condition, now - s.at})
		case now-max(s.at, s.answeredAt) > forgetAfter:
			delete(d.own, id)
		}
	}
	slices.SortFunc(r.Observations, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.ID, y.ID))
	})
	r.Observations = r.Observations[:min(len(r.Observations), MaxObservations)]
	return r
}

// Receive takes another node's report, and reports whether it is new: an earlier one, or the same again, changes
// nothing.
func (d *Detector) Receive(now time.Duration, r Report) bool {
	last := d.reports[r.From]
	switch {
	case r.From == d.self || len(r.Observations) > MaxObservations:
		return false
	case last != nil && last.incarnation == r.Incarnation && last.number >= r.Number:
		return false
	case last == nil && len(d.reports) >= maxNodes:
		return false
	}
	report := &nodeReport{r.Incarnation, r.Number, map[uint64]observed{}}
	for _, o := range r.Observations {
		report.servers[o.ID] = observed{o.StartedAt, o.Condition, now - max(o.Age, 0)}
	}
	d.reports[r.From] = report
	return true
}

// DropNodes drops the reports of nodes that are not present any more.
func (d *Detector) DropNodes(present func(name string) bool) {
	for name := range d.reports {
		if !present(name) {
			delete(d.reports, name)
		}
	}
}
