package balancer

import "time"

// Outlier detection: servers may fail, hang or lose real work behind health
// checks that pass, so the outcomes of real work step the same counter.
const (
	// restPerNode is how long a server rests after failed work, for each node, so
	// that the nodes together do not all try it again at once.
	restPerNode = time.Second / 8
	// maxDistrust bounds the rest and its doubling.
	maxDistrust = 8 * checkIntervalDown
	// silenceLatencies is how long a server with requests in flight may be
	// silent, in mean latencies.
	silenceLatencies = 4
)

// recordHealthEvidence lets an outcome of real work step the server's counter. A
// failure counts as far as its class and tenant go well elsewhere, and distrusts
// health checks for a period that doubles until an answer comes.
func (b *Balancer) recordHealthEvidence(a *attempt, r *request, succeeded bool) {
	s := a.server
	h := &s.health
	if succeeded {
		h.distrustPeriod = checkIntervalUnsettled
		b.stepCounter(s, true)
		return
	}
	if h.unknown && h.presumedUp {
		h.unknown = false
		h.counter = counterMax // as it was taken for Up, it has as far to fall
	}
	rest := min(time.Duration(b.settings.Nodes)*restPerNode, maxDistrust)
	h.distrustPeriod = max(h.distrustPeriod, rest)
	h.failureCredit += (1 - r.expectedFailure) * b.failureSteps(a)
	h.distrustUntil = b.now + Time(b.random.jitter(h.distrustPeriod))
	for ; h.failureCredit >= 1; h.failureCredit-- {
		h.distrustPeriod = min(2*h.distrustPeriod, maxDistrust)
		b.stepCounter(s, false)
	}
}

// failureSteps is for how many failures one counts: where others answer, a
// server that is heard seldom has had its chances.
func (b *Balancer) failureSteps(a *attempt) float64 {
	if b.lastSuccessAt <= a.sentAt-Time(checkIntervalUnsettled) {
		return 1
	}
	sinceSuccess := float64(b.now-a.server.activity.succeededAt) / float64(checkIntervalUnsettled)
	return min(max(sinceSuccess, 1), fallThreshold)
}

// ejectSilent ejects a server that has requests in flight and has been silent
// for longer than they should take, before they time out.
func (b *Balancer) ejectSilent(s *server, tolerated Time) {
	if s.load.inFlight == 0 || b.now-s.activity.silentSince <= silenceBound(s.load.inFlight, tolerated) {
		return
	}
	s.activity.silentSince = b.now // it may be readmitted and be silent again
	for range fallThreshold {
		b.stepCounter(s, false)
	}
	s.health.distrustUntil = b.now + Time(b.random.jitter(s.health.distrustPeriod))
}

// silenceBound is how long a server may be silent. One request may be long by
// itself, so that a server with few in flight gets up to twice the time.
func silenceBound(inFlight int, tolerated Time) Time {
	return tolerated + tolerated/Time(inFlight)
}
