package balancer

import (
	"cmp"
	"slices"
	"time"
)

// A request that finds no capacity may wait for it during part of its slack: the time left until
// the latency objective minus the expected duration of the attempt.
const (
	// reservedLatencies is the time reserved for the attempt, as a multiple of the mean latency of the
	// class.
	reservedLatencies = 2
	// slackDivisor divides the slack; the wait uses one part and the rest is left for the attempt.
	slackDivisor = 2
	// deadlineMargin is the time reserved before the deadline for sending the rejection.
	deadlineMargin = 2 * tickInterval
)

// waitForCapacity adds a request that finds no capacity to the queue, ordered by descending
// limitShare. It reports whether the request is queued and may wait longer.
func (b *Balancer) waitForCapacity(r *request) bool {
	if r.pending {
		return b.now < r.waitUntil
	}
	latency := Time(r.class.meanLatency * float64(time.Second))
	slack := r.arrivedAt + Time(r.class.LatencyObjective) - b.now - reservedLatencies*latency
	r.waitUntil = min(b.now+slack/slackDivisor, r.deadline-Time(deadlineMargin))
	if !b.tables.populated || r.attemptCount > 0 || r.waitUntil <= b.now {
		return false
	}
	r.pending = true
	i, _ := slices.BinarySearchFunc(b.pending, r.limitShare, func(other *request, share float64) int {
		return cmp.Or(-cmp.Compare(other.limitShare, share), -1) // after equal shares: first in, first out
	})
	b.pending = slices.Insert(b.pending, i, r)
	return true
}

// dispatchPending sends the queued requests for which there is capacity now, and gives up those
// whose wait has ended.
func (b *Balancer) dispatchPending() {
	for _, r := range slices.Clone(b.pending) {
		if r.pending { // dispatching an earlier one may have removed it from the queue
			b.dispatch(r)
		}
	}
}

// stopWaiting removes a request from the queue.
func (b *Balancer) stopWaiting(r *request) {
	r.pending = false
	b.pending = slices.DeleteFunc(b.pending, func(other *request) bool { return other == r })
}
