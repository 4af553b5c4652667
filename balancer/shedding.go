package balancer

import "math"

// Load shedding guards against whatever slows most servers at once, which no
// single server's concurrency limit shows: a long median wait sheds by chance,
// the lowest priority weight most.
const (
	// shedWaitPerRate raises the median wait from which requests are shed, for
	// each attempt a second to a server: limits tell sooner where a node hears
	// from each server often.
	shedWaitPerRate = 0.05
	// maxShedWait bounds that median wait, as a share of the latency objective.
	maxShedWait = 0.35
	// shedProbability is the chance at full pressure that a request of the lowest
	// rank is shed; above 1 it also covers those close to it.
	shedProbability = 1.2
	// medianStep is by how much one answer moves the median wait.
	medianStep = 0.02
	// maxMedianSteps bounds the movement by an answer that comes after a pause.
	maxMedianSteps = 5
)

// currentSheddingPressure grows from 0 at the median wait from which requests
// are shed to 1 at twice that.
func (b *Balancer) currentSheddingPressure() float64 {
	threshold := min(acceptableWait+shedWaitPerRate*b.attemptRate(), maxShedWait)
	return min(max(b.medianWait/threshold-1, 0), 1)
}

// sheds draws whether a request is shed.
func (b *Balancer) sheds(r *request) bool {
	return r.draw < b.sheddingPressure*(1-r.class.limitShare)/limitReserve*shedProbability
}

// updateMedianWait moves the median of what answers wait, as a share of the
// latency objective, one step towards wait; a longer one after a pause.
func (b *Balancer) updateMedianWait(wait float64) {
	step := min(max(b.secondsSince(b.medianUpdatedAt), medianStep), maxMedianSteps*medianStep)
	b.medianUpdatedAt = b.now
	b.medianWait = min(max(b.medianWait+math.Copysign(step, wait-b.medianWait), 0), 1)
}
