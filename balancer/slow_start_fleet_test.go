package balancer

import (
	"cmp"
	"math"
	"testing"
	"time"
)

// fleetRestart is a fleet in which some servers, the first ones of the list, restart at the same instant. The nodes
// share no state, so the test runs them one after the other and sums the attempts of all nodes by time.
type fleetRestart struct {
	name string
	// restarted is the number of servers that restart.
	restarted int
	// nodeUptime is the duration for which the nodes have run before the restart; 0: they start with the servers.
	nodeUptime time.Duration
	// latency is that of a server's answers; until the restart it is latencyBefore, if that is not 0.
	latency, latencyBefore time.Duration
	// connectInterval is the interval at whose multiples connections to restarted servers are established; 0: they are
	// established immediately.
	connectInterval time.Duration
	overloadWindow  time.Duration // Settings.OverloadWindow; 0: 3 s
	nodes, servers  int
	rate            float64 // requests a second to each node
	seed            uint64
}

// simulationTick is the step of the clock, and the interval for which attempts are counted.
const simulationTick = 50 * time.Millisecond

func (r *fleetRestart) settings() Settings {
	set := testSettings()
	set.Nodes = r.nodes
	set.InitialCapacity = 0.14
	set.SlowStart = 9 * time.Second
	set.OverloadFactor = 2.5
	set.OverloadWindow = r.overloadWindow
	set.Classes[0].Deadline += 2 * r.connectInterval
	return set
}

// nodeVariant returns the rate of requests to node n, the time that it has run before the restart, and the delay after
// which it is notified of the restart. Of ten nodes, one is notified late, one is nearly idle and one starts with the
// servers.
func (r *fleetRestart) nodeVariant(n int) (rate float64, uptime, notifiedAfter time.Duration) {
	switch n % 10 {
	case 3:
		return r.rate, r.nodeUptime, time.Duration(1+n/10%4) * time.Second
	case 6:
		return 0.2, r.nodeUptime, 0
	case 9:
		return r.rate, 0, 0
	}
	return r.rate, r.nodeUptime, 0
}

// runNode runs node n and adds its attempts at the restarted servers to sent, by server and by tick since the restart.
func (r *fleetRestart) runNode(t *testing.T, n int, sent [][]int) {
	t.Helper()
	set, servers := r.settings(), testServers(r.servers)
	rate, uptime, notifiedAfter := r.nodeVariant(n)
	restartedAt := Time(time.Hour + uptime)
	serversAfter := testServers(r.servers)
	for i := range r.restarted {
		serversAfter[i].StartedAt = restartedAt
	}
	if uptime+notifiedAfter == 0 {
		servers = serversAfter
	}
	h := newHarness(t, set, r.seed<<32+uint64(n), servers...)
	if r.connectInterval > 0 {
		h.connectedAt = func(to ServerID) Time {
			since := time.Duration(h.now - restartedAt)
			if i := int(to-1000) / 7; i >= r.restarted || since < notifiedAfter {
				return h.now // a node that is not notified yet sends on as before
			}
			return restartedAt + Time((since+r.connectInterval-1)/r.connectInterval*r.connectInterval)
		}
	}
	due := float64(n) / float64(r.nodes)
	for key := n * 131; h.now < restartedAt+Time(set.SlowStart); {
		elapsed, answerLatency := time.Duration(h.now-restartedAt), r.latency
		if elapsed == notifiedAfter && uptime+notifiedAfter > 0 {
			h.update(UpdateFull, serversAfter...)
		}
		if r.latencyBefore > 0 && elapsed < 0 {
			answerLatency = r.latencyBefore
		}
		for due += rate * simulationTick.Seconds(); due >= 1; due-- {
			key += 7
			h.request(0, uint64(1000+key%900))
		}
		h.advance(simulationTick, answerLatency, alwaysAlive)
	}
	h.assertNoViolations()
	for _, tracked := range h.requests {
		for _, a := range tracked.attempts {
			if i, elapsed := int(a.server-1000)/7, a.connectedAt-restartedAt; i < r.restarted && elapsed >= 0 && a.begun {
				sent[i][int(elapsed)/int(simulationTick)]++
			}
		}
	}
}

