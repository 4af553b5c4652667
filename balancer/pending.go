package balancer

import (
	"cmp"
	"slices"
	"time"
)

// A request that finds no capacity may wait for it during part of the slack
// that its latency objective leaves.
const (
	// expectedLatencies is the time kept for the attempt itself, in mean
	// latencies of its class.
	expectedLatencies = 2
	// slackDivisor leaves the other part of the slack for the attempt.
	slackDivisor = 2
	// deadlineMargin is kept before the deadline for the rejection.
	deadlineMargin = 2 * tickInterval
)

// waitForCapacity queues a request that finds no capacity, the highest limitShare first, and
// reports whether it does.
func (b *Balancer) waitForCapacity(r *request) bool {
	if r.pending {
		return b.now < r.waitUntil
	}
	latency := Time(r.class.meanLatency * float64(time.Second))
	slack := r.arrivedAt + Time(r.class.LatencyObjective) - b.now - expectedLatencies*latency
	r.waitUntil = min(b.now+slack/slackDivisor, r.deadline-Time(deadlineMargin))
	if !b.tables.populated || r.attemptCount > 0 || r.waitUntil <= b.now {
		return false
	}
	r.pending = true
	i, _ := slices.BinarySearchFunc(b.pending, r.limitShare, func(other *request, share float64) int {
		return cmp.Or(-cmp.Compare(other.limitShare, share), -1) // behind its equals: first in, first out
	})
	b.pending = slices.Insert(b.pending, i, r)
	return true
}

// dispatchPending sends the requests that find capacity now, and gives up those
// whose wait is over.
func (b *Balancer) dispatchPending() {
	for _, r := range slices.Clone(b.pending) {
		if r.pending { // an earlier one may have ended it
			b.dispatch(r)
		}
	}
}

// stopWaiting takes a request out of the queue.
func (b *Balancer) stopWaiting(r *request) {
	r.pending = false
	b.pending = slices.DeleteFunc(b.pending, func(other *request) bool { return other == r })
}
