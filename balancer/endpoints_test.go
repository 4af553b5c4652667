package balancer

import (
	"testing"
	"time"
)

// TestServerOutsideSubsetGetsNothing: a server outside the subset receives no requests and no health checks, even if it
// is new. Once it is in the subset again, it receives its share of requests immediately.
func TestServerOutsideSubsetGetsNothing(t *testing.T) {
	servers := testServers(12)
	listWithout := func(from, to int) []Server {
		all := testServers(12)
		for i := range all {
			all[i].OutsideSubset = i >= from && i < to
		}
		return all
	}
	host := newSimpleHost(t, 12)
	sendRequests := func(requests int) map[ServerID]int {
		sent := map[ServerID]int{}
		for range requests {
			before := len(host.outstanding)
			host.lastID++
			host.b.HandleRequest(host.now, Request{
				ID: host.lastID, AffinityKey: mix(uint64(host.lastID)), Tenant: -1, Timeout: 2 * time.Second,
			})
			for _, attempt := range host.outstanding[before:] {
				sent[attempt.server]++
			}
			host.advance(time.Millisecond/2, 20*time.Millisecond)
		}
		return sent
	}
	sendRequests(2000)
	for round, excluded := range [][2]int{{0, 6}, {6, 12}, {3, 3}} {
		host.b.HandleServers(host.now, UpdateDelta, listWithout(excluded[0], excluded[1]))
		host.healthCheckCounts = map[ServerID]int{}
		sent := sendRequests(6000)
		for i, s := range servers {
			isOutside := i >= excluded[0] && i < excluded[1]
			if isOutside && (sent[s.ID] > 0 || host.healthCheckCounts[s.ID] > 0) {
				t.Errorf("round %d: server %d is outside the subset and received %d requests and %d health checks, want none",
					round, i, sent[s.ID], host.healthCheckCounts[s.ID])
			}
			if evenShare := 6000 / (12 - (excluded[1] - excluded[0])); !isOutside && sent[s.ID] < evenShare*3/4 {
				t.Errorf("round %d: server %d received %d requests, want three quarters of %d or more",
					round, i, sent[s.ID], evenShare)
			}
		}
	}
	added := Server{ID: 5, Weight: 1, State: Ready, OutsideSubset: true}
	host.b.HandleServers(host.now, UpdateDelta, []Server{added})
	host.healthCheckCounts = map[ServerID]int{}
	if sent := sendRequests(4000); sent[5] > 0 || host.healthCheckCounts[5] > 0 {
		t.Errorf("a new server outside the subset received %d requests and %d health checks, want none",
			sent[5], host.healthCheckCounts[5])
	}
	added.OutsideSubset = false
	host.b.HandleServers(host.now, UpdateDelta, []Server{added})
	if sent := sendRequests(8000); sent[5] == 0 {
		t.Error("a new server received no requests after it entered the subset")
	}
}

// TestRemovedServersAreForgotten: removed servers are dropped after some time, so that memory does not grow where
// servers are replaced all day, but not while a request is in flight at them.
func TestRemovedServersAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(1)...)
	busy := h.request(0, 7)
	for i := range 100 {
		next := testServers(1)
		next[0].ID += ServerID(i + 1)
		h.now += Time(10 * time.Second)
		h.b.HandleServers(h.now, UpdateFull, next)
	}
	if n := len(h.b.servers); n > 10 || n != len(h.b.serversByID) {
		t.Errorf("%d servers in the list and %d in the index by ID, want at most 10 and equal numbers",
			n, len(h.b.serversByID))
	}
	if first := h.requests[busy].attempts[0].server; !h.b.HasServer(first) {
		t.Error("a removed server with a request in flight was dropped")
	}
}

