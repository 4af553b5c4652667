package operations

import "time"

// reportInterval is the interval at which a node reports to the leader and receives the suspended servers. After it has
// applied a change, the node reports again immediately.
const reportInterval = 250 * time.Millisecond

// reportLoop reports to the leader and applies the responses.
func (s *Service) reportLoop(stop chan struct{}) {
	for {
		s.counters.requests.Add(1)
		resp, err := s.sendToLeader(s.report())
		if err != nil {
			s.counters.failedRequests.Add(1)
		} else if s.applyResponse(resp) {
			continue // report the applied version immediately
		}
		select {
		case <-stop:
			return
		case <-time.After(reportInterval):
		}
	}
}

// report returns the present report of this node.
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

// applyResponse applies the leader's response, and reports whether it has applied a new version of the suspensions.
func (s *Service) applyResponse(resp response) bool {
	version, _ := s.suspensions.current()
	s.mu.Lock()
	s.rounds = resp.Rounds
	if resp.WaitingFor != nil {
		s.waitingFor = resp.WaitingFor
	}
	control := s.control
	s.mu.Unlock()
	if resp.Version == version || control == nil {
		return false
	}
	return s.suspensions.apply(control, resp.Version, resp.Suspended, false)
}
