package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// removedRetention is the duration for which a removed server is kept.
	removedRetention = time.Minute
	// maxPollPause is the maximum pause after a failed watch before discovery is polled again.
	maxPollPause = 2 * time.Second
	// minPollPause is the minimum pause after a failed watch before discovery is polled again.
	minPollPause = time.Second
	// firstCheckSpread is the duration over which the first health checks of servers that were
	// added while the node runs are distributed at random.
	firstCheckSpread = checkIntervalUnsettled / 4
	// restartedLimit is the concurrency limit of a server that has restarted.
	restartedLimit = 1
	// maxWeight is the upper bound of listed weights; a weight that reaches it is ignored.
	maxWeight = 1e9
)

// listing is the history of a server in the endpoint list, in addition to its current entry.
type listing struct {
	listed bool // it is in the last complete list or in an update since then
	// wasDraining is set if the server was listed as draining. If it is removed afterwards, it must not
	// be used even if Settings.ServeRemoved is set.
	wasDraining bool
}

// discoveryState is the state of the discovery watch if this node has to poll.
type discoveryState struct {
	polling    bool // Host.Watch was called and no update has arrived yet
	watching   bool // the watch is established and delivers updates
	nextPollAt Time
}

// pollDiscovery requests the endpoint list if Settings.PollDiscovery is set, no watch is active and
// the next poll is due.
func (b *Balancer) pollDiscovery() {
	d := &b.discovery
	if b.settings.PollDiscovery && !d.watching && !d.polling && b.now >= d.nextPollAt {
		d.polling = true
		b.host.Watch()
	}
}

// HandleDiscoveryMoved handles a changed address of discovery: it polls the new address at once,
// without the pause after earlier failures.
func (b *Balancer) HandleDiscoveryMoved(now Time) {
	b.now = now
	b.discovery = discoveryState{nextPollAt: now}
	b.pollDiscovery()
}

// HandleServers handles an update of the endpoint list or, with UpdateFailed, the failure of a
// watch.
func (b *Balancer) HandleServers(now Time, kind UpdateKind, entries []Server) {
	b.now = now
	if kind == UpdateFailed {
		b.scheduleNextPoll()
		return
	}
	if kind != UpdateCached && b.discovery.polling {
		b.discovery.polling = false
		b.discovery.watching = true
	}
	complete := kind != UpdateDelta
	if complete {
		for _, s := range b.servers {
			s.listing.listed = false
		}
	}
	for _, e := range entries {
		b.applyEntry(e, kind)
	}
	for _, s := range b.servers {
		if complete && !s.listing.listed {
			s.State = Removed
		}
		b.updateMembership(s)
	}
	b.tables.stale = true
	b.deleteRemovedServers()
}

// scheduleNextPoll sets the pause after a failed watch. The pause does not grow with further
// failures, so that the node receives updates within seconds after discovery returns.
func (b *Balancer) scheduleNextPoll() {
	pause := min(maxPollPause, max(b.settings.PollInterval/2, minPollPause))
	b.discovery = discoveryState{nextPollAt: b.now + Time(b.random.jitter(pause))}
}

// applyEntry applies one entry of an update.
func (b *Balancer) applyEntry(e Server, kind UpdateKind) {
	s := b.serversByID[e.ID]
	switch {
	case s == nil && e.State == Removed:
		return // the server is not held
	case s == nil:
		s = b.addServer(e, kind)
	case e.StartedAt != s.StartedAt && e.StartedAt != 0:
		b.resetRestarted(s)
	}
	w := float64(e.Weight)
	if w > 0 && w < maxWeight && (!b.settings.LiveWeights || w > s.capacity) {
		s.capacity = w // a live weight decreases with load, so the highest one is the capacity
	}
	s.Server = e
	s.listing.listed = true
	s.listing.wasDraining = e.State == Draining || s.listing.wasDraining && e.State == Removed
}

// addServer adds a server. A server that is listed when the node starts, or within checkIntervalUp
// of the start, is presumed up.
func (b *Balancer) addServer(e Server, kind UpdateKind) *server {
	s := &server{Server: e}
	s.load.limit = initialLimit
	s.health = health{
		unknown:             true,
		presumedUp:          kind == UpdateCached || b.now < b.startedAt+Time(checkIntervalUp),
		nextCheckAt:         b.now + Time(b.random.next()%uint64(firstCheckSpread)),
		passesIgnoredPeriod: checkIntervalUnsettled,
		ejectedAt:           b.now,
	}
	if s.health.presumedUp {
		s.health.ejectedAt = 0
		s.health.nextCheckAt = b.now + Time(b.random.next()%uint64(checkIntervalUp))
	}
	b.serversByID[e.ID] = s
	i, _ := slices.BinarySearchFunc(b.servers, s.ID, func(other *server, id ServerID) int {
		return cmp.Compare(other.ID, id)
	})
	b.servers = slices.Insert(b.servers, i, s)
	return s
}

// resetRestarted discards the statistics of a server that has restarted.
func (b *Balancer) resetRestarted(s *server) {
	s.health.unknown = true
	s.health.presumedUp = false
	s.health.counter = 0
	s.health.fractionalFailures = 0
	s.health.passesIgnoredUntil = 0
	s.health.passesIgnoredPeriod = checkIntervalUnsettled
	s.health.nextCheckAt = b.now
	s.load.limit = restartedLimit
	s.load.meanWait = 0
	s.slowStart.recoveryFor = 0
	s.slowStart.windowEnd = 0
}

// deleteRemovedServers deletes servers that were ejected at least removedRetention ago, may not be
// used and have no requests in flight. Without it, memory use would grow as servers are replaced.
func (b *Balancer) deleteRemovedServers() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := s.State == Removed && !b.mayUse(s) && s.load.inFlight == 0 &&
			s.ejected() && b.now-s.health.ejectedAt >= Time(removedRetention)
		if forget {
			delete(b.serversByID, s.ID)
		}
		return forget
	})
}

// mayUse reports whether the endpoint list permits new work for a server.
func (b *Balancer) mayUse(s *server) bool {
	switch s.State {
	case Ready:
		return true
	case Removed:
		return b.settings.ServeRemoved && !s.listing.wasDraining
	default:
		return false
	}
}

// HasServer reports whether the Balancer holds state for a server. The host may drop its own state
// for all other servers.
func (b *Balancer) HasServer(id ServerID) bool { return b.serversByID[id] != nil }

// Accepts reports whether the endpoint list and the settings permit new work for a server.
func (b *Balancer) Accepts(id ServerID) bool { return b.HasServer(id) && b.mayUse(b.serversByID[id]) }
