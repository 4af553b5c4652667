package raftlog

import "slices"

// ChangeKind is the kind of a Change.
type ChangeKind int

// The kinds of changes.
const (
	NoChange           ChangeKind = iota // the configuration is the wanted one, or a wanted voter is unreachable
	RemoveServer                         // removes a voter or nonvoter
	AddNonvoter                          // adds a server that replicates the log without a vote
	PromoteToVoter                       // makes a nonvoter a voter
	TransferLeadership                   // transfers leadership from a leader that is not a wanted voter
)

// Change is one step from the present raft configuration to the wanted one.
type Change struct {
	Kind   ChangeKind
	Server string // affected server, or new leader with TransferLeadership; "" with NoChange
}

// Membership is the present raft configuration known to the leader.
type Membership struct {
	Leader    string
	Voters    []string // including the leader
	Nonvoters []string
}

// NextChange returns the next change towards the wanted voters. It minimizes the number of unreachable voters on which
// the quorum depends: unreachable voters that are not wanted are removed first, a new voter gets its vote only once it
// is reachable, and reachable voters that are not wanted stay until all new voters have their votes. The leader never
// removes itself.
func NextChange(current Membership, wanted []string, reachable func(string) bool) Change {
	if extra, found := current.unreachableExtraVoter(wanted, reachable); found {
		return Change{Kind: RemoveServer, Server: extra}
	}
	if addition := current.nextAddition(wanted, reachable); addition.Kind != NoChange {
		return addition
	}
	for _, name := range wanted {
		if !slices.Contains(current.Voters, name) {
			return Change{} // the new voter is still unreachable; no reachable voter is removed before it has its vote
		}
	}
	for _, name := range slices.Concat(current.Nonvoters, current.Voters) {
		if !slices.Contains(wanted, name) && name != current.Leader {
			return Change{Kind: RemoveServer, Server: name}
		}
	}
	return current.nextLeader(wanted, reachable)
}

// unreachableExtraVoter returns a voter other than the leader that is not wanted and is unreachable.
func (m Membership) unreachableExtraVoter(wanted []string, reachable func(string) bool) (name string, found bool) {
	for _, voter := range m.Voters {
		if !slices.Contains(wanted, voter) && voter != m.Leader && !reachable(voter) {
			return voter, true
		}
	}
	return "", false
}

// nextAddition returns the change that adds the next wanted server as a nonvoter, or promotes it once it is reachable.
func (m Membership) nextAddition(wanted []string, reachable func(string) bool) Change {
	for _, name := range wanted {
		switch {
		case slices.Contains(m.Voters, name):
		case !slices.Contains(m.Nonvoters, name):
			return Change{Kind: AddNonvoter, Server: name}
		case reachable(name):
			return Change{Kind: PromoteToVoter, Server: name}
		}
	}
	return Change{}
}

// nextLeader returns the change that transfers leadership to a reachable voter if the leader is not a wanted voter.
func (m Membership) nextLeader(wanted []string, reachable func(string) bool) Change {
	if slices.Contains(wanted, m.Leader) {
		return Change{}
	}
	for _, name := range wanted {
		if reachable(name) {
			return Change{Kind: TransferLeadership, Server: name}
		}
	}
	return Change{}
}
