package balancer

import "time"

const (
	// fullWait is the wait of an attempt that was not answered in time.
	fullWait = 1.0
	// meanSmoothing is the weight of one answer in its class's mean latency and
	// in mean work.
	meanSmoothing = 0.02
	// nodeLatencySmoothing is its weight in the node's mean latency.
	nodeLatencySmoothing = 0.01
	// initialLatencyDivisor gives the mean latency of a class before anything is
	// learnt, as a part of its latency objective.
	initialLatencyDivisor = 4
	// initialBaseLatency, baseLatencyRise, baseLatencyFall and maxBaseLatency
	// hold a class's base latency at what nine answers in ten exceed. All are
	// shares of the latency objective.
	initialBaseLatency = 0.1
	baseLatencyRise    = 0.001
	baseLatencyFall    = 0.01
	maxBaseLatency     = 0.5
)

// class is a class of requests and what was learnt of it.
type class struct {
	*Class              // never written: UpdateSettings brings another
	meanLatency float64 // seconds
	meanWork    float64 // seconds: mean of the expected work, or latency where there is none
	// baseLatency is the latency, as a share of the objective, that nine answers
	// in ten exceed: little of it is waiting.
	baseLatency float64
	// limitShare is the share of a server's concurrency limit that its requests
	// may use.
	limitShare float64
	standing
}

func newClass(c *Class) class {
	latency := c.LatencyObjective.Seconds() / initialLatencyDivisor
	return class{
		Class:       c,
		meanLatency: latency,
		meanWork:    max(latency, minSeconds),
		baseLatency: initialBaseLatency,
		standing:    newStanding(),
	}
}

// latencyObjective is the time within which an answer to this request earns its
// full weight.
func (r *request) latencyObjective() time.Duration {
	perWork := time.Duration(r.class.ObjectivePerWork * r.work * float64(time.Second))
	return min(r.class.LatencyObjective+perWork, r.class.Deadline)
}

// recordWait moves the class's base latency, and returns how much of an answer's
// latency beyond it is waiting: 0 none, 1 the whole objective.
func (c *class) recordWait(latency, objective time.Duration) float64 {
	share := latency.Seconds() / max(objective.Seconds(), minSeconds)
	c.baseLatency = min(c.baseLatency+baseLatencyRise, maxBaseLatency)
	if share < c.baseLatency {
		c.baseLatency -= baseLatencyFall
	}
	return min(max((share-c.baseLatency)/(1-c.baseLatency), 0), 1)
}

func (b *Balancer) updateMeanWork(r *request) {
	r.class.meanWork += meanSmoothing * (r.work - r.class.meanWork)
	b.meanWork += meanSmoothing * (r.work - b.meanWork)
}

func (b *Balancer) updateMeanLatency(c *class, latency time.Duration) {
	c.meanLatency += meanSmoothing * (latency.Seconds() - c.meanLatency)
	b.meanLatency += nodeLatencySmoothing * (latency.Seconds() - b.meanLatency)
}

// standingSmoothing is the weight of one outcome of a class or tenant in its own
// mean; in the mean of all others it is half of that.
const standingSmoothing = 0.1

// standing is how the outcomes of a class or tenant went, and how those of all
// others did: 0 at once, 1 late or not at all.
type standing struct {
	own    float64
	others float64
}

// newStanding begins with others at the worst, so that no class or tenant has an
// excess before outcomes are known.
func newStanding() standing { return standing{others: 1} }

// note counts an outcome.
func (s *standing) note(wait float64, own bool) {
	if own {
		s.own += standingSmoothing * (wait - s.own)
	} else {
		s.others += standingSmoothing / 2 * (wait - s.others)
	}
}

// excess is by how much a class or tenant fares worse than all others.
func (s *standing) excess() float64 { return s.own - s.others }

// recordStanding counts an outcome for every class and tenant. It returns the part
// of its wait that is not explained by the excess of its own class or tenant, which
// is no sign of load at the server. It also stores with the request how badly its
// class or tenant fares: to that extent a failure is no sign of its server.
func (b *Balancer) recordStanding(r *request, wait float64) float64 {
	r.expectedFailure = r.class.own
	excess := r.class.excess()
	if r.tenant != nil {
		r.expectedFailure = max(r.expectedFailure, r.tenant.own)
		excess = max(excess, r.tenant.excess())
	}
	for i := range b.classes {
		b.classes[i].note(wait, &b.classes[i] == r.class)
	}
	for i := range b.tenants {
		b.tenants[i].note(wait, &b.tenants[i] == r.tenant)
	}
	return wait - min(max(excess, 0), wait)
}
