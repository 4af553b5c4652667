package budget

import (
	"fmt"
	"strings"
	"sync/atomic"
)

// counters count the events of a Service since its creation.
type counters struct {
	admitted atomic.Int64 // successful calls of Admit and AdmitKey
	rejected atomic.Int64 // rejected calls of Admit and AdmitKey
	requests atomic.Int64 // requests to the leader
	answered atomic.Int64 // requests whose response was applied
	refused  atomic.Int64 // requests that were rejected
	lost     atomic.Int64 // requests without a response
	granted  atomic.Int64 // grants made by this process as leader
}

// Status returns a text for operators with the holdings and, on the leader, the shares of all holders.
func (s *Service) Status() string {
	leader := s.leaderName()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil {
		return "budgets: nothing is held without a place in the fleet"
	}
	var parts []string
	for i, h := range s.holder.Holdings(s.now()) {
		parts = append(parts, fmt.Sprintf("%s %.1f lent and %.1f reserved of %.1f a second, asked for %.1f",
			h.Quota, h.Amount, h.Reserve, s.config.Quotas[i].Amount, h.Demand))
	}
	text := "budgets: " + strings.Join(parts, ", ")
	if leader != "" {
		text += "; book kept by " + leader
	}
	if s.leader != nil {
		text += s.sharesText()
	}
	return text
}

// sharesText returns a text with the shares of all holders. The caller holds mu and has checked that leader is set.
func (s *Service) sharesText() string {
	var text strings.Builder
	for _, q := range s.config.Quotas {
		for _, share := range s.leader.Shares(s.now(), q.Name) {
			fmt.Fprintf(&text, "; %s: %s has %.1f, is to have %.1f, asks for %.1f",
				q.Name, share.Holder, share.Lent, share.Target, share.Demand)
		}
	}
	return text.String()
}

// Counters returns the counters as text for the log, in the form name=value.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("passed=%d turned=%d asks=%d answered=%d refused=%d lost=%d granted=%d",
		c.admitted.Load(), c.rejected.Load(), c.requests.Load(), c.answered.Load(), c.refused.Load(), c.lost.Load(),
		c.granted.Load())
}