func TestDiscoveryIsPolledAfterFailure(t *testing.T) {
	set := testSettings()
	set.PollDiscovery, set.PollInterval = true, 8*time.Second
	h := newHarness(t, set, 1, testServers(3)...)
	if h.watchCalls != 1 {
		t.Fatalf("%d calls of Watch at the start, want 1", h.watchCalls)
	}
	calls := 1
	for range 20 {
		h.update(UpdateFailed)
		h.advance(8*time.Second, 0, alwaysAlive)
		if h.watchCalls == calls {
			t.Fatal("no further call of Watch within PollInterval")
		}
		if h.watchCalls > calls+1 {
			t.Fatalf("%d calls of Watch after one failure, want 1", h.watchCalls-calls)
		}
		calls = h.watchCalls
	}
	h.update(UpdateFull, testServers(3)...)
	h.advance(30*time.Second, 0, alwaysAlive)
	if h.watchCalls != calls {
		t.Error("Watch was called although the watch works")
	}
}

// TestDiscoveryIsPolledAgainInTime: discovery is polled again less than 3 s after a failure, however many calls have
// failed and whatever PollInterval is. With 3 s left for the call itself, an update is applied within 6 s after
// discovery is reachable again. The next poll does not follow the failure immediately.
func TestDiscoveryIsPolledAgainInTime(t *testing.T) {
	for _, interval := range []time.Duration{
		0, time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Hour,
	} {
		set := testSettings()
		set.PollDiscovery, set.PollInterval = true, interval
		for seed := range uint64(5) {
			h := newHarness(t, set, seed, testServers(3)...)
			for failures := range 30 {
				h.update(UpdateFailed)
				failed, calls := h.now, h.watchCalls
				for h.watchCalls == calls && h.now < failed+Time(time.Minute) {
					h.advance(tickInterval, 0, alwaysAlive)
				}
				if pause := time.Duration(h.now - failed); pause < 700*time.Millisecond || pause > 3*time.Second-2*tickInterval {
					t.Fatalf("PollInterval %v: polled again %v after failure %d, want between 0.7 s and 2.9 s",
						interval, pause, failures+1)
				}
			}
		}
	}
}

func TestRestartedServerWarmsUp(t *testing.T) {
	servers := testServers(4)
	h := newHarness(t, testSettings(), 1, servers...) // a node that has only its cached list serves requests
	if id := h.request(0, 1); len(h.requests[id].attempts) != 1 {
		t.Fatal("a restarted node does not serve from its cached list")
	}
	h.advance(5*time.Second, 5*time.Millisecond, alwaysAlive)
	s := h.b.serversByID[servers[1].ID]
	servers[1].StartedAt = h.now
	h.update(UpdateFull, servers...)
	if s.health.ejectedAt == 0 {
		t.Error("a restarted server is up before its first health check")
	}
	h.advance(time.Second, 5*time.Millisecond, alwaysAlive)
	if warmth := h.b.warmth(s); s.health.ejectedAt != 0 || warmth >= 0.5 || warmth < h.settings.InitialCapacity {
		t.Errorf("a restarted server after a passed health check: up %v, warmth %.2f; want up and InitialCapacity to 0.5",
			(s.health.ejectedAt == 0), warmth)
	}
	h.advance(12*time.Second, 5*time.Millisecond, alwaysAlive)
	if warmth := h.b.warmth(s); warmth != 1 {
		t.Errorf("warmth %.2f after the end of slow start, want 1", warmth)
	}
	h.assertNoViolations()
}

func TestRemovedServerMayServe(t *testing.T) {
	for _, serveRemoved := range []bool{false, true} {
		for _, firstState := range []ServerState{Removed, Draining} {
			set := testSettings()
			set.ServeRemoved = serveRemoved
			h := newHarness(t, set, 1, testServers(1)...)
			s := testServers(1)[0]
			s.State = firstState
			h.update(UpdateDelta, s)
			s.State = Removed
			h.update(UpdateDelta, s)
			h.now += 5 * ms
			sent := len(h.requests[h.request(0, 1)].attempts) > 0
			if want := serveRemoved && firstState == Removed; sent != want {
				t.Errorf("ServeRemoved %v, state %d before the removal: sent %v, want the opposite", serveRemoved, firstState, sent)
			}
		}
	}
}
