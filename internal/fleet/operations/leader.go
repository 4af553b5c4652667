package operations

import (
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// advanceInterval is how often the leader looks whether the running round can go on.
const advanceInterval = 100 * time.Millisecond

// StepRecord is the record's event of kind "step": a step that this process, as the leader, has taken.
type StepRecord struct {
	Round    uint64 `json:"round"`
	Position int    `json:"at"`
	Server   string `json:"server"`
	From     Step   `json:"from"`
}

// advanceLoop advances the running round while this process leads.
func (s *Service) advanceLoop(stop chan struct{}) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		log, ledger := s.currentLog()
		if log == nil || !log.IsLeader() {
			continue
		}
		_, _, rounds := ledger.contents()
		for _, r := range rounds {
			if r.State == Running {
				s.advance(log, r)
			}
		}
	}
}

// advance takes a round one step further, if all nodes have completed the last one. A leader that sees less than half
// of the fleet waits.
func (s *Service) advance(log *raftlog.Log, r Round) {
	view := s.config.View()
	var members []Member
	for _, m := range view.Present() {
		members = append(members, Member{Name: m.Name, Incarnation: m.Incarnation.String(), Predecessor: m.Predecessor})
	}
	step := AdvanceRequest{Round: r.ID, Position: r.Position, From: r.Step}
	if !s.canAdvance(r, step, members) || !view.Partition().Majority {
		return
	}
	applied, err := log.Propose(command{Advance: &step})
	if mutant.Active("step-without-look") { // and comes again
		_, _ = log.Propose(command{Advance: &step})
	}
	if result, ok := applied.(Result); err == nil && ok && result.Rejection == "" {
		s.counters.steps.Add(1)
		s.config.Log.Info(logMessage, "reason", "step", "round", r.Key, "server", r.Server(), "from", string(r.Step))
		s.config.Record.Write("step", StepRecord{Round: r.ID, Position: r.Position, Server: r.Server(), From: r.Step})
	}
}

// canAdvance reports whether a step can be taken by the reports that this process has, and notes which nodes it waits
// for.
func (s *Service) canAdvance(r Round, step AdvanceRequest, members []Member) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingStep != step {
		s.pendingStep = step
		s.pendingSince = now
	}
	reports := map[string]NodeReport{}
	for name, received := range s.reports {
		report := received.NodeReport
		report.Age = now.Sub(received.receivedAt)
		reports[name] = report
	}
	ok, waitingFor := CanAdvance(r, members, reports, now.Sub(s.pendingSince))
	s.waitingFor = append([]string{}, waitingFor...)
	return ok
}
