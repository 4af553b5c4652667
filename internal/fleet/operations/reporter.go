package operations

import "time"

// reportInterval is how often a node reports to the leader, and hears which servers are suspended. It reports again at
// once when that has changed.
const reportInterval = 250 * time.Millisecond

// reportLoop reports to the leader, and applies what it answers.
func (s *Service) reportLoop(stop chan struct{}) {
	for {
		s.counters.requests.Add(1)
		got, err := s.ask(s.report())
		if err != nil {
			s.counters.failedRequests.Add(1)
		} else if s.applyResponse(got) {
			continue // the leader is told at once that it was applied
		}
		select {
		case <-stop:
			return
		case <-time.After(reportInterval):
		}
	}
}

// report is this node's report.
func (s *Service) report() request {
	version, suspended := s.suspensions.current()
	s.mu.Lock()
	r := request{Incarnation: s.incarnation, Version: version, OpenCalls: map[string]int{}}
	control := s.control
	s.mu.Unlock()
	for _, server := range suspended {
		if open := control.Busy(server); open > 0 {
			r.OpenCalls[server] = open
		}
	}
	return r
}

// applyResponse takes the leader's response, and reports whether it has brought other suspensions.
func (s *Service) applyResponse(got response) bool {
	version, _ := s.suspensions.current()
	s.mu.Lock()
	s.rounds = got.Rounds
	if got.WaitingFor != nil {
		s.waitingFor = got.WaitingFor
	}
	control := s.control
	s.mu.Unlock()
	if got.Version == version || control == nil {
		return false
	}
	return s.suspensions.apply(control, got.Version, got.Suspended, false)
}
