package balancer

import "time"

const (
	// fullWait is the wait of an attempt that failed or was not answered in time, as a share of the
	// latency objective.
	fullWait = 1.0
	// meanSmoothing is the weight of one answer in the mean latency of its class and in the means of
	// work.
	meanSmoothing = 0.02
	// nodeLatencySmoothing is the weight of one answer in the node's mean latency.
	nodeLatencySmoothing = 0.01
	// initialLatencyDivisor divides the latency objective of a class to give its initial mean latency.
	initialLatencyDivisor = 4
	// initialBaseLatency, baseLatencyRise, baseLatencyFall and maxBaseLatency control the estimate of
	// a class's base latency, the latency that nine out of ten answers exceed. All four are shares of
	// the latency objective.
	initialBaseLatency = 0.1
	baseLatencyRise    = 0.001
	baseLatencyFall    = 0.01
	maxBaseLatency     = 0.5
)

// class holds the settings and the statistics of a class of requests.
type class struct {
	*Class              // read-only: UpdateSettings replaces the pointer
	meanLatency float64 // seconds
	meanWork    float64 // seconds: mean of the expected work, or of the latency if the client expects none
	// baseLatency is the latency that nine out of ten answers exceed, as a share of the latency
	// objective. Only a small part of this latency is time spent waiting.
	baseLatency float64
	// limitShare is the share of a server's concurrency limit that requests of the class may use.
	limitShare float64
	waitComparison
}

func newClass(c *Class) class {
	latency := c.LatencyObjective.Seconds() / initialLatencyDivisor
	return class{
		Class:          c,
		meanLatency:    latency,
		meanWork:       max(latency, minSeconds),
		baseLatency:    initialBaseLatency,
		waitComparison: newWaitComparison(),
	}
}

// latencyObjective returns the latency objective of the request: that of its class, extended by the
// expected work, but at most the class's deadline. A later answer does not earn its full weight.
func (r *request) latencyObjective() time.Duration {
	perWork := time.Duration(r.class.ObjectivePerWork * r.expectedWork * float64(time.Second))
	return min(r.class.LatencyObjective+perWork, r.class.Deadline)
}

// recordWait updates the base latency of the class and returns the wait of an answer: 0 up to the
// base latency, 1 at the latency objective or above.
func (c *class) recordWait(latency, objective time.Duration) float64 {
	share := latency.Seconds() / max(objective.Seconds(), minSeconds)
	c.baseLatency = min(c.baseLatency+baseLatencyRise, maxBaseLatency)
	if share < c.baseLatency {
		c.baseLatency -= baseLatencyFall
	}
	return min(max((share-c.baseLatency)/(1-c.baseLatency), 0), 1)
}

func (b *Balancer) updateMeanWork(r *request) {
	r.class.meanWork += meanSmoothing * (r.expectedWork - r.class.meanWork)
	b.meanWork += meanSmoothing * (r.expectedWork - b.meanWork)
}

func (b *Balancer) updateMeanLatency(c *class, latency time.Duration) {
	c.meanLatency += meanSmoothing * (latency.Seconds() - c.meanLatency)
	b.meanLatency += nodeLatencySmoothing * (latency.Seconds() - b.meanLatency)
}

// waitComparisonSmoothing is the weight of a new outcome in ownWait. The weight of a new outcome in
// othersWait is half of it.
const waitComparisonSmoothing = 0.1

// waitComparison compares the mean wait of one class or tenant with that of all others. A wait
// ranges from 0 (answered at once) to 1 (late or failed).
type waitComparison struct {
	ownWait    float64 // mean wait of the class or tenant
	othersWait float64 // mean wait of all other classes or tenants
}

// newWaitComparison starts with the highest wait for all others, so that no class or tenant has an
// excess before outcomes are known.
func newWaitComparison() waitComparison { return waitComparison{othersWait: 1} }

// record adds the wait of an outcome to one of the two means.
func (s *waitComparison) record(wait float64, own bool) {
	if own {
		s.ownWait += waitComparisonSmoothing * (wait - s.ownWait)
	} else {
		s.othersWait += waitComparisonSmoothing / 2 * (wait - s.othersWait)
	}
}

// excess returns the difference between the mean wait of the class or tenant and that of all
// others.
func (s *waitComparison) excess() float64 { return s.ownWait - s.othersWait }

// subtractExcessWait adds an outcome to the wait comparisons of all classes and tenants. It returns
// the wait without the excess of the request's class or tenant, because that excess does not
// indicate load at the server. It also sets r.expectedFailure: to that degree, a failure does not
// indicate a fault of the server.
func (b *Balancer) subtractExcessWait(r *request, wait float64) float64 {
	r.expectedFailure = r.class.ownWait
	excess := r.class.excess()
	if r.tenant != nil {
		r.expectedFailure = max(r.expectedFailure, r.tenant.ownWait)
		excess = max(excess, r.tenant.excess())
	}
	for i := range b.classes {
		b.classes[i].record(wait, &b.classes[i] == r.class)
	}
	for i := range b.tenants {
		b.tenants[i].record(wait, &b.tenants[i] == r.tenant)
	}
	return wait - min(max(excess, 0), wait)
}
