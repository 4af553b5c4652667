package balancer

import (
	"testing"
	"time"
)

// TestSlowStartBudgetOverManyNodes guards against an overload by the sum over many nodes, where the allowance of each
// node for a cold server is far less than one request.
func TestSlowStartBudgetOverManyNodes(t *testing.T) {
	for _, nodes := range []int{10, 200} {
		set := testSettings()
		set.Nodes = nodes
		sent := 0
		for seed := range uint64(nodes) {
			h := newHarness(t, set, seed, testServers(3)...)
			h.b.warmThroughput = 40.0 / float64(nodes) // 40 requests a second of 0.25 s of work each, over all nodes
			s := h.b.serversByID[1007]
			s.StartedAt, s.load.limit = h.now, 1000
			for range 100 {
				h.b.now += 10 * ms
				r := &request{class: &h.b.classes[0], expectedWork: 0.25}
				if h.b.admitsSlowStart(s, r) {
					s.slowStart.spent += h.b.slowStartCost(r)
					sent++
				}
			}
		}
		// An overload window of 1 s overlaps three half windows. The bound is 0.8 times an OverloadFactor of 3 times a
		// warmth of 0.25 times 10 s of work a second, divided by the 0.25 s of work of a request.
		if allowed := int(0.8 * 3 * 0.25 * 10 / 0.25); sent < 4 || sent > allowed {
			t.Errorf("%d nodes sent %d requests in an overload window, want 4 to %d", nodes, sent, allowed)
		}
	}
}

func TestSlowStartRampAndBudget(t *testing.T) {
	set := testSettings()
	servers := testServers(5)
	h := newHarness(t, set, 1, servers...)
	sendRequests := func(d time.Duration) {
		for end := h.now + Time(d); h.now < end; {
			for range 2 {
				h.request(0, uint64(h.nextID%97+1))
			}
			h.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
		}
	}
	sendRequests(5 * time.Second)
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: h.now}
	h.update(UpdateDelta, cold)
	sendRequests(8 * time.Second)
	warmRate := 200.0 / 5 // requests a second to each warm server
	var sends []Time
	for _, id := range requestIDs(h.requests) {
		for _, a := range h.requests[id].attempts {
			if a.server == cold.ID {
				sends = append(sends, a.sentAt)
			}
		}
	}
	if len(sends) == 0 {
		t.Fatal("the new server received no requests")
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
		if allowed := set.OverloadFactor * warmth * warmRate * set.OverloadWindow.Seconds(); float64(n) > allowed {
			t.Fatalf("%d requests in the overload window that starts at %.2f of slow start, want at most %.0f", n, age, allowed)
		}
	}
	h.assertNoViolations()
}

// TestSlowStartBudgetHoldsAgainstHotKey guards against a burst of requests of one key at a server that has just
// started.
func TestSlowStartBudgetHoldsAgainstHotKey(t *testing.T) {
	set := testSettings()
	set.OverloadWindow, set.OverloadFactor = time.Second, 3
	h := newHarness(t, set, 1, testServers(2)...)
	for range 300 {
		for range 2 {
			h.request(0, uint64(h.nextID%97+1))
		}
		h.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: h.now}
	h.update(UpdateDelta, cold)
	h.advance(5*time.Second, 20*time.Millisecond, alwaysAlive)
	s := h.b.serversByID[cold.ID]
	s.load.limit = 1000 // so that only the slow-start allowance limits the requests
	cold.StartedAt = h.now
	s.StartedAt = h.now
	h.b.buildTables()
	key := uint64(1)
	for h.b.tables.all[mix(key)%smallTableSize] != s {
		key++
	}
	sent := 0
	for range 400 {
		if tracked := h.requests[h.request(0, key)]; len(tracked.attempts) > 0 && tracked.attempts[0].server == cold.ID {
			sent++
		}
	}
	if allowed := int(set.OverloadFactor * set.InitialCapacity * 100); sent == 0 || sent > allowed {
		t.Errorf("%d requests of a burst were sent to a cold server, want 1 to %d", sent, allowed)
	}
}

