// Package choices limits a node to its subset of a large upstream group. It follows the membership views of the fleet
// and the endpoint list of the group, and notifies package routing of the servers that the node uses and of those that
// it should avoid. Package subset computes the subset.
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
	// Plan sets the number of nodes that use each server. If Plan.Copies is 0, every node uses every server.
	Plan subset.Plan
	// Signals exchanges observations of servers with other nodes; nil: no servers are suspected.
	Signals *signals.Service
	// Zones has the zones of the group's servers as keys.
	Zones map[string]int
	// Next waits for the view that follows the one with the number after; see member.Service.
	Next func(ctx context.Context, after uint64) (*member.View, error)
	// Log receives log lines; nil: none are written.
	Log *slog.Logger
	// Record receives choices and failures; nil: nothing is recorded.
	Record *record.Recorder
}

// everyServer is the value of Service.lastSize if all servers were chosen.
const everyServer = -1

// Service chooses the node's subset again whenever the fleet, the group or the suspected servers change. It runs
// concurrently with package balancer, which uses the previous choice until the next one is made. Its methods are safe
// for concurrent use.
type Service struct {
	config Config
	wake   chan struct{} // wakes chooseOnChange; has a buffer of one
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	onChoice func(routing.Subset) // set by Subscribe
	fleet    fleetState
	servers  []subset.Server // servers that accept new requests

	lastSize  int // number of servers in the last choice, or everyServer
	lastZones int // number of zones in the last choice
}

// fleetState is the part of a view that a choice depends on.
type fleetState struct {
	view  uint64        // number of the view
	nodes []subset.Node // see workingNodes
	zones int           // number of zones with working nodes; 0: unknown
}

var _ routing.SubsetSelector = (*Service)(nil)

// New returns a service. It makes no choice until Subscribe.
func New(c Config) *Service {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: c, wake: make(chan struct{}, 1), lastSize: everyServer}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Subscribe implements routing.SubsetSelector. It starts the service, which calls chosen with each choice until Close.
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

// Close stops the service. The last choice remains in effect.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
}

// EndpointsChanged implements routing.SubsetSelector. It sets the servers that accept new requests, and does not block.
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

// ObserveResult implements routing.SubsetSelector. It passes the result of an attempt or, if probe is true, of a health
// check to the signals. It ignores results that do not show whether the server answers.
func (s *Service) ObserveResult(server balancer.ServerID, startedAt balancer.Time, result balancer.Result, probe bool) {
	var outcome signals.Result
	switch result {
	case balancer.OK, balancer.Errored: // the server answers
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

// wakeUp makes chooseOnChange choose again.
func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a choice is due already, and will use the state at its time
	}
}

// followViews updates the fleet state from each new view until Close.
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

// chooseOnChange makes a choice after each wakeUp until Close, provided that there are servers.
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

// choose returns the IDs of the servers in the node's subset; nil: all servers.
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

// suspected returns the IDs of the servers to avoid because of other nodes' reports.
func (s *Service) suspected() map[balancer.ServerID]bool {
	if s.config.Signals == nil {
		return nil
	}
	return idSet(s.config.Signals.Suspected())
}

// idSet returns the set of some server IDs.
func idSet(ids []uint64) map[balancer.ServerID]bool {
	set := make(map[balancer.ServerID]bool, len(ids))
	for _, id := range ids {
		set[balancer.ServerID(id)] = true
	}
	return set
}
