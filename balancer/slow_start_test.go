package balancer

import (
	"testing"
	"time"
)

// Guards against the sum over many nodes: each may send a cold server far less than one request at a time.
func TestSlowStartBudgetOverManyNodes(t *testing.T) {
	for _, nodes := range []int{10, 200} {
		set := testSettings()
		set.Nodes = nodes
		sent := 0
		for seed := range uint64(nodes) {
			g := newHarness(t, set, seed, testServers(3)...)
			g.b.warmThroughput = 40.0 / float64(nodes) // forty requests of a quarter second's work a second, over all
			s := g.b.serversByID[1007]
			s.StartedAt, s.load.limit = g.now, 1000
			for range 100 {
				g.b.now += 10 * ms
				r := &request{class: &g.b.classes[0], expectedWork: 0.25}
				if g.b.admitsSlowStart(s, r) {
					s.slowStart.spent += g.b.slowStartCost(r)
					sent++
				}
			}
		}
		// A window of one second touches three halves: well under the multiple, of a quarter of ten, in quarters.
		if most := int(0.8 * 3 * 0.25 * 10 / 0.25); sent < 4 || sent > most {
			t.Errorf("%d nodes send %d requests in a fall window, want 4 to %d", nodes, sent, most)
		}
	}
}

func TestSlowStartRampAndBudget(t *testing.T) {
	set := testSettings()
	servers := testServers(5)
	g := newHarness(t, set, 1, servers...)
	load := func(d time.Duration) {
		for end := g.now + Time(d); g.now < end; {
			for range 2 {
				g.request(0, uint64(g.nextID%97+1))
			}
			g.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
		}
	}
	load(5 * time.Second)
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.update(UpdateDelta, cold)
	load(8 * time.Second)
	per := 200.0 / 5 // requests a second that a warm server carries
	var sends []Time
	for _, id := range keys(g.requests) {
		for _, a := range g.requests[id].attempts {
			if a.server == cold.ID {
				sends = append(sends, a.sentAt)
			}
		}
	}
	if len(sends) == 0 {
		t.Fatal("the new server got nothing")
	}
	for i := range sends {
		n := 0
		for _, s := range sends[i:] {
			if s < sends[i]+Time(set.OverloadWindow) {
				n++
			}
		}
		age := float64(sends[i]-cold.StartedAt) / float64(set.SlowStart)
		warmth := set.InitialCapacity + (1-set.InitialCapacity)*age
		if most := set.OverloadFactor * warmth * per * set.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends in a window from %.2f of the warm-up, %.0f allowed", n, age, most)
		}
	}
	g.assertNoViolations()
}

// Guards against a burst of one key at a server that has just started.
func TestSlowStartBudgetHoldsAgainstHotKey(t *testing.T) {
	set := testSettings()
	set.OverloadWindow, set.OverloadFactor = time.Second, 3
	g := newHarness(t, set, 1, testServers(2)...)
	for range 300 {
		for range 2 {
			g.request(0, uint64(g.nextID%97+1))
		}
		g.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.update(UpdateDelta, cold)
	g.advance(5*time.Second, 20*time.Millisecond, alwaysAlive)
	s := g.b.serversByID[cold.ID]
	s.load.limit = 1000 // so that only the budget can hold
	cold.StartedAt = g.now
	s.StartedAt = g.now
	g.b.buildTables()
	key := uint64(1)
	for g.b.tables.all[mix(key)%smallTableSize] != s {
		key++
	}
	sent := 0
	for range 400 {
		if tk := g.requests[g.request(0, key)]; len(tk.attempts) > 0 && tk.attempts[0].server == cold.ID {
			sent++
		}
	}
	if most := int(set.OverloadFactor * set.InitialCapacity * 100); sent == 0 || sent > most {
		t.Errorf("a burst of %d went to a cold server, at most %d allowed", sent, most)
	}
}

// Guards against wrong hints: a small purse lets the smallest through, which say least of the true work.
func TestSlowStartIgnoresSmallHints(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(3)...)
	hint := func(d time.Duration, key uint64) RequestID {
		id := g.nextID
		g.nextID++
		g.requests[id] = &trackedRequest{class: 0, deadline: g.now + Time(time.Second)}
		g.order = append(g.order, id)
		g.b.HandleRequest(g.now, Request{ID: id, Timeout: time.Second, AffinityKey: key, ExpectedWork: d})
		return id
	}
	for i := range 600 {
		hint(100*time.Millisecond, uint64(i%50+1))
		g.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.update(UpdateDelta, cold)
	g.advance(2*time.Second, 20*time.Millisecond, alwaysAlive)
	s := g.b.serversByID[cold.ID]
	s.load.limit, s.StartedAt = 1000, g.now
	g.b.buildTables()
	sent := 0
	for key := uint64(1); key < 4000; key++ {
		if g.b.tables.all[mix(key)%smallTableSize] == s {
			if tk := g.requests[hint(time.Millisecond, key)]; len(tk.attempts) > 0 && tk.attempts[0].server == cold.ID {
				sent++
			}
		}
	}
	if most := int(g.settings.OverloadFactor * g.settings.InitialCapacity * 100 / 3); sent == 0 || sent > most {
		t.Errorf("%d requests with small hints went to a cold server at once, at most %d allowed", sent, most)
	}
}

func keys(m map[RequestID]*trackedRequest) (out []RequestID) {
	for id := RequestID(1); int(id) <= len(m); id++ {
		out = append(out, id)
	}
	return out
}

// TestWarmingServersAreOwedRequests: each of 80 nodes may send a cold server less than one request in a half fall
// window, and few keys lead there: without being owed any, the cold half of a fleet stands idle for its length.
// The sum over nodes stays within what a cold server can take.
func TestWarmingServersAreOwedRequests(t *testing.T) {
	sent := map[ServerID]int{}
	const nodes, secs = 20, 6
	for n := range nodes {
		set, servers := largeFleet()
		set.Nodes, set.Zone = nodes, uint8(n%2)
		g := newHarness(t, set, uint64(n+1), servers...)
		play := func(secs int, cold bool) {
			for i := range 20 * secs {
				id := g.request(0, uint64(1000+(i*7+n*131)%900))
				for _, a := range g.requests[id].attempts {
					if cold && g.servers[a.server].StartedAt != 0 {
						sent[a.server]++
					}
				}
				g.advance(50*time.Millisecond, 40*time.Millisecond, alwaysAlive)
			}
		}
		play(10, false)
		for i := range servers {
			if i%5 == 0 {
				servers[i].StartedAt = g.now
			}
		}
		g.update(UpdateFull, servers...)
		g.advance(time.Second, 40*time.Millisecond, alwaysAlive)
		play(secs, true)
		g.assertNoViolations()
	}
	all := 0
	for id, k := range sent {
		all += k
		if most := 20 * nodes * secs / 60; k > most { // a warm one's mean, at a mean warmth of 0.5
			t.Errorf("cold server %d is sent %d, %d at most", id, k, most)
		}
	}
	if all < 12*secs {
		t.Errorf("12 cold servers are sent %d in %d s by %d nodes", all, secs, nodes)
	}
}
