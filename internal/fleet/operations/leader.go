package operations

import (
	"time"

	"olivebridge/internal/fleet/mutant"
	"olivebridge/internal/fleet/raftlog"
)

// advanceInterval is the interval at which the leader checks whether the running round can advance.
const advanceInterval = 100 * time.Millisecond

// StepRecord is the data of an event of kind "step": this process, as the leader, advanced a round by one step.
type StepRecord struct {
	Round    uint64 `json:"round"`
	Position int    `json:"at"`
	Server   string `json:"server"`
	From     Step   `json:"from"`
}

// advanceLoop advances the running round while this process is the leader.
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

// advance advances a round by one step if all nodes have completed the present step. A leader whose view does not hold
// a majority of the fleet does not advance it.
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
	if mutant.Active("step-without-look") { // the fault proposes the step a second time
		_, _ = log.Propose(command{Advance: &step})
	}
	if result, ok := applied.(Result); err == nil && ok && result.Rejection == "" {
		s.counters.steps.Add(1)
		s.config.Log.Info(logMessage, "reason", "step", "round", r.Key, "server", r.Server(), "from", string(r.Step))
		s.config.Record.Write("step", StepRecord{Round: r.ID, Position: r.Position, Server: r.Server(), From: r.Step})
	}
}

// canAdvance reports whether the round can advance, according to the reports that this process has received. It stores
// the nodes for which the round waits in s.waitingFor.
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
