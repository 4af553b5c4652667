package operations

import (
	"slices"
	"time"

	"olivebridge/internal/fleet/mutant"
)

// reportLifetime is for how long a node's report counts.
const reportLifetime = 2 * time.Second

// NodeReport is what a node said last.
type NodeReport struct {
	Incarnation string
	Version     uint64         // of the ledger, that it has applied
	OpenCalls   map[string]int // by suspended server
	Age         time.Duration
}

// isFresh reports whether the report still counts.
func (r NodeReport) isFresh() bool {
	return r.Age <= reportLifetime
}

// Member is a node that may still act, as the leader believes.
type Member struct {
	Name        string
	Incarnation string
	Predecessor bool // the node has another process, which may have calls of which this one does not know
}

// CanAdvance reports whether a round may go on with its step, by what all nodes said; if not, which nodes it waits for.
// The time that it has been seen in its step is inStep. Every node that reports counts, also one that is no member, or
// not yet: a node that is back at another address serves clients for some seconds before the others know it.
func CanAdvance(
	r Round, members []Member, reports map[string]NodeReport, inStep time.Duration,
) (ok bool, waitingFor []string) {
	switch r.Step {
	case Pending:
		return true, nil
	case Drained:
		return inStep >= r.Hold, nil
	}
	for _, m := range members {
		report, found := reports[m.Name]
		current := found && report.Incarnation == m.Incarnation && report.isFresh()
		if !current || !r.isComplete(report, m.Predecessor) {
			waitingFor = append(waitingFor, m.Name)
		}
	}
	for name, report := range reports {
		isMember := slices.ContainsFunc(members, func(m Member) bool { return m.Name == name })
		if !isMember && report.isFresh() && !r.isComplete(report, false) {
			waitingFor = append(waitingFor, name)
		}
	}
	slices.Sort(waitingFor)
	return len(waitingFor) == 0, waitingFor
}

// isComplete reports whether a node has completed the round's step: it has applied it, and, if a server drains, has no
// call there.
func (r *Round) isComplete(report NodeReport, hasPredecessor bool) bool {
	if report.Version < r.Version {
		return false
	}
	hasCalls := hasPredecessor || report.OpenCalls[r.Server()] > 0
	return r.Step != Draining || !hasCalls || mutant.Active("busy-not-asked")
}
