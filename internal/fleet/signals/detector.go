package signals

import (
	"cmp"
	"slices"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// maxAge is the age up to which an observation counts. A node that has ejected a server usually tries it again within
	// 2 s and reports the result, so its observation is renewed in time.
	maxAge = 6 * time.Second
	// forgetAfter is the duration after which the state of a server without attempts or health checks is dropped.
	forgetAfter = time.Minute
	// maxSuspectedFraction is the maximum fraction of the group that is suspected at one time. If more servers seem to
	// fail for many nodes at once, the cause may be the nodes' own network, so each node must find out about the others
	// itself.
	maxSuspectedFraction = 0.25
	// maxFailedFraction is the fraction of the group above which a node's report is ignored: a node that fails with more
	// servers is itself cut off, slow or faulty.
	maxFailedFraction = 0.25
	// MaxObservations is the maximum number of observations in a report. The newest ones are sent.
	MaxObservations = 40
	// failingThreshold is the number of consecutive failures that make the condition Failing. One failure may be chance.
	failingThreshold = 2
	// maxNodes is the maximum number of nodes whose reports are kept. A fleet has fewer.
	maxNodes = 1024
	// weightTolerance is the amount by which rounding errors may make a sum of weights too small.
	weightTolerance = 1e-9
)

// observed is the last observation of a server, with its time.
type observed struct {
	startedAt int64
	condition Condition
	at        time.Duration // 0: never
}

// ownState is this node's own observations of a server.
type ownState struct {
	observed
	answeredAt time.Duration // time of the last answer; 0: never
	failures   int           // number of consecutive failures
}

// failed reports whether the server failed to answer this node and has not answered it since.
func (s *ownState) failed() bool { return s.at > 0 && s.condition != Recovered }

// nodeReport is the last report of another node.
type nodeReport struct {
	incarnation string
	number      uint64
	servers     map[uint64]observed // by ID of the server
}

// Detector decides which servers are suspected, from this node's observations and the reports of other nodes. It is not
// safe for concurrent use.
type Detector struct {
	self         string                 // name of this node
	witnesses    int                    // sum of weights that makes a server suspected
	own          map[uint64]*ownState   // by ID of the server
	reports      map[string]*nodeReport // by name of the node
	reportNumber uint64                 // number of this node's last report
	mutant       func(string) bool      // whether a mutant is active, see package mutant
}

// NewDetector returns the detector of a node. It suspects a server if at least the given number of other nodes report
// it as failing; see Condition.weight for nodes that report a single failure.
func NewDetector(self string, witnesses int) *Detector {
	return &Detector{
		self:      self,
		witnesses: witnesses,
		own:       map[uint64]*ownState{},
		reports:   map[string]*nodeReport{},
		mutant:    mutant.Active,
	}
}

// Observe applies the result of an attempt or a health check of this node. It returns true if the next report should be
// sent at once.
func (d *Detector) Observe(now time.Duration, server Server, result Result) bool {
	s := d.own[server.ID]
	if s == nil || s.startedAt != server.StartedAt {
		s = &ownState{observed: observed{startedAt: server.StartedAt}}
		d.own[server.ID] = s
	}
	if result == Answered {
		return s.recordAnswer(now)
	}
	return s.recordFailure(now)
}

// recordAnswer records an answer, and reports whether that changed the condition.
func (s *ownState) recordAnswer(now time.Duration) bool {
	s.answeredAt = now
	s.failures = 0
	if !s.failed() {
		return false
	}
	s.condition = Recovered
	s.at = now
	return true
}

// recordFailure records a failure, and reports whether that changed the condition.
func (s *ownState) recordFailure(now time.Duration) bool {
	conditionBefore := s.condition
	failedBefore := s.failed()
	s.failures++
	s.condition = Missed
	s.at = now
	if s.failures >= failingThreshold {
		s.condition = Failing
	}
	return !failedBefore || s.condition != conditionBefore
}

// Report returns this node's next report, without observations older than maxAge. It also drops the state of servers
// that are neither reported nor used for forgetAfter.
func (d *Detector) Report(now time.Duration, incarnation string) Report {
	d.reportNumber++
	r := Report{From: d.self, Incarnation: incarnation, Number: d.reportNumber}
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

// Receive stores the report of another node in place of its last one, and reports whether it did. It ignores duplicate
// and older reports of the same incarnation, reports in this node's own name, and reports that exceed a limit.
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

// DropNodes drops the reports of nodes that are no longer present.
func (d *Detector) DropNodes(present func(name string) bool) {
	for name := range d.reports {
		if !present(name) {
			delete(d.reports, name)
		}
	}
}
