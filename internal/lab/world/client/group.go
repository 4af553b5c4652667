package client

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// Group is a group of identical, valid clients. They share their connections: any
// idle one is used for the next request.
type Group struct {
	config         world.Clients
	env            Env
	cumulativeMix  []float64 // cumulative shares of env.Classes
	cumulativeKeys []float64 // cumulative popularity of the keys
	tallies        []ClassTally

	until         time.Duration       // end of the arrivals
	arrivalTimers []*loop.Timer       // next arrival of each arrival process; index 0 is the regular one
	surgeCounts   map[string]int      // number of surges by name
	droppedShares figure.ActiveFaults // shares of arrivals that surges with a factor below 1 drop
	leaveShares   figure.ActiveFaults // shares added by LeaveMore

	conns      []*conn        // all open or opening connections, oldest first
	idle       []*conn        // most recently used last
	connCounts map[string]int // number of connections by node address
	waiting    []*attempt     // attempts that wait for a connection; may contain ended ones
	assigning  bool           // assignWaiting is running
	unfinished int            // number of requests without an outcome
	stopped    bool
}

// New returns a group that sends nothing until Start.
func New(c world.Clients, e Env) *Group {
	k := &Group{config: c, env: e, surgeCounts: map[string]int{}, connCounts: map[string]int{}}
	sum := 0.0
	for _, class := range e.Classes {
		sum += c.Mix[class.Name]
		k.cumulativeMix = append(k.cumulativeMix, sum)
		k.tallies = append(k.tallies, ClassTally{Class: class.Name})
	}
	sum = 0
	for i := range c.Keys {
		sum += 1 / math.Pow(float64(i+1), c.Zipf)
		k.cumulativeKeys = append(k.cumulativeKeys, sum)
	}
	return k
}

// Start begins the arrivals of requests, which end at the given time.
func (c *Group) Start(until time.Duration) {
	c.until = until
	c.startArrivals(c.config.Name, 1, func() bool { return true })
}

// Surge multiplies the arrival rate by factor until heal is called. A factor above 1
// adds requests and leaves the regular ones unchanged; a factor below 1 drops a
// share of the regular ones.
func (c *Group) Surge(factor float64) (heal func()) {
	if factor < 1 {
		return c.droppedShares.Add(1 - factor)
	}
	active := true
	name := fmt.Sprintf("%s surge %d", c.config.Name, c.env.Loop.Now()/time.Millisecond)
	if c.surgeCounts[name]++; c.surgeCounts[name] > 1 {
		name += fmt.Sprintf(" %d", c.surgeCounts[name])
	}
	c.startArrivals(name, factor-1, func() bool { return active })
	return func() { active = false }
}

// LeaveMore makes an additional share of clients leave before their deadline.
func (c *Group) LeaveMore(share float64) (heal func()) { return c.leaveShares.Add(share) }

// startArrivals starts a Poisson process of arrivals, at the group's rate times
// factor and with its periodic variation, that continues while active returns true.
func (c *Group) startArrivals(name string, factor float64, active func() bool) {
	maxRate := c.config.Rate * factor * (1 + c.config.Swing)
	if maxRate <= 0 {
		return
	}
	draws := figure.Stream(c.env.Seed, name+" arrivals")
	index := len(c.arrivalTimers)
	c.arrivalTimers = append(c.arrivalTimers, nil)
	n, at := 0, c.env.Loop.Now()
	var next func()
	next = func() {
		at += figure.Seconds(draws.ExpFloat64() / maxRate)
		accepted := draws.Float64() < c.rateFactor(at)/(1+c.config.Swing)
		if at >= c.until || c.stopped || !active() {
			return
		}
		c.arrivalTimers[index] = c.env.Loop.At(at, func() {
			if accepted && active() {
				n++
				c.beginRequest(fmt.Sprintf("%s call %d", name, n), at)
			}
			next()
		})
	}
	next()
}

// rateFactor returns the arrival rate at the given time as a multiple of its mean.
func (c *Group) rateFactor(at time.Duration) float64 {
	if c.config.Period <= 0 {
		return 1
	}
	return 1 + c.config.Swing*math.Sin(2*math.Pi*at.Seconds()/c.config.Period.D().Seconds())
}

// beginRequest begins a request that was due at the given time. Its draws are seeded
// by its name.
func (c *Group) beginRequest(name string, due time.Duration) {
	draws := figure.Stream(c.env.Seed, name)
	r := &request{group: c, name: name, dueAt: due, arrivedAt: c.env.Loop.Now(), sentAt: -1, draws: draws}
	droppedDraw, classDraw, keyDraw := draws.Float64(), draws.Float64(), draws.Float64()
	if droppedDraw < c.droppedShares.Probability() {
		return
	}
	r.class = pickIndex(c.cumulativeMix, classDraw)
	if len(c.cumulativeKeys) > 0 {
		r.key = keyName(c.config.Tenant, pickIndex(c.cumulativeKeys, keyDraw))
	}
	c.unfinished++
	t := &c.tallies[r.class]
	t.Asked++
	t.OfferedWorth += c.env.Classes[r.class].Weight
	r.startAttempt()
}

// pickIndex maps u, in [0, 1), to an index of sums, which holds cumulative shares.
func pickIndex(sums []float64, u float64) int {
	u *= sums[len(sums)-1]
	return min(sort.Search(len(sums), func(i int) bool { return sums[i] > u }), len(sums)-1)
}

// keyName returns the tenant's i-th most popular key, which is the same for all groups of the tenant.
func keyName(tenant string, i int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", tenant, i)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Idle reports whether every request has its outcome.
func (c *Group) Idle() bool { return c.unfinished == 0 }

// Stop ends all arrivals and closes all connections. Requests in progress count as Left.
func (c *Group) Stop() {
	c.stopped = true
	for _, e := range c.arrivalTimers {
		e.Stop()
	}
	for _, t := range slices.Clone(c.waiting) {
		t.finish(left, 0)
	}
	for _, k := range slices.Clone(c.conns) {
		k.close(false, func(*attempt) outcome { return left })
	}
}

// Tally returns the counts over all classes.
func (c *Group) Tally() Tally {
	var t Tally
	for _, class := range c.tallies {
		t.Add(class.Tally)
	}
	return t
}

// ByClass returns the counts of each class.
func (c *Group) ByClass() []ClassTally { return slices.Clone(c.tallies) }
