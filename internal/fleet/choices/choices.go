// Package choices keeps a node to its subset of a large upstream group: it hears who is in the fleet and who is in the group,
// and tells the decisions with whom they work. What is chosen is package subset's; here is what carries it out.
package choices

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/fleet/signals"
	"olivebridge/internal/fleet/subset"
	"olivebridge/internal/routing"
)

// Config is what a process is told of its fleet's choices.
type Config struct {
	Name    string
	Plan    subset.Plan                                                   // no copies: every node works with every peer
	Signals *signals.Service                                              // what nodes tell each other of peers; nil: nothing
	Zones   map[string]int                                                // that the group's peers may be in
	Next    func(ctx context.Context, after uint64) (*member.View, error) // see member.Service
	Log     *slog.Logger
	Record  *record.Recorder
}

// Service chooses anew when the fleet or the group has changed. It works beside the decisions: until it is done they go on
// with what was chosen before.
type Service struct {
	c    Config
	poke chan struct{} // holds one
	ctx  context.Context
	stop context.CancelFunc
	all  sync.WaitGroup

	mu     sync.Mutex
	told   func(routing.Subset) // nil: nobody is to be told yet
	nodes  []subset.Node
	zones  int // in which nodes work; 0: not known
	view   uint64
	peers  []subset.Peer
	chosen int // -1: all
	among  int // zones, as was told last
}

// New makes a service, which chooses nothing until Tell.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{c: c, poke: make(chan struct{}, 1), chosen: -1}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Subscribe implements routing.SubsetSelector: from now on it is told what is chosen.
func (s *Service) Subscribe(chosen func(routing.Subset)) {
	s.mu.Lock()
	s.told = chosen
	s.mu.Unlock()
	if s.c.Signals != nil {
		s.c.Signals.Changed(s.stir)
	}
	s.all.Go(s.follow)
	s.all.Go(s.choose)
}

// Close ends that; what was chosen last stays.
func (s *Service) Close() {
	s.stop()
	s.all.Wait()
}

// EndpointsChanged implements routing.SubsetSelector: these peers take new work. It does not wait.
func (s *Service) EndpointsChanged(peers []balancer.Server) {
	all := make([]subset.Peer, 0, len(peers))
	for _, p := range peers {
		all = append(all, subset.Peer{ID: uint64(p.ID), Zone: p.Zone, Kind: p.Kind, Weight: float64(p.Weight)})
	}
	s.mu.Lock()
	s.peers = all
	s.mu.Unlock()
	if s.c.Signals != nil {
		group := make([]signals.Peer, 0, len(peers))
		for _, p := range peers {
			group = append(group, signals.Peer{ID: uint64(p.ID), Born: int64(p.StartedAt)})
		}
		s.c.Signals.Listed(group)
	}
	s.stir()
}

// ObserveResult implements routing.SubsetSelector.
func (s *Service) ObserveResult(server balancer.ServerID, born balancer.Time, result balancer.Result, probe bool) {
	var r signals.Result
	switch result {
	case balancer.OK, balancer.Errored: // it answers
		r = signals.Answered
	case balancer.ConnectFailed, balancer.TimedOut, balancer.Reset:
		r = signals.Lost
	default:
		return
	}
	if r != signals.Answered {
		s.c.Record.Write("failed", Failed{uint64(server), probe})
	}
	if s.c.Signals != nil {
		s.c.Signals.Saw(signals.Peer{ID: uint64(server), Born: int64(born)}, r)
	}
}

// Failed is a try or a probe that failed, in the record.
type Failed struct {
	Peer  uint64 `json:"peer"`
	Probe bool   `json:"probe,omitempty"`
}

// doubted are the peers that stand aside on others' word.
func (s *Service) doubted() map[balancer.ServerID]bool {
	if s.c.Signals == nil {
		return nil
	}
	all := map[balancer.ServerID]bool{}
	for _, id := range s.c.Signals.Doubted() {
		all[balancer.ServerID(id)] = true
	}
	return all
}

