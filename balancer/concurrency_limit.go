package balancer

import (
	"math"
	"time"
)

// Each server has a limit of requests in flight, which grows while its answers
// come fast and shrinks while they wait.
const (
	// initialLimit is the limit of a server of which nothing is known.
	initialLimit = 4
	// minLargestLimit is the lowest limit of a server of the largest capacity;
	// smaller servers go down in proportion, to 1.
	minLargestLimit = 1.5
	// acceptableWait is the wait, as a share of the latency objective, up to
	// which a server may be given more.
	acceptableWait = 0.2
	// limitGrowthUse is the share of the limit that has to be in use for growth.
	limitGrowthUse = 0.6
	// limitGrowth is the growth by one answer, divided by the limit.
	limitGrowth = 2
	// maxLimitGrowth bounds it.
	maxLimitGrowth = 1
	// limitCutFactor is the cut by a time-out or a rejection.
	limitCutFactor = 0.7
	// readmittedLimitDivisor divides the limit of a server that is readmitted.
	readmittedLimitDivisor = 2
	// waitCutSlope and maxExcessWait give the cut by an answer that waited.
	waitCutSlope  = 0.3
	maxExcessWait = 0.5
	// limitCutPause is the pause between two cuts, as a part of the latency
	// objective: the time that an answer should take.
	limitCutPause = 4
	// waitAdaptTime is the time in which a server's mean wait goes over to its
	// last answers where they come seldom.
	waitAdaptTime = 2 * time.Second
	// minWaitSmoothing is the weight of an answer at least.
	minWaitSmoothing = 0.1
	// limitReserve is the share of a server's limit that is kept from the class
	// of the lowest rank.
	limitReserve = 0.4
)

// load is a server's load as this node sees it.
type load struct {
	inFlight int
	// limit is how many may be in flight.
	limit      float64
	limitCutAt Time
	// meanWait is how long its answers waited lately, as a share of the latency
	// objective.
	meanWait      float64
	waitUpdatedAt Time
	// rejectsUntil is when a server that rejected an attempt is tried again.
	rejectsUntil   Time
	recentAttempts float64 // attempts sent to it, decaying with attemptWindow
	completed      float64 // good answers since throughput was last measured
}

// hasCapacity reports whether a server may have one more request in flight that
// may use the given share of its limit.
func (s *server) hasCapacity(limitShare float64) bool {
	return float64(s.load.inFlight) < max(s.load.limit*limitShare, 1)
}

// updateServerWait moves a server's mean wait and, by a warm server's, the
// median of all: a warming one is slow by itself.
func (b *Balancer) updateServerWait(s *server, wait float64) {
	elapsed := float64(b.now - s.load.waitUpdatedAt)
	smoothing := max(minWaitSmoothing, 1-math.Exp(-elapsed/float64(waitAdaptTime)))
	s.load.meanWait += smoothing * (wait - s.load.meanWait)
	s.load.waitUpdatedAt = b.now
	if b.warmth(s) >= 1 {
		b.updateMedianWait(wait)
	}
}

// adjustLimit moves a server's limit after a good answer.
func (b *Balancer) adjustLimit(s *server, objective time.Duration) {
	switch {
	case s.load.meanWait < acceptableWait && float64(s.load.inFlight+1) > limitGrowthUse*s.load.limit:
		s.load.limit += min(maxLimitGrowth, limitGrowth/s.load.limit)
	case s.load.meanWait > acceptableWait:
		excess := min(s.load.meanWait-acceptableWait, maxExcessWait)
		b.reduceLimit(s, 1-waitCutSlope*excess, objective)
	}
}

// reduceLimitByTimeout cuts a server's limit after a time-out, unless the wait that
// is left without its class's or tenant's own excess is acceptable.
func (b *Balancer) reduceLimitByTimeout(s *server, wait float64, objective time.Duration) {
	if wait > acceptableWait {
		b.reduceLimit(s, limitCutFactor, objective)
	}
}

// reduceLimit cuts a server's limit by a factor, at most once in the time that
// an answer should take.
func (b *Balancer) reduceLimit(s *server, factor float64, objective time.Duration) {
	if b.now-s.load.limitCutAt < Time(objective/limitCutPause) {
		return
	}
	s.load.limitCutAt = b.now
	relative := min(s.capacity/max(b.tables.largestCapacity, minSum), 1)
	s.load.limit = max(s.load.limit*factor, 1, minLargestLimit*relative)
}

// rankClasses sets the share of a server's limit that each class may use: the
// one of the highest weight for its work may use all of it.
func (b *Balancer) rankClasses() {
	highest := 0.0
	for i := range b.classes {
		highest = max(highest, b.rankOf(&b.classes[i]))
	}
	for i := range b.classes {
		c := &b.classes[i]
		c.limitShare = 1 - limitReserve*(1-b.rankOf(c)/max(highest, minSum))
	}
}

// rankOf is a class's priority weight for each second of work.
func (b *Balancer) rankOf(c *class) float64 {
	if b.settings.WeightPerWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.meanLatency, minSeconds)
}
