package member

import (
	"fmt"
	"sync/atomic"
)

// counters counts the events of a Service since its start.
type counters struct {
	views           atomic.Int64
	suspicions      atomic.Int64
	deaths          atomic.Int64
	rejoins         atomic.Int64
	conflicts       atomic.Int64 // cases of two addresses that claim one name
	conflictsLost   atomic.Int64 // conflicts that this process lost, and gave the name up
	pauses          atomic.Int64 // pauses of this process
	isolations      atomic.Int64 // times without a packet or frame from any member for isolationTimeout
	massProbes      atomic.Int64 // probes of all members
	massProbeDeaths atomic.Int64 // members that were declared dead after such probes
	rejected        atomic.Int64 // rejected members, witness requests and injected messages
}

// Status returns a description of the view for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	view := s.table.View()
	reason := s.absentReason
	holds := s.agent != nil
	s.mu.Unlock()
	if !holds {
		return "no place: " + reason
	}
	text := view.String()
	partition := view.Partition()
	switch {
	case partition.Isolated:
		text += "; nobody else is heard"
	case !partition.Majority:
		text += fmt.Sprintf("; only %d of %d known are here", partition.Present, partition.Known)
	}
	return text
}

// Counters returns the counters as text for the log.
func (s *Service) Counters() string {
	c := &s.counters
	s.mu.Lock()
	rejectedMembers := s.table.RejectedMembers()
	staleEvents := s.table.StaleEvents()
	s.mu.Unlock()
	return fmt.Sprintf("views=%d suspicions=%d deaths=%d rejoins=%d strangers=%d stepped_back=%d pauses=%d cut_off=%d "+
		"roll_calls=%d lost_by_call=%d rejected=%d no_room=%d older_lives=%d %s",
		c.views.Load(), c.suspicions.Load(), c.deaths.Load(), c.rejoins.Load(), c.conflicts.Load(),
		c.conflictsLost.Load(), c.pauses.Load(), c.isolations.Load(), c.massProbes.Load(), c.massProbeDeaths.Load(),
		c.rejected.Load(), rejectedMembers, staleEvents, &s.traffic)
}
