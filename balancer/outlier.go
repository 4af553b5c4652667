package balancer

import "time"

// Outlier detection steps the same counter by the outcomes of requests, because a server may fail,
// hang or lose requests while its health checks pass.
const (
	// minPassesIgnoredPerNode, multiplied by the number of nodes, is the minimum of
	// passesIgnoredPeriod after a failed request. The minimum prevents all nodes from retrying the
	// server at the same time.
	minPassesIgnoredPerNode = time.Second / 8
	// maxPassesIgnoredPeriod is the maximum of passesIgnoredPeriod. It also limits the minimum by
	// minPassesIgnoredPerNode and each doubling.
	maxPassesIgnoredPeriod = 8 * checkIntervalDown
	// maxSilenceLatencies is the duration for which a server with requests in flight may send no answer,
	// as a multiple of the mean latency.
	maxSilenceLatencies = 4
)

// recordHealthOutcome steps the server's counter by the outcome of a request. A failure counts
// less if requests of the same class or tenant usually fail or are slow. It also starts a period in
// which passed health checks are ignored; the period doubles with each failure until the server
// answers successfully.
func (b *Balancer) recordHealthOutcome(a *attempt, r *request, succeeded bool) {
	s := a.server
	h := &s.health
	if succeeded {
		h.passesIgnoredPeriod = checkIntervalUnsettled
		b.stepCounter(s, true)
		return
	}
	if h.unknown && h.presumedUp {
		h.unknown = false
		h.counter = counterMax // it counted as up, so the full number of failures is needed
	}
	minPeriod := min(time.Duration(b.settings.Nodes)*minPassesIgnoredPerNode, maxPassesIgnoredPeriod)
	h.passesIgnoredPeriod = max(h.passesIgnoredPeriod, minPeriod)
	h.fractionalFailures += (1 - r.expectedFailure) * b.failureWeight(a)
	h.passesIgnoredUntil = b.now + Time(b.random.jitter(h.passesIgnoredPeriod))
	for ; h.fractionalFailures >= 1; h.fractionalFailures-- {
		h.passesIgnoredPeriod = min(2*h.passesIgnoredPeriod, maxPassesIgnoredPeriod)
		b.stepCounter(s, false)
	}
}

// failureWeight returns the number of failures that one failed attempt counts as, from 1 to
// fallThreshold. It is 1 if no server has answered successfully in the time from
// checkIntervalUnsettled before the attempt was sent until now. Otherwise it is the time since the
// last success of the attempt's server, in units of checkIntervalUnsettled: while other servers
// answer, a server that receives few requests from this node has had enough time to succeed.
func (b *Balancer) failureWeight(a *attempt) float64 {
	if b.lastSuccessAt <= a.sentAt-Time(checkIntervalUnsettled) {
		return 1
	}
	sinceSuccess := float64(b.now-a.server.activity.succeededAt) / float64(checkIntervalUnsettled)
	return min(max(sinceSuccess, 1), fallThreshold)
}

// ejectSilent ejects a server that has requests in flight and has been silent for too long, before
// these requests time out.
func (b *Balancer) ejectSilent(s *server, tolerated Time) {
	if s.load.inFlight == 0 || b.now-s.activity.silentSince <= maxSilence(s.load.inFlight, tolerated) {
		return
	}
	s.activity.silentSince = b.now // restarts the period, in case the server is readmitted
	for range fallThreshold {
		b.stepCounter(s, false)
	}
	s.health.passesIgnoredUntil = b.now + Time(b.random.jitter(s.health.passesIgnoredPeriod))
}

// maxSilence returns the duration for which a server may be silent. A single request may simply
// take long, so a server with few requests in flight may be silent for up to twice the tolerated
// duration.
func maxSilence(inFlight int, tolerated Time) Time {
	return tolerated + tolerated/Time(inFlight)
}
