package operations

import (
	"slices"
	"time"

	"olivebridge/internal/fleet/mutant"
)

// reportLifetime is the age above which a node's report is ignored.
const reportLifetime = 2 * time.Second

// NodeReport is the last report that the leader received from a node.
type NodeReport struct {
	Incarnation string
	Version     uint64         // ledger version that the node has applied
	OpenCalls   map[string]int // number of the node's open calls, by suspended server
	Age         time.Duration  // time since the leader received the report
}

// isFresh reports whether the report's age is at most reportLifetime.
func (r NodeReport) isFresh() bool {
	return r.Age <= reportLifetime
}

// Member is a node that is present in the leader's view of the fleet.
type Member struct {
	Name        string
	Incarnation string
	Predecessor bool // the node has another process, whose open calls are missing from the node's reports
}

// CanAdvance reports whether a round may advance from its present step, and otherwise returns the sorted names of the
// nodes for which it waits. inStep is the time since the leader first saw the round in this step. Fresh reports from
// nodes that are not members count too: a node that returns at another address serves clients for some seconds before
// the other members know it.
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

// isComplete reports whether a node has completed the round's present step: the node has applied the round's ledger
// version and, if the step is Draining, has no open calls at the round's present server.
func (r *Round) isComplete(report NodeReport, hasPredecessor bool) bool {
	if report.Version < r.Version {
		return false
	}
	hasCalls := hasPredecessor || report.OpenCalls[r.Server()] > 0
	return r.Step != Draining || !hasCalls || mutant.Active("busy-not-asked")
}
