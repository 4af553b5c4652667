package balancer

import (
	"testing"
	"time"
)

// TestSilentServerIsEjectedThoughChecksPass guards against servers that pass health checks but answer no requests.
func TestSilentServerIsEjectedThoughChecksPass(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(6)...)
	alive := func(s ServerID) bool { return s != 1007 }
	sentLate := 0
	for i := range 600 {
		id := h.request(0, uint64(i%60+1))
		h.advance(10*time.Millisecond, 20*time.Millisecond, alive)
		if tracked := h.requests[id]; i > 300 && len(tracked.attempts) > 0 && tracked.attempts[0].server == 1007 {
			sentLate++
		}
		if h.healthChecks[1007] > 0 { // its health checks still pass
			h.healthChecks[1007] = 0
			h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: 1007, Result: OK})
		}
	}
	if sentLate > 3 {
		t.Errorf("%d requests were sent to the silent server after 3 s, want at most 3", sentLate)
	}
	h.assertNoViolations()
}

// TestAllServersFailingKeepsTable guards against empty lookup tables when all servers fail at once.
func TestAllServersFailingKeepsTable(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(6)...)
	for i := range 600 {
		id := h.request(0, uint64(i+1))
		h.advance(5*time.Millisecond, time.Hour, func(ServerID) bool { return false })
		if tracked := h.requests[id]; len(tracked.attempts) > 0 {
			h.respond(id, 0, Errored)
		}
		for _, s := range h.b.servers {
			h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: s.ID, Result: OK})
		}
	}
	members := 0
	for _, s := range h.b.servers {
		if s.health.ejectedAt == 0 {
			members++
		}
	}
	if members < 3 {
		t.Errorf("only %d of 6 servers are in the lookup tables, want 3 or more", members)
	}
}

// TestSilentServerIsEjectedBeforeTimeout guards against servers that stay silent while their attempts have a long
// deadline and may not be repeated elsewhere.
func TestSilentServerIsEjectedBeforeTimeout(t *testing.T) {
	set := testSettings()
	set.HealthChecks = false
	set.Classes[1].Deadline = time.Minute
	h := newHarness(t, set, 1, testServers(6)...)
	for range 150 {
		h.request(1, uint64(h.nextID%60+1))
		h.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	for range 400 {
		h.request(1, uint64(h.nextID%60+1))
		h.advance(10*time.Millisecond, 20*time.Millisecond, func(s ServerID) bool { return s != 1007 })
	}
	if h.b.serversByID[1007].health.ejectedAt == 0 {
		t.Error("a server that has been silent for 4 s is still in the lookup tables")
	}
}

// TestFirstFailureEjectsRarelyUsedServer: while other servers answer, one failure ejects a server that receives a
// request only every few seconds. Where no other server answers, the failure is no evidence about a single server.
func TestFirstFailureEjectsRarelyUsedServer(t *testing.T) {
	for _, others := range []bool{true, false} {
		set, servers := largeFleet()
		h := newHarness(t, set, 1, servers...)
		h.now += Time(12 * time.Second)
		if others {
			h.respond(h.request(0, 3), 0, OK)
		}
		h.b.retryTokens = 0
		id := h.request(1, 4)
		s := h.b.serversByID[h.requests[id].attempts[0].server]
		s.health.unknown, s.health.counter = false, riseThreshold+fallThreshold-1 // as after passed health checks
		h.respond(id, 0, Errored)
		if ejected := s.health.ejectedAt != 0; ejected != others {
			t.Errorf("others answer: %v; ejected after one failure: %v; want equal values", others, ejected)
		}
		h.assertNoViolations()
	}
}
