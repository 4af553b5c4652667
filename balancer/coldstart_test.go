package balancer

import (
	"cmp"
	"math"
	"testing"
	"time"
)

// restart is a fleet whose servers, the first cold of them, start anew at one instant. Its nodes share nothing, so
// that they are played one after the other, and what they send is summed by time.
type restart struct {
	name           string
	cold           int
	ran            time.Duration // how long the nodes have run by then; 0: they start with the servers
	quick, slow    time.Duration // a server's answer; where slow is not 0, until the restart
	late           time.Duration // connections to the cold come up together, at the multiples of it; 0: at once
	fall           time.Duration // the window; 0: 3 s
	nodes, servers int
	rate           float64 // requests a second to each node
	seed           uint64
}

const startTick = 50 * time.Millisecond

func (r *restart) settings() Settings {
	set := base()
	set.Nodes, set.InitialCapacity, set.SlowStart, set.OverloadFactor, set.OverloadWindow = r.nodes, 0.14, 9*time.Second, 2.5, r.fall
	set.Classes[0].Deadline += 2 * r.late
	return set
}

// node says how the n-th differs from most: told late, nearly idle, or new.
func (r *restart) node(n int) (rate float64, ran, told time.Duration) {
	switch n % 10 {
	case 3:
		return r.rate, r.ran, time.Duration(1+n/10%4) * time.Second
	case 6:
		return 0.2, r.ran, 0
	case 9:
		return r.rate, 0, 0
	}
	return r.rate, r.ran, 0
}

// play adds what one node sends the cold servers, in ticks since their start.
func (r *restart) play(t *testing.T, n int, sent [][]int) {
	t.Helper()
	set, servers := r.settings(), fleet(r.servers)
	rate, ran, told := r.node(n)
	born := Time(time.Hour + ran)
	again := fleet(r.servers)
	for i := range r.cold {
		again[i].StartedAt = born
	}
	if ran+told == 0 {
		servers = again
	}
	g := start(t, set, r.seed<<32+uint64(n), servers...)
	if r.late > 0 {
		g.late = func(to ServerID) Time {
			since := time.Duration(g.now - born)
			if i := int(to-1000) / 7; i >= r.cold || since < told {
				return g.now // what is sent by who knows nothing can only go on
			}
			return born + Time((since+r.late-1)/r.late*r.late)
		}
	}
	owed := float64(n) / float64(r.nodes)
	for key := n * 131; g.now < born+Time(set.SlowStart); {
		at, answer := time.Duration(g.now-born), r.quick
		if at == told && ran+told > 0 {
			g.view(UpdateFull, again...)
		}
		if r.slow > 0 && at < 0 {
			answer = r.slow
		}
		for owed += rate * startTick.Seconds(); owed >= 1; owed-- {
			key += 7
			g.ask(0, uint64(1000+key%900))
		}
		g.pass(startTick, answer, always)
	}
	g.check()
	for _, tk := range g.open {
		for _, a := range tk.shots {
			if i, at := int(a.to-1000)/7, a.up-born; i < r.cold && at >= 0 && a.begun {
				sent[i][int(at)/int(startTick)]++
			}
		}
	}
}

// capacity is what a warm server holds, in requests a second: what the whole traffic comes to for each server that
// is warm after the restart, or for each of all where none is. More would be easier to hold.
func (r *restart) capacity() (c float64) {
	for n := range r.nodes {
		rate, _, _ := r.node(n)
		c += rate
	}
	if r.cold < r.servers {
		return c / float64(r.servers-r.cold)
	}
	return c / float64(r.servers)
}