// TestSlowStartIgnoresSmallHints guards against wrong hints of expected work: a small allowance would admit the
// requests with the smallest hints, which say least about the actual work.
func TestSlowStartIgnoresSmallHints(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(3)...)
	requestWithHint := func(d time.Duration, key uint64) RequestID {
		id := h.nextID
		h.nextID++
		h.requests[id] = &trackedRequest{class: 0, deadline: h.now + Time(time.Second)}
		h.openRequests = append(h.openRequests, id)
		h.b.HandleRequest(h.now, Request{ID: id, Timeout: time.Second, AffinityKey: key, ExpectedWork: d})
		return id
	}
	for i := range 600 {
		requestWithHint(100*time.Millisecond, uint64(i%50+1))
		h.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: h.now}
	h.update(UpdateDelta, cold)
	h.advance(2*time.Second, 20*time.Millisecond, alwaysAlive)
	s := h.b.serversByID[cold.ID]
	s.load.limit, s.StartedAt = 1000, h.now
	h.b.buildTables()
	sent := 0
	for key := uint64(1); key < 4000; key++ {
		if h.b.tables.all[mix(key)%smallTableSize] == s {
			if r := h.requests[requestWithHint(time.Millisecond, key)]; len(r.attempts) > 0 && r.attempts[0].server == cold.ID {
				sent++
			}
		}
	}
	if allowed := int(h.settings.OverloadFactor * h.settings.InitialCapacity * 100 / 3); sent == 0 || sent > allowed {
		t.Errorf("%d requests with small hints were sent to a cold server at the same instant, want 1 to %d", sent, allowed)
	}
}

// requestIDs returns the IDs of the requests, which count from 1, in ascending order.
func requestIDs(m map[RequestID]*trackedRequest) (out []RequestID) {
	for id := RequestID(1); int(id) <= len(m); id++ {
		out = append(out, id)
	}
	return out
}

// TestWarmingServersReceiveRequests: each of 80 nodes may send a cold server less than one request in a half overload
// window, and few keys map to that server. If the nodes sent it only requests with these keys, the cold part of a fleet
// would stay idle for the length of slow start. The sum over nodes stays within the capacity of a cold server.
func TestWarmingServersReceiveRequests(t *testing.T) {
	sent := map[ServerID]int{}
	const nodes, secs = 20, 6
	for n := range nodes {
		set, servers := largeFleet()
		set.Nodes, set.Zone = nodes, uint8(n%2)
		h := newHarness(t, set, uint64(n+1), servers...)
		sendRequests := func(secs int, cold bool) {
			for i := range 20 * secs {
				id := h.request(0, uint64(1000+(i*7+n*131)%900))
				for _, a := range h.requests[id].attempts {
					if cold && h.servers[a.server].StartedAt != 0 {
						sent[a.server]++
					}
				}
				h.advance(50*time.Millisecond, 40*time.Millisecond, alwaysAlive)
			}
		}
		sendRequests(10, false)
		for i := range servers {
			if i%5 == 0 {
				servers[i].StartedAt = h.now
			}
		}
		h.update(UpdateFull, servers...)
		h.advance(time.Second, 40*time.Millisecond, alwaysAlive)
		sendRequests(secs, true)
		h.assertNoViolations()
	}
	total := 0
	for id, k := range sent {
		total += k
		if allowed := 20 * nodes * secs / 60; k > allowed { // the mean of a warm server; cold ones have a mean warmth of 0.5
			t.Errorf("cold server %d received %d requests, want at most %d", id, k, allowed)
		}
	}
	if total < 12*secs {
		t.Errorf("12 cold servers received %d requests in %d s from %d nodes, want 12 or more a second", total, secs, nodes)
	}
}
