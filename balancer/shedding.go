package balancer

import "math"

// Load shedding protects against any cause that slows down most servers at once, which the
// concurrency limit of a single server does not detect. When the median wait is long, requests are
// shed at random; those of the lowest rank have the highest probability.
const (
	// shedWaitPerRate raises the median wait at which shedding starts, per attempt per second to each
	// server: a node that receives many answers from each server detects overload earlier through the
	// concurrency limits.
	shedWaitPerRate = 0.05
	// maxShedWait is the maximum of the median wait at which shedding starts, as a share of the
	// latency objective.
	maxShedWait = 0.35
	// shedProbability is the probability at full shedding pressure that a request of the lowest rank
	// is shed. A value above 1 also sheds all requests of ranks close to the lowest.
	shedProbability = 1.2
	// medianStep is the change of the median wait per answer.
	medianStep = 0.02
	// maxMedianSteps is the maximum change, as a multiple of medianStep, by an answer that follows a
	// pause.
	maxMedianSteps = 5
)

// currentSheddingPressure returns a value that grows from 0, at the median wait at which shedding
// starts, to 1 at twice that wait.
func (b *Balancer) currentSheddingPressure() float64 {
	threshold := min(acceptableWait+shedWaitPerRate*b.attemptRate(), maxShedWait)
	return min(max(b.medianWait/threshold-1, 0), 1)
}

// shouldShed reports whether to shed a request, by comparing its random draw with the probability
// for its class.
func (b *Balancer) shouldShed(r *request) bool {
	return r.draw < b.sheddingPressure*(1-r.class.limitShare)/limitReserve*shedProbability
}

// updateMedianWait moves the estimated median wait one step towards wait, which is a share of the
// latency objective. The step is larger after a pause.
func (b *Balancer) updateMedianWait(wait float64) {
	step := min(max(b.secondsSince(b.medianUpdatedAt), medianStep), maxMedianSteps*medianStep)
	b.medianUpdatedAt = b.now
	b.medianWait = min(max(b.medianWait+math.Copysign(step, wait-b.medianWait), 0), 1)
}
