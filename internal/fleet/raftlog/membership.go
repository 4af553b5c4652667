package raftlog

import (
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/mutant"
)

const (
	// membershipInterval is how often the leader compares the raft configuration with the agreed voter set. A change takes
	// one or two messages, so that a voter is replaced within some seconds.
	membershipInterval = 500 * time.Millisecond
	// reachableTimeout bounds the dial that tests whether a voter is reachable.
	reachableTimeout = 300 * time.Millisecond
	// removalGrace is for how long a server that is no voter by its fleet file goes on as one: the others may need its
	// vote until they have changed the configuration.
	removalGrace = 15 * time.Second
)

// SetVoters takes the voter set of this process's fleet file, if its edition is higher than the one before. If this
// process leads, it brings the raft configuration to that.
func (l *Log) SetVoters(voters VoterSet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.configured.Edition < voters.Edition {
		l.configured = voters
		l.configuredSince = time.Now()
	}
}

// Removed is closed once this process is not a voter any more, by its fleet file and by the raft configuration, or for
// removalGrace by its fleet file alone.
func (l *Log) Removed() <-chan struct{} {
	return l.removed
}

// maintainMembership brings the raft configuration to the agreed voter set while this process leads, and finds that
// this process was removed. It runs until Close.
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

// advanceMembership proposes this process's voter set if that is newer than the agreed one; else it takes the next step
// to the agreed one. What comes of either shows at the next tick.
func (l *Log) advanceMembership(configured VoterSet) {
	agreed := l.state.voterSet()
	if configured.Edition > max(agreed.Edition, firstEdition) {
		l.proposeVoters(configured)
		return
	}
	if agreed.Edition == 0 { // the log was bootstrapped with the first edition, and has no other
		return
	}
	l.applyChange(NextChange(l.membership(), agreed.Names, l.isReachable))
}

func (l *Log) proposeVoters(voters VoterSet) {
	entry, err := encodeVoterSet(voters)
	if err != nil {
		return
	}
	_ = l.await(l.raft.Apply(entry, applyTimeout)) // proposed again at the next tick
}

// membership is the raft configuration, with this process as the leader.
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

// servers are those of the raft configuration that this process knows.
func (l *Log) servers() []raft.Server {
	future := l.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// isVoter reports whether a server has a vote, as far as this process knows.
func (l *Log) isVoter(name string) bool {
	return slices.Contains(l.membership().Voters, name)
}

// applyChange applies a change. A failure is left to the next tick.
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

// isReachable reports whether a voter's process accepts a stream.
func (l *Log) isReachable(name string) bool {
	conn, err := l.layer.Dial(raft.ServerAddress(name), reachableTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
