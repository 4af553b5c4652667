package balancer

import (
	"cmp"
	"math"
	"testing"
	"time"
)

// fleetRestart is a fleet whose servers, the first restarted of them, start anew at one instant. Its nodes share
// nothing, so that they are played one after the other, and what they send is summed by time.
type fleetRestart struct {
	name                   string
	restarted              int
	ranFor                 time.Duration // how long the nodes have run by then; 0: they start with the servers
	latency, latencyBefore time.Duration // a server's answer; where slow is not 0, until the restart
	connectInterval        time.Duration // connections to the cold come up together, at the multiples of it; 0: at once
	window                 time.Duration // the window; 0: 3 s
	nodes, servers         int
	rate                   float64 // requests a second to each node
	seed                   uint64
}

const startTick = 50 * time.Millisecond

func (r *fleetRestart) settings() Settings {
	set := testSettings()
	set.Nodes = r.nodes
	set.InitialCapacity = 0.14
	set.SlowStart = 9 * time.Second
	set.OverloadFactor = 2.5
	set.OverloadWindow = r.window
	set.Classes[0].Deadline += 2 * r.connectInterval
	return set
}

// nodeVariant says how the n-th differs from most: told late, nearly idle, or new.
func (r *fleetRestart) nodeVariant(n int) (rate float64, ran, told time.Duration) {
	switch n % 10 {
	case 3:
		return r.rate, r.ranFor, time.Duration(1+n/10%4) * time.Second
	case 6:
		return 0.2, r.ranFor, 0
	case 9:
		return r.rate, 0, 0
	}
	return r.rate, r.ranFor, 0
}

// play adds what one node sends the cold servers, in ticks since their start.
func (r *fleetRestart) play(t *testing.T, n int, sent [][]int) {
	t.Helper()
	set, servers := r.settings(), testServers(r.servers)
	rate, ran, told := r.nodeVariant(n)
	born := Time(time.Hour + ran)
	again := testServers(r.servers)
	for i := range r.restarted {
		again[i].StartedAt = born
	}
	if ran+told == 0 {
		servers = again
	}
	g := newHarness(t, set, r.seed<<32+uint64(n), servers...)
	if r.connectInterval > 0 {
		g.connectedAt = func(to ServerID) Time {
			since := time.Duration(g.now - born)
			if i := int(to-1000) / 7; i >= r.restarted || since < told {
				return g.now // what is sent by who knows nothing can only go on
			}
			return born + Time((since+r.connectInterval-1)/r.connectInterval*r.connectInterval)
		}
	}
	owed := float64(n) / float64(r.nodes)
	for key := n * 131; g.now < born+Time(set.SlowStart); {
		at, answer := time.Duration(g.now-born), r.latency
		if at == told && ran+told > 0 {
			g.update(UpdateFull, again...)
		}
		if r.latencyBefore > 0 && at < 0 {
			answer = r.latencyBefore
		}
		for owed += rate * startTick.Seconds(); owed >= 1; owed-- {
			key += 7
			g.request(0, uint64(1000+key%900))
		}
		g.advance(startTick, answer, alwaysAlive)
	}
	g.assertNoViolations()
	for _, tk := range g.requests {
		for _, a := range tk.attempts {
			if i, at := int(a.server-1000)/7, a.connectedAt-born; i < r.restarted && at >= 0 && a.begun {
				sent[i][int(at)/int(startTick)]++
			}
		}
	}
}

// capacity is what a warm server holds, in requests a second: what the whole traffic comes to for each server that
// is warm after the restart, or for each of all where none is. More would be easier to hold.
func (r *fleetRestart) capacity() (c float64) {
	for n := range r.nodes {
		rate, _, _ := r.nodeVariant(n)
		c += rate
	}
	if r.restarted < r.servers {
		return c / float64(r.servers-r.restarted)
	}
	return c / float64(r.servers)
}

// TestWarmingServersHoldUnderAllNodes sums what all nodes send each server that has just started, refused or not, and
// holds every window of the length in which one falls against its budget: the multiple of what it can do then, and
// twice the root of that and two for chance. A server warms evenly, the slowest that settings allow. Connections that
// come up together count where they do, which may be many windows after the decisions.
func TestWarmingServersHoldUnderAllNodes(t *testing.T) {
	for _, r := range []fleetRestart{
		{name: "all servers with the nodes", restarted: 12},
		{name: "some servers with the nodes", restarted: 4},
		{name: "all servers soon after the nodes", restarted: 12, ranFor: 8 * time.Second},
		{name: "some servers soon after the nodes", restarted: 4, ranFor: 5 * time.Second},
		{name: "all servers of a fleet in its stride", restarted: 12, ranFor: 20 * time.Second},
		{name: "two servers of a fleet in its stride", restarted: 2, ranFor: 20 * time.Second},
		{name: "some servers of a fleet that was slow", restarted: 4, ranFor: 12 * time.Second,
			latencyBefore: 300 * time.Millisecond},
		{name: "all servers with the nodes, late connections", restarted: 12,
			connectInterval: 1500 * time.Millisecond, window: 200 * time.Millisecond},
		{name: "all servers of a fleet in its stride, late connections", restarted: 12, ranFor: 20 * time.Second,
			connectInterval: 1500 * time.Millisecond, window: 200 * time.Millisecond},
	} {
		t.Run(r.name, func(t *testing.T) {
			r.servers, r.latency, r.window = 12, 20*time.Millisecond, cmp.Or(r.window, 3*time.Second)
			for _, size := range []struct {
				nodes int
				rate  float64
			}{{20, 1}, {20, 20}, {30, 5}, {30, 50}} {
				for r.seed = range uint64(2) {
					r.nodes, r.rate = size.nodes, size.rate
					r.assertWithinBudget(t)
				}
			}
		})
	}
}

func (r *fleetRestart) assertWithinBudget(t *testing.T) {
	t.Helper()
	set := r.settings()
	ticks, window := int(set.SlowStart/startTick), int(set.OverloadWindow/startTick)
	sent := make([][]int, r.restarted)
	for i := range sent {
		sent[i] = make([]int, ticks+1)
	}
	for n := range r.nodes {
		r.play(t, n, sent)
	}
	worst, all := 0.0, 0
	for i := range sent {
		for from := 0; from+window <= ticks; from++ {
			sum := 0
			for _, k := range sent[i][from : from+window] {
				sum += k
			}
			warm := set.InitialCapacity + (1-set.InitialCapacity)*(float64(from)+float64(window)/2)/float64(ticks)
			budget := set.OverloadFactor * warm * r.capacity() * set.OverloadWindow.Seconds()
			worst = max(worst, float64(sum)/(budget+2*math.Sqrt(budget)+2))
		}
		for _, k := range sent[i] {
			all += k
		}
	}
	t.Logf("%d nodes, %g/s each, seed %d: at most %.2f of what a server holds, %d in all",
		r.nodes, r.rate, r.seed, worst, all)
	if worst > 1 || all == 0 {
		t.Errorf("%d nodes, %g/s each, seed %d: %.2f of what a cold server holds, %d in all",
			r.nodes, r.rate, r.seed, worst, all)
	}
}
