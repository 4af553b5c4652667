package raftlog

import (
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
)

const (
	// membershipInterval is the interval at which the leader compares the raft configuration with the committed voter
	// set. A change takes one or two messages, so that a voter is replaced within a few seconds.
	membershipInterval = 500 * time.Millisecond
	// reachableTimeout limits the dial that checks whether a voter is reachable.
	reachableTimeout = 300 * time.Millisecond
	// removalGrace is the duration for which a server continues as a voter after its fleet file no longer lists it. The
	// other voters may need its vote until they have changed the raft configuration.
	removalGrace = 15 * time.Second
)

// SetVoters sets the voter set from this process's fleet file, if its edition is higher than the previous one. If this
// process is the leader, it then proposes the set and changes the raft configuration accordingly.
func (l *Log) SetVoters(voters VoterSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.configured.Edition < voters.Edition {
		l.configured = voters
		l.configuredSince = time.Now()
	}
}

// Removed returns a channel that is closed once this process is no longer a voter: neither its fleet file nor the raft
// configuration lists it, or its fleet file has not listed it for removalGrace.
func (l *Log) Removed() <-chan struct{} {
	return l.removed
}

// maintainMembership changes the raft configuration to the committed voter set while this process is the leader, and
// closes l.removed once this process is no longer a voter. It runs until Close.
func (l *Log) maintainMembership() {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.closed:
			return
		}
		l.mu.Lock()
		configured, since := l.configured, l.configuredSince
		l.mu.Unlock()
		if l.IsLeader() && !mutant.Active("roster-ignored") {
			l.advanceMembership(configured)
		}
		if l.isRemoved(configured, since) {
			l.removedOnce.Do(func() { close(l.removed) })
		}
	}
}

func (l *Log) isRemoved(configured VoterSet, since time.Time) bool {
	if slices.Contains(configured.Names, l.name) {
		return false
	}
	return !l.isVoter(l.name) || time.Since(since) > removalGrace
}

// advanceMembership proposes this process's voter set if that is newer than the committed one. Otherwise it applies the
// next change towards the committed voter set. The next tick retries if either fails.
func (l *Log) advanceMembership(configured VoterSet) {
	committed := l.state.voterSet()
	if configured.Edition > max(committed.Edition, firstEdition) {
		l.proposeVoters(configured)
		return
	}
	if committed.Edition == 0 { // the log has only the voters with which it was bootstrapped
		return
	}
	l.applyChange(NextChange(l.membership(), committed.Names, l.isReachable))
}

func (l *Log) proposeVoters(voters VoterSet) {
	entry, err := encodeVoterSet(voters)
	if err != nil {
		return
	}
	_ = l.await(l.raft.Apply(entry, applyTimeout)) // the next tick retries after an error
}

// membership returns the raft configuration with this process as the leader.
func (l *Log) membership() Membership {
	current := Membership{Leader: l.name}
	for _, server := range l.servers() {
		if server.Suffrage == raft.Voter {
			current.Voters = append(current.Voters, string(server.ID))
		} else {
			current.Nonvoters = append(current.Nonvoters, string(server.ID))
		}
	}
	return current
}

// servers returns the servers of the raft configuration known to this process, or nil if it cannot be read.
func (l *Log) servers() []raft.Server {
	future := l.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// isVoter reports whether a server is a voter in the raft configuration known to this process.
func (l *Log) isVoter(name string) bool {
	return slices.Contains(l.membership().Voters, name)
}

// applyChange applies a change to the raft configuration. The next tick retries after an error.
func (l *Log) applyChange(change Change) {
	id := raft.ServerID(change.Server)
	address := raft.ServerAddress(change.Server)
	switch change.Kind {
	case NoChange:
	case RemoveServer:
		_ = l.await(l.raft.RemoveServer(id, 0, applyTimeout))
	case AddNonvoter:
		_ = l.await(l.raft.AddNonvoter(id, address, 0, applyTimeout))
	case PromoteToVoter:
		_ = l.await(l.raft.AddVoter(id, address, 0, applyTimeout))
	case TransferLeadership:
		_ = l.await(l.raft.LeadershipTransferToServer(id, address))
	}
}

// isReachable reports whether a voter's process accepts a stream within reachableTimeout.
func (l *Log) isReachable(name string) bool {
	conn, err := l.layer.Dial(raft.ServerAddress(name), reachableTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
