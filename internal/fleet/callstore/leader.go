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
)

const (
	// sweepInterval is how often the leader looks for failed owners, beside each new view.
	sweepInterval = time.Second
	// unknownMemberGrace is for how long a leader must have been in the fleet before it takes an owner for failed that no
	// view has named: by then the members have told each other of everybody.
	unknownMemberGrace = 15 * time.Second
)

// termClock is the ledger's clock for as long as this process leads: it goes on from where it was, so that voters'
// clocks need not agree.
type termClock struct {
	term    uint64
	base    int64     // the ledger's clock when this process first proposed in the term, in milliseconds
	started time.Time // the process's clock then
}

func (c termClock) now() int64 {
	return c.base + time.Since(c.started).Milliseconds()
}

// propose appends a command to the log if this process leads, with the ledger's time and the limits. It returns what
// ledger.Apply did.
func (s *Service) propose(c command) (any, error) {
	s.mu.Lock()
	log, ledger := s.log, s.ledger
	if log == nil || !log.IsLeader() {
		s.mu.Unlock()
		return nil, ErrNoLeader
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

// followViews takes each new view of the fleet, and releases calls by it.
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

// sweep releases calls by the last view, at an interval: an owner may have failed before this process led.
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

// releaseFailed releases the calls of failed processes, if this process leads.
func (s *Service) releaseFailed(ctx context.Context) {
	s.mu.Lock()
	log, ledger, view, startedAt := s.log, s.ledger, s.view, s.startedAt
	s.mu.Unlock()
	if log == nil || view == nil || !log.IsLeader() || ctx.Err() != nil {
		return
	}
	var failed []process
	for _, owner := range ledger.owners() {
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

// hasFailed reports whether a process is given up; known is for how long this process has been in the fleet. A node
// that has begun a later incarnation has ended the one before it: its directory belongs to one process at a time. An
// incarnation that the view has not heard of yet has not failed.
func hasFailed(view *member.View, p process, known time.Duration) bool {
	m, found := view.Lookup(p.Name)
	if !found {
		return known > unknownMemberGrace
	}
	if m.Incarnation.String() == p.Incarnation {
		return !m.State.Present()
	}
	digits, sameHome := strings.CutPrefix(p.Incarnation, m.Incarnation.Home+"/")
	if !sameHome {
		return true // of another directory, which this one has replaced
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return true
	}
	if m.Predecessor && m.State.Present() && number+1 == m.Incarnation.Number {
		return false // in an upgrade, the predecessor completes its calls
	}
	return number < m.Incarnation.Number
}
