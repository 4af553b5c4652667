package choices

import (
	"fmt"

	"olivebridge/balancer"
)

// FailureRecord is the record's line for an attempt or a health check that the server did not answer.
type FailureRecord struct {
	Server uint64 `json:"peer"`
	Probe  bool   `json:"probe,omitempty"` // true: health check; false: attempt
}

// ChoiceRecord is the record's line for a choice of a subset.
type ChoiceRecord struct {
	View    uint64   `json:"view"`
	Nodes   int      `json:"nodes"`
	Zones   int      `json:"zones"`
	Servers int      `json:"peers"`
	Chosen  []uint64 `json:"chose,omitempty"` // IDs of the chosen servers; missing: all servers
}

// recordChoice logs a choice if its size or the number of zones has changed, and writes every choice to the record.
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

// Status returns a text for operators with the size of the last choice and the status of the signals.
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
