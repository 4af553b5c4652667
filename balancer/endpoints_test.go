package balancer

import (
	"testing"
	"time"
)

// TestServerOutsideSubsetGetsNothing: a server outside the subset is sent nothing and not checked, also where it is
// new; once it is back, it is sent its share at once.
func TestServerOutsideSubsetGetsNothing(t *testing.T) {
	servers := testServers(12)
	outside := func(from, to int) []Server {
		all := testServers(12)
		for i := range all {
			all[i].OutsideSubset = i >= from && i < to
		}
		return all
	}
	p := newSimpleHost(t, 12)
	play := func(requests int) map[ServerID]int {
		sent := map[ServerID]int{}
		for range requests {
			n := len(p.outstanding)
			p.lastID++
			p.b.HandleRequest(p.now, Request{
				ID: p.lastID, AffinityKey: mix(uint64(p.lastID)), Tenant: -1, Timeout: 2 * time.Second,
			})
			for _, try := range p.outstanding[n:] {
				sent[try.server]++
			}
			p.advance(time.Millisecond/2, 20*time.Millisecond)
		}
		return sent
	}
	play(2000)
	for round, c := range [][2]int{{0, 6}, {6, 12}, {3, 3}} {
		p.b.HandleServers(p.now, UpdateDelta, outside(c[0], c[1]))
		p.healthCheckCounts = map[ServerID]int{}
		sent := play(6000)
		for i, s := range servers {
			out := i >= c[0] && i < c[1]
			if out && (sent[s.ID] > 0 || p.healthCheckCounts[s.ID] > 0) {
				t.Errorf("round %d: server %d is outside the subset, and is sent %d and checked %d times",
					round, i, sent[s.ID], p.healthCheckCounts[s.ID])
			}
			if part := 6000 / (12 - (c[1] - c[0])); !out && sent[s.ID] < part*3/4 {
				t.Errorf("round %d: server %d is sent %d of %d", round, i, sent[s.ID], part)
			}
		}
	}
	late := Server{ID: 5, Weight: 1, State: Ready, OutsideSubset: true}
	p.b.HandleServers(p.now, UpdateDelta, []Server{late})
	p.healthCheckCounts = map[ServerID]int{}
	if sent := play(4000); sent[5] > 0 || p.healthCheckCounts[5] > 0 {
		t.Errorf("a new one is outside the subset, and is sent %d and checked %d times", sent[5], p.healthCheckCounts[5])
	}
	late.OutsideSubset = false
	p.b.HandleServers(p.now, UpdateDelta, []Server{late})
	if sent := play(8000); sent[5] == 0 {
		t.Error("a new one that was outside the subset is never sent anything")
	}
}

// Servers are replaced all day: those that have gone are forgotten in time, not before their work is back.
func TestRemovedServersAreForgotten(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(1)...)
	busy := g.request(0, 7)
	for i := range 100 {
		next := testServers(1)
		next[0].ID += ServerID(i + 1)
		g.now += Time(10 * time.Second)
		g.b.HandleServers(g.now, UpdateFull, next)
	}
	if n := len(g.b.servers); n > 10 || n != len(g.b.serversByID) {
		t.Errorf("%d servers are remembered, %d by id", n, len(g.b.serversByID))
	}
	if first := g.requests[busy].attempts[0].server; !g.b.HasServer(first) {
		t.Error("a server with work out is forgotten")
	}
}

func TestDiscoveryIsPolledAfterFailure(t *testing.T) {
	set := testSettings()
	set.PollDiscovery, set.PollInterval = true, 8*time.Second
	g := newHarness(t, set, 1, testServers(3)...)
	if g.watchCalls != 1 {
		t.Fatalf("%d calls at the start", g.watchCalls)
	}
	calls := 1
	for range 20 {
		g.update(UpdateFailed)
		g.advance(8*time.Second, 0, alwaysAlive)
		if g.watchCalls == calls {
			t.Fatal("no further call within ask_every")
		}
		if g.watchCalls > calls+1 {
			t.Fatalf("%d calls for one failure", g.watchCalls-calls)
		}
		calls = g.watchCalls
	}
	g.update(UpdateFull, testServers(3)...)
	g.advance(30*time.Second, 0, alwaysAlive)
	if g.watchCalls != calls {
		t.Error("called while the watch holds")
	}
}

// TestDiscoveryIsPolledAgainInTime: however often calls fail and whatever the settings say, discovery is polled again
// soon enough that what it tells then is taken in 6 s after it could be reached, with 3 s left for the call; and not at
// once.
func TestDiscoveryIsPolledAgainInTime(t *testing.T) {
	for _, every := range []time.Duration{
		0, time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Hour,
	} {
		set := testSettings()
		set.PollDiscovery, set.PollInterval = true, every
		for seed := range uint64(5) {
			g := newHarness(t, set, seed, testServers(3)...)
			for fails := range 30 {
				g.update(UpdateFailed)
				failed, calls := g.now, g.watchCalls
				for g.watchCalls == calls && g.now < failed+Time(time.Minute) {
					g.advance(tickInterval, 0, alwaysAlive)
				}
				if d := time.Duration(g.now - failed); d < 700*time.Millisecond || d > 3*time.Second-2*tickInterval {
					t.Fatalf("ask_every %v: asked again %v after failure %d", every, d, fails+1)
				}
			}
		}
	}
}

func TestRestartedServerWarmsUp(t *testing.T) {
	servers := testServers(4)
	g := newHarness(t, testSettings(), 1, servers...) // a node with nothing but its last list serves at once
	if id := g.request(0, 1); len(g.requests[id].attempts) != 1 {
		t.Fatal("a restarted node does not serve from its cached list")
	}
	g.advance(5*time.Second, 5*time.Millisecond, alwaysAlive)
	s := g.b.serversByID[servers[1].ID]
	servers[1].StartedAt = g.now
	g.update(UpdateFull, servers...)
	if s.health.ejectedAt == 0 {
		t.Error("a restarted server is Up before its first probe")
	}
	g.advance(time.Second, 5*time.Millisecond, alwaysAlive)
	if w := g.b.warmth(s); s.health.ejectedAt != 0 || w >= 0.5 || w < g.settings.InitialCapacity {
		t.Errorf("a restarted server after a good probe: up %v, warm %.2f", (s.health.ejectedAt == 0), w)
	}
	g.advance(12*time.Second, 5*time.Millisecond, alwaysAlive)
	if w := g.b.warmth(s); w != 1 {
		t.Errorf("warm %.2f after the whole warm-up", w)
	}
	g.assertNoViolations()
}

func TestRemovedServerMayServe(t *testing.T) {
	for _, stay := range []bool{false, true} {
		for _, first := range []ServerState{Removed, Draining} {
			set := testSettings()
			set.ServeRemoved = stay
			g := newHarness(t, set, 1, testServers(1)...)
			s := testServers(1)[0]
			s.State = first
			g.update(UpdateDelta, s)
			s.State = Removed
			g.update(UpdateDelta, s)
			g.now += 5 * ms
			sent := len(g.requests[g.request(0, 1)].attempts) > 0
			if want := stay && first == Removed; sent != want {
				t.Errorf("stay %v, listed %d first: sent %v", stay, first, sent)
			}
		}
	}
}
