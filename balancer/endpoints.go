package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetAfter is how long a removed server is remembered.
	forgetAfter = time.Minute
	// pollPause is the longest pause before discovery is polled again after a
	// failed watch.
	pollPause = 2 * time.Second
	// minPollPause is the shortest.
	minPollPause = time.Second
	// firstCheckSpread is the time over which the first checks of servers spread
	// that are new while the node runs.
	firstCheckSpread = checkIntervalUnsettled / 4
	// restartedLimit is the concurrency limit of a server that has restarted.
	restartedLimit = 1
	// maxWeight bounds the listed weights that are believed.
	maxWeight = 1e9
)

// listing is what the endpoint list has shown of a server beside its entry.
type listing struct {
	named bool // by the last complete list or an update since
	// drainSeen is set once the server was listed as draining: being removed then
	// binds even where Settings.ServeRemoved is set.
	drainSeen bool
}

// discoveryState is how this node follows discovery where it has to poll.
type discoveryState struct {
	polling    bool // Host.Watch was called and nothing has come yet
	watching   bool // a watch brings updates
	nextPollAt Time
}

// pollDiscovery asks for the endpoint list where it does not come by itself.
func (b *Balancer) pollDiscovery() {
	d := &b.discovery
	if b.settings.PollDiscovery && !d.watching && !d.polling && b.now >= d.nextPollAt {
		d.polling = true
		b.host.Watch()
	}
}

// HandleDiscoveryMoved takes the news that discovery has another address: it is
// polled there at once, whatever failed before.
func (b *Balancer) HandleDiscoveryMoved(now Time) {
	b.now = now
	b.discovery = discoveryState{nextPollAt: now}
	b.pollDiscovery()
}

// HandleServers takes an update of the endpoint list, or the news that a watch
// has failed.
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
			s.listing.named = false
		}
	}
	for _, e := range entries {
		b.applyEntry(e, kind)
	}
	for _, s := range b.servers {
		if complete && !s.listing.named {
			s.State = Removed
		}
		b.updateMembership(s)
	}
	b.tables.stale = true
	b.forgetRemoved()
}

// scheduleNextPoll sets the pause after a failed watch. It does not grow: what
// discovery has to tell must be known within seconds of its return.
func (b *Balancer) scheduleNextPoll() {
	pause := min(pollPause, max(b.settings.PollInterval/2, minPollPause))
	b.discovery = discoveryState{nextPollAt: b.now + Time(b.random.jitter(pause))}
}

// applyEntry takes one entry of an update.
func (b *Balancer) applyEntry(e Server, kind UpdateKind) {
	s := b.serversByID[e.ID]
	switch {
	case s == nil && e.State == Removed:
		return // there is nothing to remember of it
	case s == nil:
		s = b.addServer(e, kind)
	case e.StartedAt != s.StartedAt && e.StartedAt != 0:
		b.resetRestarted(s)
	}
	w := float64(e.Weight)
	if w > 0 && w < maxWeight && (!b.settings.LiveWeights || w > s.capacity) {
		s.capacity = w // a live weight sinks with load: the highest is the capacity
	}
	s.Server = e
	s.listing.named = true
	s.listing.drainSeen = e.State == Draining || s.listing.drainSeen && e.State == Removed
}

// addServer begins to remember a server. One that a node finds on its list as it
// starts is presumed up.
func (b *Balancer) addServer(e Server, kind UpdateKind) *server {
	s := &server{Server: e}
	s.load.limit = initialLimit
	s.health = health{
		unknown:        true,
		presumedUp:     kind == UpdateCached || b.now < b.startedAt+Time(checkIntervalUp),
		nextCheckAt:    b.now + Time(b.random.next()%uint64(firstCheckSpread)),
		distrustPeriod: checkIntervalUnsettled,
		ejectedAt:      b.now,
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

// resetRestarted forgets what was learnt of a server that has restarted.
func (b *Balancer) resetRestarted(s *server) {
	s.health.unknown = true
	s.health.presumedUp = false
	s.health.counter = 0
	s.health.failureCredit = 0
	s.health.distrustUntil = 0
	s.health.distrustPeriod = checkIntervalUnsettled
	s.health.nextCheckAt = b.now
	s.load.limit = restartedLimit
	s.load.meanWait = 0
	s.slowStart.recoveryFor = 0
	s.slowStart.windowEnd = 0
}

// forgetRemoved drops servers that were removed long ago and have nothing in
// flight: else memory grows where servers are replaced all day.
func (b *Balancer) forgetRemoved() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := s.State == Removed && !b.mayUse(s) && s.load.inFlight == 0 &&
			s.ejected() && b.now-s.health.ejectedAt >= Time(forgetAfter)
		if forget {
			delete(b.serversByID, s.ID)
		}
		return forget
	})
}

// mayUse reports whether the endpoint list lets new work go to a server.
func (b *Balancer) mayUse(s *server) bool {
	switch s.State {
	case Ready:
		return true
	case Removed:
		return b.settings.ServeRemoved && !s.listing.drainSeen
	default:
		return false
	}
}

// Knows reports whether a server is remembered; a host needs to keep nothing of
// others.
func (b *Balancer) Knows(id ServerID) bool { return b.serversByID[id] != nil }

// Accepts reports whether new work may go to a server, by the endpoint list and
// the settings.
func (b *Balancer) Accepts(id ServerID) bool { return b.Knows(id) && b.mayUse(b.serversByID[id]) }
