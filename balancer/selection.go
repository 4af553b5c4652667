package balancer

import "time"

// The lookup tables choose a server; where that one has no capacity or may not
// be used, the request spills over to a few further entries in an order that is
// fixed by its key.
const (
	// maxSpillEntries is how many entries a first attempt looks at.
	maxSpillEntries = 12
	// maxZoneEntries is how many of them are its zone's, where its key stays there.
	maxZoneEntries = 6
	// maxRetryEntries is how many a retry looks at: it may be bound to a group
	// that none of the first entries is in.
	maxRetryEntries = 48
	// spillLimitShare is the share of its limit that a server leaves to the keys
	// of others: a key is not cached where it spills to.
	spillLimitShare = 0.5

	// attemptWindow is the time over which the attempts to a server are counted.
	attemptWindow = 10 * time.Second
	// attemptDecay is what a tick leaves of that count.
	attemptDecay = 1 - float64(tickInterval)/float64(attemptWindow)
	// assumedAttempts are the attempts to each server that a node supposes at its
	// start, when it has counted none.
	assumedAttempts = 0.5

	// waitWeightPenalty and maxWeightPenalty are by how much a server whose answers wait
	// attracts less.
	waitWeightPenalty = 1.5
	maxWeightPenalty  = 0.9
)

// selectServer chooses a server for the next attempt of a request, or none: the
// entry of its key, or the less busy of two draws; then further entries.
func (b *Balancer) selectServer(r *request) *server {
	b.refreshTables()
	if !b.tables.populated {
		return nil
	}
	entries := maxSpillEntries
	if r.attemptCount > 0 {
		entries = maxRetryEntries
	}
	hash := b.firstHash(r)
	inZone := b.staysInZone(r, hash)
	limitShare := r.limitShare
	var fallback *server // has capacity, and more than its even share of attempts
	for i := range entries {
		if i == maxZoneEntries && inZone && fallback != nil {
			break // it beats crossing zones
		}
		s := b.tableAt(r, inZone && i < maxZoneEntries, hash)
		if b.fits(r, s, limitShare) {
			if b.withinEvenShare(r, s) {
				return s
			}
			if fallback == nil || b.relativeAttempts(s) < b.relativeAttempts(fallback) {
				fallback = s
			}
		}
		hash = mix(hash)
		switch {
		case inZone && i == maxZoneEntries-1:
			limitShare = r.limitShare * spillLimitShare // the first entry out of the zone is a first spill again
		case i < maxSpillEntries:
			limitShare *= spillLimitShare
		}
	}
	return fallback
}

// firstHash is where the search for a server starts.
func (b *Balancer) firstHash(r *request) uint64 {
	if r.affinityKey != 0 {
		return mix(r.affinityKey)
	}
	const half = 32 // the two draws are the halves of one number
	hash := b.random.next()
	size := uint64(len(b.tables.all))
	if b.tables.all[(hash>>half)%size].load.inFlight < b.tables.all[hash%size].load.inFlight {
		return hash >> half
	}
	return hash
}

// tableAt looks a hash up, in the zone's table if inZone is set. A hedged
// request stays in the zone too.
func (b *Balancer) tableAt(r *request, inZone bool, hash uint64) *server {
	table := b.tables.all
	if inZone || r.outstanding > 0 && b.tables.zoneKeyShare > 0 {
		table = b.tables.zone
	}
	return table[hash%uint64(len(table))]
}

// fits reports whether a request may go to a server now: by the server's state,
// its limits and what binds the request.
func (b *Balancer) fits(r *request, s *server, limitShare float64) bool {
	return !s.ejected() && b.now >= s.load.rejectsUntil && s.hasCapacity(limitShare) && b.mayUse(s) &&
		b.mayRepeat(r, s, r.attemptCount) && b.admitsSlowStart(s, r) && s.hasCapacity(b.warmth(s))
}

// owedServer finds a warming server that is owed a request of this node in this
// half window where its allowance is less than one: few of the keys of a node
// with little traffic would meet it just then.
func (b *Balancer) owedServer(r *request) *server {
	b.refreshTables()
	warming := b.tables.warming
	for i := range warming {
		s := warming[(int(r.draw*float64(len(warming)))+i)%len(warming)]
		reachable := s.Zone == b.settings.Zone || b.tables.zoneKeyShare == 0 || b.sheddingPressure > 0
		if reachable && s.entry.weight > 0 && b.warmth(s) < 1 && s.slowStart.spent == 0 &&
			b.fits(r, s, 1) && s.slowStart.allowance < b.slowStartCost(r) {
			return s
		}
	}
	return nil
}

// withinEvenShare reports whether one more request keeps a server within its
// share of what this node sends. It guards against a hot key of many nodes, of
// which no single one meets a limit; what a node sees often, it need not foresee.
func (b *Balancer) withinEvenShare(r *request, s *server) bool {
	sent := b.recentAttempts + assumedAttempts*float64(len(b.servers))
	return s.load.recentAttempts+r.draw <= (1+b.attemptRate())*sent*b.effectiveWeight(s)/b.tables.totalWeight
}

// attemptRate is how many attempts a second this node sends a server, in the mean.
func (b *Balancer) attemptRate() float64 {
	return b.recentAttempts / float64(max(len(b.servers), 1)) / attemptWindow.Seconds()
}

// relativeAttempts is what a server was sent lately, for its effectiveWeight.
func (b *Balancer) relativeAttempts(s *server) float64 {
	return s.load.recentAttempts / b.effectiveWeight(s)
}

// effectiveWeight is a server's weight, less where its answers wait.
func (b *Balancer) effectiveWeight(s *server) float64 {
	repulsion := waitWeightPenalty * (s.load.meanWait - acceptableWait)
	return float64(s.entry.weight) * (1 - min(max(repulsion, 0), maxWeightPenalty))
}