// warmCapacity is the number of requests a second that a warm server can serve: the whole traffic, divided by the
// number of servers that did not restart or, if all restarted, by the number of all servers. A larger capacity would
// make the budget easier to keep.
func (r *fleetRestart) warmCapacity() (c float64) {
	for n := range r.nodes {
		rate, _, _ := r.nodeVariant(n)
		c += rate
	}
	if r.restarted < r.servers {
		return c / float64(r.servers-r.restarted)
	}
	return c / float64(r.servers)
}

// TestWarmingServersStayWithinBudget sums the attempts of all nodes at each restarted server, rejected or not, and
// compares each overload window with its budget: OverloadFactor times the server's capacity in that window, plus twice
// the square root of the product and two as a margin for chance. The capacity of a server grows evenly over SlowStart,
// as slowly as the settings allow. An attempt counts from when its connection is established, which may be many windows
// after the decision.
func TestWarmingServersStayWithinBudget(t *testing.T) {
	for _, r := range []fleetRestart{
		{name: "all servers start with the nodes", restarted: 12},
		{name: "some servers start with the nodes", restarted: 4},
		{name: "all servers restart soon after the nodes", restarted: 12, nodeUptime: 8 * time.Second},
		{name: "some servers restart soon after the nodes", restarted: 4, nodeUptime: 5 * time.Second},
		{name: "all servers of a warm fleet restart", restarted: 12, nodeUptime: 20 * time.Second},
		{name: "two servers of a warm fleet restart", restarted: 2, nodeUptime: 20 * time.Second},
		{name: "some servers of a slow fleet restart", restarted: 4, nodeUptime: 12 * time.Second,
			latencyBefore: 300 * time.Millisecond},
		{name: "all servers start with the nodes, late connections", restarted: 12,
			connectInterval: 1500 * time.Millisecond, overloadWindow: 200 * time.Millisecond},
		{name: "all servers of a warm fleet restart, late connections", restarted: 12, nodeUptime: 20 * time.Second,
			connectInterval: 1500 * time.Millisecond, overloadWindow: 200 * time.Millisecond},
	} {
		t.Run(r.name, func(t *testing.T) {
			r.servers, r.latency, r.overloadWindow = 12, 20*time.Millisecond, cmp.Or(r.overloadWindow, 3*time.Second)
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

// assertWithinBudget runs all nodes and fails the test if a restarted server exceeds its budget in any window.
func (r *fleetRestart) assertWithinBudget(t *testing.T) {
	t.Helper()
	set := r.settings()
	ticks, window := int(set.SlowStart/simulationTick), int(set.OverloadWindow/simulationTick)
	sent := make([][]int, r.restarted)
	for i := range sent {
		sent[i] = make([]int, ticks+1)
	}
	for n := range r.nodes {
		r.runNode(t, n, sent)
	}
	highest, total := 0.0, 0
	for i := range sent {
		for start := 0; start+window <= ticks; start++ {
			sum := 0
			for _, k := range sent[i][start : start+window] {
				sum += k
			}
			warm := set.InitialCapacity + (1-set.InitialCapacity)*(float64(start)+float64(window)/2)/float64(ticks)
			budget := set.OverloadFactor * warm * r.warmCapacity() * set.OverloadWindow.Seconds()
			highest = max(highest, float64(sum)/(budget+2*math.Sqrt(budget)+2))
		}
		for _, k := range sent[i] {
			total += k
		}
	}
	t.Logf("%d nodes, %g requests a second each, seed %d: at most %.2f of the budget, %d attempts in total",
		r.nodes, r.rate, r.seed, highest, total)
	if highest > 1 || total == 0 {
		t.Errorf("%d nodes, %g requests a second each, seed %d: %.2f of the budget, %d attempts in total",
			r.nodes, r.rate, r.seed, highest, total)
	}
}
