package routing

import "olivebridge/balancer"

// SubsetSelector says with which of the listed servers the node works. It runs beside the decisions, and its methods
// must not block.
type SubsetSelector interface {
	// EndpointsChanged tells of all servers that accept new work, as the decisions are shown them.
	EndpointsChanged([]balancer.Server)
	// ObserveResult tells how an attempt or a health check ended.
	ObserveResult(server balancer.ServerID, startedAt balancer.Time, result balancer.Result, healthCheck bool)
	// Subscribe has the selector call apply with each new subset from now on.
	Subscribe(apply func(Subset))
}

// Subset is the part of the listed servers that a node works with.
type Subset struct {
	// Included are the servers that are used. If nil, all are used.
	Included map[balancer.ServerID]bool
	// Suspected are servers that are left out all the same, since the fleet takes them for failed.
	Suspected map[balancer.ServerID]bool
	// ActiveZones is in how many zones nodes work. The servers of a zone without nodes get only what other zones' nodes
	// send across, and would idle if these counted on a node in each zone. 0: not known; the settings' number holds.
	ActiveZones int
}

// excludes reports whether the subset leaves a server out.
func (s Subset) excludes(id balancer.ServerID) bool {
	return s.Included != nil && !s.Included[id] || s.Suspected[id]
}

// subsetState is what the router knows of subsets. It belongs to the goroutine of Run.
type subsetState struct {
	selector SubsetSelector // nil: all servers are used
	listed   map[balancer.ServerID]balancer.Server
	current  Subset
}

// apply takes in what a list would show the Balancer, and marks there the servers outside the subset.
func (s *subsetState) apply(kind balancer.UpdateKind, servers []balancer.Server) []balancer.Server {
	if s.selector == nil {
		return servers
	}
	if kind != balancer.UpdateDelta || s.listed == nil {
		s.listed = map[balancer.ServerID]balancer.Server{}
	}
	for i, server := range servers {
		if server.State == balancer.Removed {
			delete(s.listed, server.ID)
			continue
		}
		s.listed[server.ID] = server
		servers[i].OutsideSubset = s.current.excludes(server.ID)
	}
	s.selector.EndpointsChanged(s.readyServers())
	return servers
}

func (s *subsetState) readyServers() []balancer.Server {
	var ready []balancer.Server
	for _, server := range s.listed {
		if server.State == balancer.Ready {
			ready = append(ready, server)
		}
	}
	return ready
}

// observe tells the selector how an attempt or a health check ended.
func (s *subsetState) observe(upstream *Upstream, result balancer.Result, healthCheck bool) {
	if s.selector != nil && upstream != nil {
		s.selector.ObserveResult(upstream.ID, upstream.startTime(), result, healthCheck)
	}
}

// settings are those that the Balancer gets.
func (s *subsetState) settings(settings balancer.Settings) balancer.Settings {
	if s.current.ActiveZones > 0 {
		settings.Zones = min(settings.Zones, s.current.ActiveZones)
	}
	return settings
}

// replace makes a subset the current one, and returns the servers whose suspension changes with it.
func (s *subsetState) replace(next Subset) []balancer.Server {
	previous := s.current
	s.current = next
	var changed []balancer.Server
	for id, server := range s.listed {
		server.OutsideSubset = next.excludes(id)
		if server.OutsideSubset != previous.excludes(id) {
			changed = append(changed, server)
		}
	}
	return changed
}

// subsetEvent brings a new subset.
type subsetEvent struct{ subset Subset }

func (e subsetEvent) handle(r *Router) {
	previousZones := r.subset.current.ActiveZones
	changed := r.subset.replace(e.subset)
	if previousZones != e.subset.ActiveZones {
		settingsEvent{r.settings}.handle(r)
	}
	if len(changed) > 0 {
		r.balancer.HandleServers(r.now(), balancer.UpdateDelta, changed)
	}
}
