package callstore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
)

const (
	// sweepInterval is the interval at which the leader checks for failed owners, in addition to the check on each new
	// view of the fleet.
	sweepInterval = time.Second
	// unknownMemberGrace is the duration for which a leader must have been a member before it considers an owner failed
	// because the view does not list the owner's node. By then the leader has received the full member list by gossip.
	unknownMemberGrace = 15 * time.Second
)

// termClock is the ledger's clock during one term in which this process is the leader. It continues from the ledger's
// last time, so that the clocks of the voters need not agree.
type termClock struct {
	term    uint64
	base    int64     // ledger's clock, in milliseconds, at the first proposal of this process in the term
	started time.Time // time of that proposal by the clock of this process
}

func (c termClock) now() int64 {
	return c.base + time.Since(c.started).Milliseconds()
}

// propose adds the ledger's time and the limits to a command and appends it to the log. It returns the result of
// ledger.Apply, or an error that wraps ErrNoLeader and raftlog.ErrNotProposed if this process is not the leader.
func (s *Service) propose(c command) (any, error) {
	s.mu.Lock()
	log, ledger := s.log, s.ledger
	if log == nil || !log.IsLeader() {
		s.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNoLeader, raftlog.ErrNotProposed)
	}
	if term := log.Term(); term != s.clock.term {
		s.clock = termClock{term: term, base: ledger.now(), started: time.Now()}
		s.config.Record.Write("keeps-work", term)
	}
	c.Now = s.clock.now()
	c.Limits = s.config.Limits
	s.mu.Unlock()
	return log.Propose(c)
}

// followViews receives each new view of the fleet and releases the calls of the processes that have failed in it.
func (s *Service) followViews(ctx context.Context) {
	after := uint64(0)
	for {
		view, err := s.config.NextView(ctx, after)
		if err != nil {
			return
		}
		after = view.Number
		s.mu.Lock()
		s.view = view
		s.mu.Unlock()
		s.releaseFailed(ctx)
	}
}

// sweep releases the calls of processes that have failed in the last view, once per sweepInterval. Without it, the
// calls of an owner that failed before this process became the leader would stay running until the next view.
func (s *Service) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.releaseFailed(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// releaseFailed releases the calls of failed processes if this process is the leader.
func (s *Service) releaseFailed(ctx context.Context) {
	s.mu.Lock()
	log, ledger, view, startedAt := s.log, s.ledger, s.view, s.startedAt
	s.mu.Unlock()
	if log == nil || view == nil || !log.IsLeader() || ctx.Err() != nil {
		return
	}
	var failed []process
	for _, owner := range ledger.owningProcesses() {
		if hasFailed(view, owner, time.Since(startedAt)) {
			failed = append(failed, owner)
		}
	}
	if len(failed) == 0 {
		return
	}
	slices.SortFunc(failed, func(a, b process) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	result, err := s.propose(command{Release: &ReleaseRequest{Processes: failed}})
	if released, ok := result.(int); err == nil && ok {
		s.counters.released.Add(int64(released))
		s.config.Log.Info(logMessage, "reason", "taken-over", "from", fmt.Sprint(failed), "pieces", released)
		s.config.Record.Write("released", failed)
	}
}

// hasFailed reports whether a process is considered failed. membershipAge is the time since this process became a
// member. A node that has started a later incarnation has ended the one before it, because only one process at a time
// uses the node's directory. An incarnation that is newer than the one in the view has not failed.
func hasFailed(view *member.View, p process, membershipAge time.Duration) bool {
	m, found := view.Lookup(p.Name)
	if !found {
		return membershipAge > unknownMemberGrace
	}
	if m.Incarnation.String() == p.Incarnation {
		return !m.State.Present()
	}
	digits, sameHome := strings.CutPrefix(p.Incarnation, m.Incarnation.Home+"/")
	if !sameHome {
		return true // an incarnation of another directory, which the node's present directory has replaced
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return true
	}
	if m.Predecessor && m.State.Present() && number+1 == m.Incarnation.Number {
		return false // during an upgrade the predecessor is still completing its calls
	}
	return number < m.Incarnation.Number
}
