package balancer

import "time"

// The lookup tables select a server by the hash of the key. If that server has no capacity or may
// not be used, the request spills over to a limited number of further entries, in an order that the
// key determines.
const (
	// maxSpillEntries is the maximum number of entries that a first attempt examines.
	maxSpillEntries = 12
	// maxZoneEntries is the number of the maxSpillEntries entries that come from the table of this
	// node's zone if the key stays in the zone.
	maxZoneEntries = 6
	// maxRetryEntries is the maximum number of entries that a retry examines. It is higher than
	// maxSpillEntries because a deduplication scope may restrict the retry to servers that are not
	// among the first entries.
	maxRetryEntries = 48
	// spillLimitFactor is the factor applied to the usable share of a server's limit at each spill. The
	// rest stays free for the server's own keys, because the spilled key is not cached there.
	spillLimitFactor = 0.5

	// attemptWindow is the time constant over which the attempts to a server are counted.
	attemptWindow = 10 * time.Second
	// attemptDecay is the factor that is applied to the count of attempts at each tick.
	attemptDecay = 1 - float64(tickInterval)/float64(attemptWindow)
	// assumedAttempts is the number of attempts per server that a node assumes in addition to its
	// count, which is 0 when it starts.
	assumedAttempts = 0.5

	// waitWeightPenalty is the share by which a server's effective weight decreases per unit of
	// mean wait above acceptableWait. maxWeightPenalty is the maximum of the total decrease.
	waitWeightPenalty = 1.5
	maxWeightPenalty  = 0.9
)

// selectServer returns a server for the next attempt of a request, or nil if none fits. It examines
// the table entry for the key, or without a key the less busy of two random entries, and then
// further entries.
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
	var fallback *server // has capacity, but already received more than its even share
	for i := range entries {
		if i == maxZoneEntries && inZone && fallback != nil {
			break // fallback is better than crossing zones
		}
		s := b.lookUp(r, inZone && i < maxZoneEntries, hash)
		if b.canSend(r, s, limitShare) {
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
			limitShare = r.limitShare * spillLimitFactor // the first entry of the other table counts as the first spill
		case i < maxSpillEntries:
			limitShare *= spillLimitFactor
		}
	}
	return fallback
}

// firstHash returns the hash of the first table entry to examine.
func (b *Balancer) firstHash(r *request) uint64 {
	if r.affinityKey != 0 {
		return mix(r.affinityKey)
	}
	const half = 32 // the upper and lower half of one random number are the two choices
	hash := b.random.next()
	size := uint64(len(b.tables.all))
	if b.tables.all[(hash>>half)%size].load.inFlight < b.tables.all[hash%size].load.inFlight {
		return hash >> half
	}
	return hash
}

// lookUp returns the server at a hash, from the table of the zone if inZone is set. A hedged
// request stays in the zone as well.
func (b *Balancer) lookUp(r *request, inZone bool, hash uint64) *server {
	table := b.tables.all
	if inZone || r.outstanding > 0 && b.tables.zoneKeyShare > 0 {
		table = b.tables.zone
	}
	return table[hash%uint64(len(table))]
}

// canSend reports whether a request may go to a server now, given the server's state, its limits
// and the restrictions of the request.
func (b *Balancer) canSend(r *request, s *server, limitShare float64) bool {
	return !s.ejected() && b.now >= s.load.rejectsUntil && s.hasCapacity(limitShare) && b.mayUse(s) &&
		b.mayRepeat(r, s, r.attemptCount) && b.admitsSlowStart(s, r) && s.hasCapacity(b.warmth(s))
}

// underservedServer returns a warming server that should receive this request regardless of the
// request's key, or nil. Such a server has received nothing from this node in the current half
// window, and its allowance is less than the cost of the request. The server's random draw admits
// such a request only in some half windows, and a node with little traffic would rarely select the
// server by key in one of these.
func (b *Balancer) underservedServer(r *request) *server {
	b.refreshTables()
	warming := b.tables.warming
	for i := range warming {
		s := warming[(int(r.draw*float64(len(warming)))+i)%len(warming)]
		reachable := s.Zone == b.settings.Zone || b.tables.zoneKeyShare == 0 || b.sheddingPressure > 0
		if reachable && s.table.weight > 0 && b.warmth(s) < 1 && s.slowStart.spent == 0 &&
			b.canSend(r, s, 1) && s.slowStart.allowance < b.slowStartCost(r) {
			return s
		}
	}
	return nil
}

// withinEvenShare reports whether a server stays within its share of the node's recent attempts
// with one more request. This protects a server against a hot key that many nodes send to it while
// none of them reaches the server's concurrency limit. The tolerance grows with attemptRate,
// because a node that receives many answers from the server detects the overload from them.
func (b *Balancer) withinEvenShare(r *request, s *server) bool {
	sent := b.recentAttempts + assumedAttempts*float64(len(b.servers))
	return s.load.recentAttempts+r.draw <= (1+b.attemptRate())*sent*b.effectiveWeight(s)/b.tables.totalWeight
}

// attemptRate returns the mean number of attempts per second that this node sends to one server.
func (b *Balancer) attemptRate() float64 {
	return b.recentAttempts / float64(max(len(b.servers), 1)) / attemptWindow.Seconds()
}

// relativeAttempts returns the number of recent attempts to a server divided by its effective
// weight.
func (b *Balancer) relativeAttempts(s *server) float64 {
	return s.load.recentAttempts / b.effectiveWeight(s)
}

// effectiveWeight returns the table weight of a server, reduced if its answers wait longer than
// acceptableWait.
func (b *Balancer) effectiveWeight(s *server) float64 {
	penalty := waitWeightPenalty * (s.load.meanWait - acceptableWait)
	return float64(s.table.weight) * (1 - min(max(penalty, 0), maxWeightPenalty))
}