// TestColdServersHoldUnderTheFleet sums what all nodes send each server that has just started, refused or not, and
// holds every window of the length in which one falls against its budget: the multiple of what it can do then, and
// twice the root of that and two for chance. A server warms evenly, the slowest that settings allow. Connections that
// come up together count where they do, which may be many windows after the decisions.
func TestColdServersHoldUnderTheFleet(t *testing.T) {
	for _, r := range []restart{
		{name: "all servers with the nodes", cold: 12},
		{name: "some servers with the nodes", cold: 4},
		{name: "all servers soon after the nodes", cold: 12, ran: 8 * time.Second},
		{name: "some servers soon after the nodes", cold: 4, ran: 5 * time.Second},
		{name: "all servers of a fleet in its stride", cold: 12, ran: 20 * time.Second},
		{name: "two servers of a fleet in its stride", cold: 2, ran: 20 * time.Second},
		{name: "some servers of a fleet that was slow", cold: 4, ran: 12 * time.Second, slow: 300 * time.Millisecond},
		{name: "all servers with the nodes, late connections", cold: 12, late: 1500 * time.Millisecond, fall: 200 * time.Millisecond},
		{name: "all servers of a fleet in its stride, late connections", cold: 12, ran: 20 * time.Second,
			late: 1500 * time.Millisecond, fall: 200 * time.Millisecond},
	} {
		t.Run(r.name, func(t *testing.T) {
			r.servers, r.quick, r.fall = 12, 20*time.Millisecond, cmp.Or(r.fall, 3*time.Second)
			for _, size := range []struct {
				nodes int
				rate  float64
			}{{20, 1}, {20, 20}, {30, 5}, {30, 50}} {
				for r.seed = range uint64(2) {
					r.nodes, r.rate = size.nodes, size.rate
					r.hold(t)
				}
			}
		})
	}
}

func (r *restart) hold(t *testing.T) {
	t.Helper()
	set := r.settings()
	ticks, window := int(set.SlowStart/startTick), int(set.OverloadWindow/startTick)
	sent := make([][]int, r.cold)
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
	t.Logf("%d nodes, %g/s each, seed %d: at most %.2f of what a server holds, %d in all", r.nodes, r.rate, r.seed, worst, all)
	if worst > 1 || all == 0 {
		t.Errorf("%d nodes, %g/s each, seed %d: %.2f of what a cold server holds, %d in all", r.nodes, r.rate, r.seed, worst, all)
	}
}

// TestBegin: what a try's first byte is asked again once its connection is there, but for a cold server's allowance.
func TestBegin(t *testing.T) {
	for name, c := range map[string]struct {
		class, n int
		want     bool
		then     func(*bout, RequestID)
	}{
		"nothing has changed":          {1, 0, true, func(*bout, RequestID) {}},
		"its body is still coming":     {1, 0, true, func(g *bout, id RequestID) { g.b.requests[id].streamsBody = true }},
		"its server drains":            {1, 0, false, func(g *bout, id RequestID) { g.b.serversByID[g.open[id].shots[0].to].State = Draining }},
		"its client has left":          {0, 0, false, func(g *bout, id RequestID) { g.b.HandleDisconnect(g.now, id) }},
		"its time is up":               {0, 0, false, func(g *bout, _ RequestID) { g.now += Time(time.Second) }},
		"it was never made":            {0, 1, false, func(*bout, RequestID) {}},
		"it has ended":                 {2, 0, false, func(g *bout, id RequestID) { g.answer(id, 0, Errored) }},
		"a further one, in the window": {2, 1, true, func(g *bout, id RequestID) { g.answer(id, 0, Errored) }},
		"a further one, behind it":     {2, 1, false, func(g *bout, id RequestID) { g.answer(id, 0, Errored); g.now += 300 * ms }},
		"a copy":                       {0, 1, true, (*bout).copy},
		"the first, with a copy out":   {0, 0, true, (*bout).copy},
		"a copy of what is answered":   {0, 1, false, func(g *bout, id RequestID) { g.copy(id); g.answer(id, 0, OK) }},
	} {
		g := start(t, base(), 1, fleet(6)...)
		id := g.ask(c.class, 7)
		c.then(g, id)
		if got := g.b.MayBegin(g.now, id, c.n); got != c.want || g.b.MayBegin(g.now, id, -1) {
			t.Errorf("%s: it may begin: %v", name, got)
		}
		g.check()
	}
}

// copy sends a second copy.
func (g *bout) copy(id RequestID) {
	g.b.hedgeTokens = 1
	g.b.hedge(g.b.requests[id])
}
