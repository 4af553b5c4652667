package balancer

import (
	"cmp"
	"time"
)

// A server that has just started, or has come back, is warming up. For each half
// of an overload window, counted from the node's start, it is sent no more than
// its part of what warm servers carry from this node.
const (
	// warmingOverloadShare is the part of the overload multiple that a warming
	// server may be sent.
	warmingOverloadShare = 2.0 / 5
	// minWarmth bounds the warmth of a server from below.
	minWarmth = 0.01
	// throughputRiseTrust is how much of a rise in what servers carry is believed
	// at once: a burst of keys that are cached everywhere is not the rule.
	throughputRiseTrust = 0.5
	// throughputSmoothing is the weight of one measurement.
	throughputSmoothing = 0.3
)

// slowStart is how a server warms up.
type slowStart struct {
	// recoveryFrom and recoveryFor are the recovery ramp of a server that was
	// ejected; 0: none.
	recoveryFrom Time
	recoveryFor  time.Duration
	windowEnd    Time    // of the half window that the next three belong to
	spent        float64 // work sent in it, in requests of mean work
	allowance    float64 // work that it may be sent in it
	// draw is from [0, 1): the fraction of a request that has to be left of the
	// allowance. Where the allowance is less than one request, it lets one
	// through by chance, so that the sum over all nodes holds.
	allowanceDraw float64
}

// startRecovery begins the recovery ramp of a server that is readmitted: it
// takes as long as the server was away, and no longer than the slow start.
func (b *Balancer) startRecovery(s *server) {
	s.slowStart.recoveryFrom = b.now
	s.slowStart.recoveryFor = min(time.Duration(b.now-s.health.ejectedAt), b.settings.SlowStart)
}

// warmth is the share of its capacity that a server has at least, by its start
// and its recovery ramp; 1: it is warm.
func (b *Balancer) warmth(s *server) float64 {
	share := 1.0
	if b.settings.SlowStart > 0 && s.StartedAt != 0 {
		share = min(share, b.rampShare(s.StartedAt, b.settings.SlowStart))
	}
	if s.slowStart.recoveryFor > 0 {
		share = min(share, b.rampShare(s.slowStart.recoveryFrom, s.slowStart.recoveryFor))
	}
	return min(max(share, b.settings.InitialCapacity, minWarmth), 1)
}

// rampShare rises evenly from the initial capacity, and is above 1 after the ramp.
func (b *Balancer) rampShare(from Time, length time.Duration) float64 {
	initial := b.settings.InitialCapacity
	return initial + (1-initial)*float64(b.now-from)/float64(length)
}

// admitsSlowStart updates the allowance of a warming server, in a new half window
// with a new draw, and reports whether it may be sent a request.
func (b *Balancer) admitsSlowStart(s *server, r *request) bool {
	warmth := b.warmth(s)
	if warmth >= 1 {
		return true
	}
	halfWindow := max(b.settings.OverloadWindow/2, time.Millisecond)
	end := b.now + Time(halfWindow) - (b.now-b.startedAt)%Time(halfWindow)
	if end != s.slowStart.windowEnd {
		s.slowStart.windowEnd = end
		s.slowStart.spent = 0
		s.slowStart.allowanceDraw = b.random.float()
	}
	learnt := warmth * warmingOverloadShare * b.settings.OverloadFactor *
		b.warmThroughput * s.capacity * halfWindow.Seconds()
	// Where nothing is learnt the nodes together send one request a window, or no server would ever start.
	least := b.slowStartCost(r) / 2 / float64(b.settings.Nodes)
	s.slowStart.allowance = max(learnt, least)
	return s.slowStart.spent+s.slowStart.allowanceDraw*b.slowStartCost(r) <= s.slowStart.allowance
}

// slowStartCost is what a request costs of an allowance, in requests of mean
// work. Clients' hints may be wrong: no request costs less than its class's mean.
func (b *Balancer) slowStartCost(r *request) float64 {
	return max(r.work, r.class.meanWork) / b.meanWork
}

// measureThroughput learns, once in an overload window, what warm servers carry
// from this node. Mean latencies have moved by then, so the classes are ranked anew
// as well.
func (b *Balancer) measureThroughput() {
	elapsed := time.Duration(b.now - b.throughputMeasuredAt)
	if elapsed < max(b.settings.OverloadWindow, tickInterval) {
		return
	}
	b.throughputMeasuredAt = b.now
	completed, capacity := b.takeCompleted()
	if capacity > 0 {
		measured := completed / capacity / elapsed.Seconds()
		b.warmThroughput = cmp.Or(b.warmThroughput, measured)
		measured = min(measured, b.warmThroughput+throughputRiseTrust*(measured-b.warmThroughput))
		b.warmThroughput += throughputSmoothing * (measured - b.warmThroughput)
	}
	b.rankClasses()
}

// takeCompleted sums what the warm servers in the tables have answered and their
// capacities, and starts the count of every server anew.
func (b *Balancer) takeCompleted() (completed, capacity float64) {
	for _, s := range b.servers {
		if !s.ejected() && !s.OutsideSubset && b.mayUse(s) && b.warmth(s) >= 1 {
			completed += s.load.completed
			capacity += s.capacity
		}
		s.load.completed = 0
	}
	return completed, capacity
}

// WarmThroughput is how many requests a second warm servers carry from this
// node, for each unit of capacity, as far as it is learnt. It bounds the work of
// warming servers. A node's next process takes it over in its Settings: else
// they would get next to nothing until it has been learnt anew.
func (b *Balancer) WarmThroughput() float64 { return b.warmThroughput }