func (s *Service) stir() {
	select {
	case s.poke <- struct{}{}:
	default: // it will look at everything as it is
	}
}

// follow takes the views in.
func (s *Service) follow() {
	for after := uint64(0); ; {
		v, err := s.c.Next(s.ctx, after)
		if err != nil {
			return
		}
		after = v.Number
		nodes := working(v)
		zones := s.zonesOf(v, nodes)
		s.mu.Lock()
		s.nodes, s.zones, s.view = nodes, zones, v.Number
		s.mu.Unlock()
		s.stir()
	}
}

// working are the nodes that take new work: one that is silent does until it is given up, so that what is
// chosen does not follow a suspicion.
func working(v *member.View) (nodes []subset.Node) {
	self := false
	for _, m := range v.Members {
		if m.State == member.Alive || m.State == member.Suspect {
			nodes = append(nodes, subset.Node{Name: m.Name, Zone: m.Zone})
			self = self || m.Name == v.Self
		}
	}
	if !self { // it has no place in the fleet, and cannot say what its part is
		return nil
	}
	return nodes
}

// zonesOf is in how many zones nodes work. Whoever is cut off from most cannot say: those that it does not hear may work. Nor
// can one that has members in zones which the group does not know.
func (s *Service) zonesOf(v *member.View, nodes []subset.Node) int {
	if len(nodes) == 0 || !v.Partition().Majority {
		return 0
	}
	zones := map[string]bool{}
	for _, n := range nodes {
		if _, known := s.c.Zones[n.Zone]; !known {
			return 0
		}
		zones[n.Zone] = true
	}
	return len(zones)
}

func (s *Service) choose() {
	for {
		select {
		case <-s.poke:
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		nodes, zones, peers, view, told := s.nodes, s.zones, s.peers, s.view, s.told
		s.mu.Unlock()
		if len(peers) == 0 {
			continue
		}
		var chosen map[balancer.ServerID]bool // nil: all
		if len(nodes) > 0 && s.c.Plan.Copies > 0 {
			if ids := s.c.Plan.Of(s.c.Name, nodes, peers); ids != nil {
				chosen = make(map[balancer.ServerID]bool, len(ids))
				for _, id := range ids {
					chosen[balancer.ServerID(id)] = true
				}
			}
		}
		told(routing.Subset{Included: chosen, Suspected: s.doubted(), ActiveZones: zones})
		s.note(chosen, len(nodes), zones, len(peers), view)
	}
}

// Chose is a line of the record.
type Chose struct {
	View  uint64   `json:"view"`
	Nodes int      `json:"nodes"`
	Zones int      `json:"zones"`
	Peers int      `json:"peers"`
	Chose []uint64 `json:"chose,omitempty"` // missing: all
}

// note tells operators where the number has changed, and the record always.
func (s *Service) note(chosen map[balancer.ServerID]bool, nodes, zones, peers int, view uint64) {
	n := -1
	if chosen != nil {
		n = len(chosen)
	}
	s.mu.Lock()
	changed := s.chosen != n || s.among != zones
	s.chosen, s.among = n, zones
	s.mu.Unlock()
	if changed {
		s.c.Log.Info("fleet choices", "reason", "subset", "chosen", n, "peers", peers, "nodes", nodes, "zones", zones)
	}
	if s.c.Record != nil {
		line := Chose{View: view, Nodes: nodes, Zones: zones, Peers: peers}
		for id := range chosen {
			line.Chose = append(line.Chose, uint64(id))
		}
		s.c.Record.Write("chose", line)
	}
}

// Status is for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("choices: all %d peers", len(s.peers))
	if s.chosen >= 0 {
		text = fmt.Sprintf("choices: %d of %d peers, as one of %d nodes", s.chosen, len(s.peers), len(s.nodes))
	}
	if s.c.Signals != nil {
		text += "; " + s.c.Signals.Status()
	}
	return text
}
