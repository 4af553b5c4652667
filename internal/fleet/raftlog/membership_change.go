package raftlog

import "slices"

// ChangeKind is what a Change does with a server.
type ChangeKind int

// The kinds of changes.
const (
	NoChange           ChangeKind = iota // the raft configuration is as wanted, or has to wait for a voter
	RemoveServer                         // takes a voter or nonvoter out
	AddNonvoter                          // adds a server that replicates the log and has no vote yet
	PromoteToVoter                       // gives a nonvoter its vote
	TransferLeadership                   // makes another voter the leader, since the present one is to go
)

// Change is one step from the present raft configuration to the wanted one.
type Change struct {
	Kind   ChangeKind
	Server string // that it concerns; "" with NoChange
}

// Membership is the present raft configuration, as the leader sees it.
type Membership struct {
	Leader    string
	Voters    []string // with the leader
	Nonvoters []string
}

// NextChange is the next step to the wanted voters. At no time does the quorum depend on more unreachable voters than
// it must: extra voters that are unreachable are removed first, a new voter gets its vote only once it is reachable,
// and an extra voter that is reachable stays until all new ones have their votes. The leader never removes itself.
func NextChange(current Membership, wanted []string, reachable func(string) bool) Change {
	if extra, found := current.unreachableExtraVoter(wanted, reachable); found {
		return Change{Kind: RemoveServer, Server: extra}
	}
	if addition := current.nextAddition(wanted, reachable); addition.Kind != NoChange {
		return addition
	}
	for _, name := range wanted {
		if !slices.Contains(current.Voters, name) {
			return Change{} // it is unreachable as yet; nobody else goes meanwhile
		}
	}
	for _, name := range slices.Concat(current.Nonvoters, current.Voters) {
		if !slices.Contains(wanted, name) && name != current.Leader {
			return Change{Kind: RemoveServer, Server: name}
		}
	}
	return current.nextLeader(wanted, reachable)
}

// unreachableExtraVoter finds a voter that is not wanted and cannot be reached.
func (m Membership) unreachableExtraVoter(wanted []string, reachable func(string) bool) (name string, found bool) {
	for _, voter := range m.Voters {
		if !slices.Contains(wanted, voter) && voter != m.Leader && !reachable(voter) {
			return voter, true
		}
	}
	return "", false
}

// nextAddition adds a wanted server, or gives it the vote once it is reachable.
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

// nextLeader finds a successor for a leader that is not wanted.
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
