package balancer

import (
	"cmp"
	"time"
)

// A server that has just started or was readmitted is warming. In each half of an overload window,
// counted from the node's start, the node limits the work that it sends to the server to a share of
// the throughput that warm servers have for this node.
const (
	// warmingOverloadShare is the share of Settings.OverloadFactor that the nodes may use on a warming
	// server.
	warmingOverloadShare = 2.0 / 5
	// minWarmth is the minimum warmth of a server.
	minWarmth = 0.01
	// throughputRiseShare is the share of an increase in measured throughput that is applied. It is
	// below 1 because a burst of requests whose keys are cached on all servers is not representative.
	throughputRiseShare = 0.5
	// throughputSmoothing is the weight of one measurement in the mean throughput.
	throughputSmoothing = 0.3
)

// slowStart is the slow-start state of a server.
type slowStart struct {
	// recoveryFrom and recoveryFor are the start and the duration of the recovery ramp of a server
	// that was readmitted; a duration of 0 means that there is none.
	recoveryFrom Time
	recoveryFor  time.Duration
	windowEnd    Time    // end of the half window to which the next three fields belong
	spent        float64 // work sent in the half window, in requests of mean work
	allowance    float64 // maximum work in the half window, in requests of mean work
	// allowanceDraw is a random number in [0, 1), drawn for each half window. A request is admitted
	// if the unspent allowance is at least allowanceDraw times the cost of the request. A request
	// that costs more than the allowance is therefore admitted at random, and the work that all
	// nodes together admit stays close to the sum of their allowances.
	allowanceDraw float64
}

// startRecovery starts the recovery ramp of a server that is readmitted. The ramp lasts as long as
// the ejection did, at most Settings.SlowStart.
func (b *Balancer) startRecovery(s *server) {
	s.slowStart.recoveryFrom = b.now
	s.slowStart.recoveryFor = min(time.Duration(b.now-s.health.ejectedAt), b.settings.SlowStart)
}

// warmth returns the minimum share of its capacity that a server has, given its start and its
// recovery ramp; 1 means that it is warm.
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

// rampShare returns the share of capacity on a linear ramp that starts at the initial capacity. It
// exceeds 1 after the end of the ramp.
func (b *Balancer) rampShare(from Time, length time.Duration) float64 {
	initial := b.settings.InitialCapacity
	return initial + (1-initial)*float64(b.now-from)/float64(length)
}

// admitsSlowStart reports whether slow start permits one more request to a server now. It first
// updates the allowance of a warming server and, in a new half window, resets the spent work and
// takes a new draw.
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
	measured := warmth * warmingOverloadShare * b.settings.OverloadFactor *
		b.warmThroughput * s.capacity * halfWindow.Seconds()
	// Without a measurement, all nodes together may send one request per overload window; otherwise no
	// server would ever get work.
	minimum := b.slowStartCost(r) / 2 / float64(b.settings.Nodes)
	s.slowStart.allowance = max(measured, minimum)
	return s.slowStart.spent+s.slowStart.allowanceDraw*b.slowStartCost(r) <= s.slowStart.allowance
}

// slowStartCost returns the cost of a request for the allowance, in requests of mean work. No
// request costs less than the mean of its class, because the expected work that clients supply may
// be wrong.
func (b *Balancer) slowStartCost(r *request) float64 {
	return max(r.expectedWork, r.class.meanWork) / b.meanWork
}

// measureThroughput updates warmThroughput once per overload window. It also ranks the classes
// again, because their mean latencies have changed in the meantime.
func (b *Balancer) measureThroughput() {
	elapsed := time.Duration(b.now - b.throughputMeasuredAt)
	if elapsed < max(b.settings.OverloadWindow, tickInterval) {
		return
	}
	b.throughputMeasuredAt = b.now
	completed, capacity := b.resetCompleted()
	if capacity > 0 {
		measured := completed / capacity / elapsed.Seconds()
		b.warmThroughput = cmp.Or(b.warmThroughput, measured)
		measured = min(measured, b.warmThroughput+throughputRiseShare*(measured-b.warmThroughput))
		b.warmThroughput += throughputSmoothing * (measured - b.warmThroughput)
	}
	b.rankClasses()
}

// resetCompleted returns the number of successful answers and the capacity of all warm servers in
// the lookup tables, and resets the count of every server.
func (b *Balancer) resetCompleted() (completed, capacity float64) {
	for _, s := range b.servers {
		if !s.ejected() && !s.OutsideSubset && b.mayUse(s) && b.warmth(s) >= 1 {
			completed += s.load.completed
			capacity += s.capacity
		}
		s.load.completed = 0
	}
	return completed, capacity
}

// WarmThroughput returns the measured throughput of warm servers for requests of this node, in
// requests per second per unit of capacity; 0 if unknown. It limits the work sent to warming
// servers. The node's next process receives it in Settings.WarmThroughput; otherwise warming
// servers would get almost no work until it is measured again.
func (b *Balancer) WarmThroughput() float64 { return b.warmThroughput }
