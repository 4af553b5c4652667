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

// Crowd is many lawful clients that are alike. They share their connections:
// whichever of them is idle carries the next request.
type Crowd struct {
	conf  world.Clients
	env   Env
	mix   []float64 // of env.Classes, summed up
	keys  []float64 // popularity, summed up
	tally []ClassTally

	until   time.Duration
	arrive  []*loop.Timer // the next arrival of each process; the first is the crowd's own
	surges  map[string]int
	thinner figure.ActiveFaults // of arrivals left out
	leavers figure.ActiveFaults

	conns   []*conn        // all that are open or opening, the oldest first
	idle    []*conn        // the one used last is the last
	held    map[string]int // connections by node
	waiting []*try         // for a connection; some have ended
	stirs   bool           // those that wait are being placed
	live    int            // requests with no outcome yet
	stopped bool
}

// New makes a crowd.
func New(c world.Clients, e Env) *Crowd {
	k := &Crowd{conf: c, env: e, surges: map[string]int{}, held: map[string]int{}}
	sum := 0.0
	for _, class := range e.Classes {
		sum += c.Mix[class.Name]
		k.mix = append(k.mix, sum)
		k.tally = append(k.tally, ClassTally{Class: class.Name})
	}
	sum = 0
	for i := range c.Keys {
		sum += 1 / math.Pow(float64(i+1), c.Zipf)
		k.keys = append(k.keys, sum)
	}
	return k
}

// Start lets requests arrive until an instant.
func (c *Crowd) Start(until time.Duration) {
	c.until = until
	c.process(c.conf.Name, 1, func() bool { return true })
}

// Surge lets requests arrive so many times more often until heal is called.
// Those that would have come anyway come as they would have; below 1, a share
// of them stays away.
func (c *Crowd) Surge(factor float64) (heal func()) {
	if factor < 1 {
		return c.thinner.Add(1 - factor)
	}
	on := true
	name := fmt.Sprintf("%s surge %d", c.conf.Name, c.env.Loop.Now()/time.Millisecond)
	if c.surges[name]++; c.surges[name] > 1 {
		name += fmt.Sprintf(" %d", c.surges[name])
	}
	c.process(name, factor-1, func() bool { return on })
	return func() { on = false }
}

// LeaveMore lets a further share of clients leave before their time is up.
func (c *Crowd) LeaveMore(share float64) (heal func()) { return c.leavers.Add(share) }

// process is one stream of arrivals: Poisson, at the crowd's rate times factor,
// waves and all, as long as on says so.
func (c *Crowd) process(name string, factor float64, on func() bool) {
	most := c.conf.Rate * factor * (1 + c.conf.Swing)
	if most <= 0 {
		return
	}
	draws := figure.Stream(c.env.Seed, name+" arrivals")
	place := len(c.arrive)
	c.arrive = append(c.arrive, nil)
	n, at := 0, c.env.Loop.Now()
	var next func()
	next = func() {
		at += figure.Seconds(draws.ExpFloat64() / most)
		accepted := draws.Float64() < c.wave(at)/(1+c.conf.Swing)
		if at >= c.until || c.stopped || !on() {
			return
		}
		c.arrive[place] = c.env.Loop.At(at, func() {
			if accepted && on() {
				n++
				c.arrives(fmt.Sprintf("%s call %d", name, n), at)
			}
			next()
		})
	}
	next()
}

// wave is the rate at an instant, as a multiple of its mean.
func (c *Crowd) wave(at time.Duration) float64 {
	if c.conf.Period <= 0 {
		return 1
	}
	return 1 + c.conf.Swing*math.Sin(2*math.Pi*at.Seconds()/c.conf.Period.D().Seconds())
}

// arrives begins a request that was due at an instant. All that it draws is by
// its own name.
func (c *Crowd) arrives(name string, due time.Duration) {
	draws := figure.Stream(c.env.Seed, name)
	r := &request{crowd: c, name: name, due: due, begun: c.env.Loop.Now(), began: -1, draws: draws}
	stays, class, key := draws.Float64(), draws.Float64(), draws.Float64()
	if stays < c.thinner.Probability() {
		return
	}
	r.class = pick(c.mix, class)
	if len(c.keys) > 0 {
		r.key = keyName(c.conf.Tenant, pick(c.keys, key))
	}
	c.live++
	t := &c.tally[r.class]
	t.Asked++
	t.Whole += c.env.Classes[r.class].Worth
	r.try()
}

// pick is the place that u, from [0, 1), falls on among summed-up shares.
func pick(sums []float64, u float64) int {
	u *= sums[len(sums)-1]
	return min(sort.Search(len(sums), func(i int) bool { return sums[i] > u }), len(sums)-1)
}

// keyName names a tenant's i-th most popular key; all crowds of the tenant share it.
func keyName(tenant string, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", tenant, i)
	return fmt.Sprintf("%016x", h.Sum64())
}

// Quiet reports whether no request is without its outcome.
func (c *Crowd) Quiet() bool { return c.live == 0 }

// Stop ends all arrivals and closes all connections. Requests that are open
// count as left.
func (c *Crowd) Stop() {
	c.stopped = true
	for _, e := range c.arrive {
		e.Stop()
	}
	for _, t := range slices.Clone(c.waiting) {
		t.over(left, 0)
	}
	for _, k := range slices.Clone(c.conns) {
		k.leave(false, func(*try) outcome { return left })
	}
}

// Tally is what came of the requests.
func (c *Crowd) Tally() Tally {
	var t Tally
	for _, class := range c.tally {
		t.Add(class.Tally)
	}
	return t
}

// ByClass is the same for each class.
func (c *Crowd) ByClass() []ClassTally { return slices.Clone(c.tally) }
