package balancer

import (
	"math"
	"time"
)

// Each server has a limit of concurrent requests. The limit grows while answers are fast and
// shrinks while they wait.
const (
	// initialLimit is the limit of a new server.
	initialLimit = 4
	// minLargestLimit is the minimum limit of a server with the largest capacity. The minimum of
	// smaller servers is proportional to their capacity, but at least 1.
	minLargestLimit = 1.5
	// acceptableWait is the mean wait, as a share of the latency objective, below which a server's
	// limit may grow and above which it shrinks.
	acceptableWait = 0.2
	// minLimitUse is the minimum share of the limit that must be in use for the limit to grow.
	minLimitUse = 0.6
	// limitGrowth, divided by the limit, is the growth of the limit per answer.
	limitGrowth = 2
	// maxLimitGrowth is the maximum growth of the limit per answer.
	maxLimitGrowth = 1
	// limitCutFactor is the factor applied to the limit after a time-out or a rejection.
	limitCutFactor = 0.7
	// readmittedLimitDivisor is the divisor that is applied to the limit of a server when the server is
	// readmitted after an ejection.
	readmittedLimitDivisor = 2
	// waitCutSlope is the share by which one answer reduces the limit, per unit of mean wait above
	// acceptableWait. maxExcessWait is the maximum of the mean wait above acceptableWait in this
	// calculation.
	waitCutSlope  = 0.3
	maxExcessWait = 0.5
	// limitCutPauseDivisor is the divisor of the latency objective that gives the normal duration
	// of an answer. This duration is the minimum pause between two reductions of the limit.
	limitCutPauseDivisor = 4
	// waitAdaptTime is the time constant with which a server's mean wait follows its answers if they
	// are rare.
	waitAdaptTime = 2 * time.Second
	// minWaitSmoothing is the minimum weight of one answer in the mean wait.
	minWaitSmoothing = 0.1
	// limitReserve is the share of a server's limit that the class of the lowest rank may not use.
	limitReserve = 0.4
)

// load is a server's load as measured by this node.
type load struct {
	inFlight int
	// limit is the maximum number of requests in flight.
	limit      float64
	limitCutAt Time
	// meanWait is the mean wait of its recent answers, as a share of the latency objective.
	meanWait      float64
	waitUpdatedAt Time
	// rejectsUntil is the time until which the server receives nothing because it rejected an attempt.
	rejectsUntil   Time
	recentAttempts float64 // number of attempts sent to it, with exponential decay over attemptWindow
	completed      float64 // number of successful answers since throughput was last measured
}

// hasCapacity reports whether a server may have one more request in flight if the request may use
// the given share of the server's limit.
func (s *server) hasCapacity(limitShare float64) bool {
	return float64(s.load.inFlight) < max(s.load.limit*limitShare, 1)
}

// updateServerWait updates a server's mean wait. For a warm server it also updates the node's
// median wait; a warming server is excluded because it is slow regardless of load.
func (b *Balancer) updateServerWait(s *server, wait float64) {
	elapsed := float64(b.now - s.load.waitUpdatedAt)
	smoothing := max(minWaitSmoothing, 1-math.Exp(-elapsed/float64(waitAdaptTime)))
	s.load.meanWait += smoothing * (wait - s.load.meanWait)
	s.load.waitUpdatedAt = b.now
	if b.warmth(s) >= 1 {
		b.updateMedianWait(wait)
	}
}

// adjustLimit raises or lowers a server's limit after a successful answer.
func (b *Balancer) adjustLimit(s *server, objective time.Duration) {
	switch {
	case s.load.meanWait < acceptableWait && float64(s.load.inFlight+1) > minLimitUse*s.load.limit:
		s.load.limit += min(maxLimitGrowth, limitGrowth/s.load.limit)
	case s.load.meanWait > acceptableWait:
		excess := min(s.load.meanWait-acceptableWait, maxExcessWait)
		b.reduceLimit(s, 1-waitCutSlope*excess, objective)
	}
}

// reduceLimitByTimeout reduces a server's limit after a time-out. wait excludes the excess wait of
// the request's class or tenant; if it is acceptable, the limit does not change.
func (b *Balancer) reduceLimitByTimeout(s *server, wait float64, objective time.Duration) {
	if wait > acceptableWait {
		b.reduceLimit(s, limitCutFactor, objective)
	}
}

// reduceLimit multiplies a server's limit by factor, at most once per normal duration of an answer.
func (b *Balancer) reduceLimit(s *server, factor float64, objective time.Duration) {
	if b.now-s.load.limitCutAt < Time(objective/limitCutPauseDivisor) {
		return
	}
	s.load.limitCutAt = b.now
	relative := min(s.capacity/max(b.tables.largestCapacity, minSum), 1)
	s.load.limit = max(s.load.limit*factor, 1, minLargestLimit*relative)
}

// rankClasses sets the share of a server's limit that each class may use. The class of the highest
// rank may use the whole limit.
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

// rankOf returns the rank of a class: its priority weight per second of work.
func (b *Balancer) rankOf(c *class) float64 {
	if b.settings.WeightPerWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.meanLatency, minSeconds)
}
