package routing

import "olivebridge/balancer"

// SubsetSelector selects the servers that the node uses from the listed servers. It runs concurrently with the event
// loop, which calls its methods, so they must not block.
type SubsetSelector interface {
	// EndpointsChanged receives all servers that accept new work, in the state that the Balancer receives.
	EndpointsChanged([]balancer.Server)
	// ObserveResult receives the result of an attempt or, if healthCheck is set, of a health check.
	ObserveResult(server balancer.ServerID, startedAt balancer.Time, result balancer.Result, healthCheck bool)
	// Subscribe registers apply, which the selector then calls with each new subset.
	Subscribe(apply func(Subset))
}

// Subset is the set of listed servers that a node uses.
type Subset struct {
	// Included is the set of servers that are used. If nil, all servers are used.
	Included map[balancer.ServerID]bool
	// Suspected is the set of servers that are excluded even if they are in Included, because the fleet considers them
	// failed.
	Suspected map[balancer.ServerID]bool
	// ActiveZones is the number of zones that contain nodes; 0 means unknown, and the number of zones in the settings then
	// applies. The servers of a zone without nodes receive only traffic that nodes in other zones send across zones. If
	// those nodes counted the zone as one with nodes, they would leave its servers to it, and the servers would be idle.
	ActiveZones int
}

// excludes reports whether the subset excludes a server.
func (s Subset) excludes(id balancer.ServerID) bool {
	return s.Included != nil && !s.Included[id] || s.Suspected[id]
}

// subsetState is the state of subset selection in a Router. It belongs to the event loop.
type subsetState struct {
	selector SubsetSelector // nil if all servers are used
	listed   map[balancer.ServerID]balancer.Server
	current  Subset
}

// apply records the servers of an update, notifies the selector and returns the servers with OutsideSubset set on those
// that the subset excludes. It modifies its argument.
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

// observe passes the result of an attempt or a health check to the selector.
func (s *subsetState) observe(upstream *Upstream, result balancer.Result, healthCheck bool) {
	if s.selector != nil && upstream != nil {
		s.selector.ObserveResult(upstream.ID, upstream.listedStart, result, healthCheck)
	}
}

// settings returns the settings for the Balancer: the number of zones is limited to the number of active zones.
func (s *subsetState) settings(settings balancer.Settings) balancer.Settings {
	if s.current.ActiveZones > 0 {
		settings.Zones = min(settings.Zones, s.current.ActiveZones)
	}
	return settings
}

// replace sets the current subset and returns the listed servers for which OutsideSubset has changed.
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

// subsetEvent replaces the current subset.
type subsetEvent struct{ subset Subset }

func (e subsetEvent) handle(r *Router) {
	previousZones := r.subset.current.ActiveZones
	changed := r.subset.replace(e.subset)
	if previousZones != e.subset.ActiveZones {
		settingsEvent{r.settings}.handle(r)
	}
	if len(changed) > 0 {
		r.convertStarts(changed)
		r.balancer.HandleServers(r.now(), balancer.UpdateDelta, changed)
	}
}
