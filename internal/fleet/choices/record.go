package choices

import (
	"fmt"

	"olivebridge/balancer"
)

// FailureRecord is an attempt or a health check that failed, in the record.
type FailureRecord struct {
	Server uint64 `json:"peer"`
	Probe  bool   `json:"probe,omitempty"` // it was a health check
}

// ChoiceRecord is a choice in the record.
type ChoiceRecord struct {
	View    uint64   `json:"view"`
	Nodes   int      `json:"nodes"`
	Zones   int      `json:"zones"`
	Servers int      `json:"peers"`
	Chosen  []uint64 `json:"chose,omitempty"` // missing: all
}

// recordChoice tells operators of a choice whose size has changed, and the record of every one.
func (s *Service) recordChoice(chosen map[balancer.ServerID]bool, fleet fleetState, servers int) {
	size := everyServer
	if chosen != nil {
		size = len(chosen)
	}
	s.mu.Lock()
	changed := s.lastSize != size || s.lastZones != fleet.zones
	s.lastSize = size
	s.lastZones = fleet.zones
	s.mu.Unlock()
	if changed {
		s.config.Log.Info("fleet choices", "reason", "subset", "chosen", size, "peers", servers,
			"nodes", len(fleet.nodes), "zones", fleet.zones)
	}
	if s.config.Record == nil {
		return
	}
	line := ChoiceRecord{View: fleet.view, Nodes: len(fleet.nodes), Zones: fleet.zones, Servers: servers}
	for id := range chosen {
		line.Chosen = append(line.Chosen, uint64(id))
	}
	s.config.Record.Write("chose", line)
}

// Status is for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("choices: all %d peers", len(s.servers))
	if s.lastSize >= 0 {
		text = fmt.Sprintf("choices: %d of %d peers, as one of %d nodes",
			s.lastSize, len(s.servers), len(s.fleet.nodes))
	}
	if s.config.Signals != nil {
		text += "; " + s.config.Signals.Status()
	}
	return text
}
