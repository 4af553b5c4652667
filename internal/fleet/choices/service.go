// Package choices keeps a node to its subset of a large upstream group: it learns who is in the fleet and which servers
// are in the group, and tells package routing with which of them the node works, and which it should avoid. Package
// subset decides what the subset is.
package choices

import (
	"context"
	"log/slog"
	"sync"

	"olivebridge/balancer"
	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/fleet/signals"
	"olivebridge/internal/fleet/subset"
	"olivebridge/internal/routing"
)

// Config configures a Service.
type Config struct {
	// Name is the node's name.
	Name string
	// Plan is how many nodes work with a server; no copies: every node works with every server.
	Plan subset.Plan
	// Signals is what nodes tell each other of servers; nil: nothing.
	Signals *signals.Service
	// Zones are those that the group's servers may be in.
	Zones map[string]int
	// Next waits for the view after the one of a number; see member.Service.
	Next func(ctx context.Context, after uint64) (*member.View, error)
	// Log may be nil.
	Log *slog.Logger
	// Record is given what is chosen; nil: nothing.
	Record *record.Recorder
}

// everyServer is the size of a choice of all servers.
const everyServer = -1

// Service chooses anew when the fleet or the group has changed. It works beside the decisions of package balancer:
// until it is done they go on with what was chosen before. Its methods are safe for concurrent use.
type Service struct {
	config Config
	wake   chan struct{} // holds one
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	onChoice func(routing.Subset) // nil: nobody is to be told yet
	fleet    fleetState
	servers  []subset.Server

	lastSize  int // of the last choice, or everyServer
	lastZones int // of the last choice
}

// fleetState is what a choice needs of a view.
type fleetState struct {
	view  uint64 // its number
	nodes []subset.Node
	zones int // in which nodes work; 0: unknown
}

var _ routing.SubsetSelector = (*Service)(nil)

// New makes a service, which chooses nothing until Subscribe.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: c, wake: make(chan struct{}, 1), lastSize: everyServer}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Subscribe implements routing.SubsetSelector: from now on chosen is called with each choice.
func (s *Service) Subscribe(chosen func(routing.Subset)) {
	s.mu.Lock()
	s.onChoice = chosen
	s.mu.Unlock()
	if s.config.Signals != nil {
		s.config.Signals.OnChange(s.wakeUp)
	}
	s.tasks.Go(s.followViews)
	s.tasks.Go(s.chooseOnChange)
}

// Close ends that; the last choice stays.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
}

// EndpointsChanged implements routing.SubsetSelector: these servers take new requests. It does not block.
func (s *Service) EndpointsChanged(servers []balancer.Server) {
	eligible := make([]subset.Server, 0, len(servers))
	for _, server := range servers {
		eligible = append(eligible, subset.Server{
			ID:     uint64(server.ID),
			Zone:   server.Zone,
			Kind:   server.Kind,
			Weight: float64(server.Weight),
		})
	}
	s.mu.Lock()
	s.servers = eligible
	s.mu.Unlock()
	if s.config.Signals != nil {
		group := make([]signals.Server, 0, len(servers))
		for _, server := range servers {
			group = append(group, signals.Server{ID: uint64(server.ID), StartedAt: int64(server.StartedAt)})
		}
		s.config.Signals.SetGroup(group)
	}
	s.wakeUp()
}

// ObserveResult implements routing.SubsetSelector: an attempt or a health check had this result.
func (s *Service) ObserveResult(server balancer.ServerID, startedAt balancer.Time, result balancer.Result, probe bool) {
	var outcome signals.Result
	switch result {
	case balancer.OK, balancer.Errored: // it answers
		outcome = signals.Answered
	case balancer.ConnectFailed, balancer.TimedOut, balancer.Reset:
		outcome = signals.Unanswered
		s.config.Record.Write("failed", FailureRecord{uint64(server), probe})
	default:
		return
	}
	if s.config.Signals != nil {
		observed := signals.Server{ID: uint64(server), StartedAt: int64(startedAt)}
		s.config.Signals.Observe(observed, outcome)
	}
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // the next choice is by everything as it is then
	}
}

// followViews takes the views.
func (s *Service) followViews() {
	for after := uint64(0); ; {
		view, err := s.config.Next(s.ctx, after)
		if err != nil {
			return
		}
		after = view.Number
		nodes := workingNodes(view)
		zones := s.workingZones(view, nodes)
		s.mu.Lock()
		s.fleet = fleetState{view: view.Number, nodes: nodes, zones: zones}
		s.mu.Unlock()
		s.wakeUp()
	}
}

// chooseOnChange chooses whenever something has changed.
func (s *Service) chooseOnChange() {
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		fleet := s.fleet
		servers := s.servers
		onChoice := s.onChoice
		s.mu.Unlock()
		if len(servers) == 0 {
			continue
		}
		chosen := s.choose(fleet, servers)
		onChoice(routing.Subset{Included: chosen, Suspected: s.suspected(), ActiveZones: fleet.zones})
		s.recordChoice(chosen, fleet, len(servers))
	}
}

// choose returns the node's subset; nil: all servers.
func (s *Service) choose(fleet fleetState, servers []subset.Server) map[balancer.ServerID]bool {
	if len(fleet.nodes) == 0 || s.config.Plan.Copies <= 0 {
		return nil
	}
	ids := s.config.Plan.SubsetOf(s.config.Name, fleet.nodes, servers)
	if ids == nil {
		return nil
	}
	return idSet(ids)
}

// suspected returns the servers to avoid by what other nodes report.
func (s *Service) suspected() map[balancer.ServerID]bool {
	if s.config.Signals == nil {
		return nil
	}
	return idSet(s.config.Signals.Suspected())
}

func idSet(ids []uint64) map[balancer.ServerID]bool {
	set := make(map[balancer.ServerID]bool, len(ids))
	for _, id := range ids {
		set[balancer.ServerID(id)] = true
	}
	return set
}
