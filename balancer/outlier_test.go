package balancer

import (
	"testing"
	"time"
)

// Guards against servers that pass probes and answer no work.
func TestSilentServerIsEjectedThoughChecksPass(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(6)...)
	hang := func(s ServerID) bool { return s != 1007 }
	late := 0
	for i := range 600 {
		id := g.request(0, uint64(i%60+1))
		g.advance(10*time.Millisecond, 20*time.Millisecond, hang)
		if tk := g.requests[id]; i > 300 && len(tk.attempts) > 0 && tk.attempts[0].server == 1007 {
			late++
		}
		if g.healthChecks[1007] > 0 { // its probes pass all the same
			g.healthChecks[1007] = 0
			g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: 1007, Result: OK})
		}
	}
	if late > 3 {
		t.Errorf("%d requests went to a silent server after 3 s", late)
	}
	g.assertNoViolations()
}

// Guards against an emptied table when all servers do badly at once.
func TestAllServersFailingKeepsTable(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(6)...)
	for i := range 600 {
		id := g.request(0, uint64(i+1))
		g.advance(5*time.Millisecond, time.Hour, func(ServerID) bool { return false })
		if tk := g.requests[id]; len(tk.attempts) > 0 {
			g.respond(id, 0, Errored)
		}
		for _, s := range g.b.servers {
			g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: s.ID, Result: OK})
		}
	}
	in := 0
	for _, s := range g.b.servers {
		if s.health.ejectedAt == 0 {
			in++
		}
	}
	if in < 3 {
		t.Errorf("only %d of 6 servers are in the table", in)
	}
}

// Guards against servers that stay silent where no attempt may be cut short.
func TestSilentServerIsEjectedBeforeTimeout(t *testing.T) {
	set := testSettings()
	set.HealthChecks = false
	set.Classes[1].Deadline = time.Minute
	g := newHarness(t, set, 1, testServers(6)...)
	for range 150 {
		g.request(1, uint64(g.nextID%60+1))
		g.advance(10*time.Millisecond, 20*time.Millisecond, alwaysAlive)
	}
	for range 400 {
		g.request(1, uint64(g.nextID%60+1))
		g.advance(10*time.Millisecond, 20*time.Millisecond, func(s ServerID) bool { return s != 1007 })
	}
	if g.b.serversByID[1007].health.ejectedAt == 0 {
		t.Error("silent for 4 s, and still in the table")
	}
}

// TestFirstFailureOfASeldomHeardServer: while others answer, one failure of a server that is heard every few
// seconds takes it out; where nothing else answers, it tells of no one server.
func TestFirstFailureOfASeldomHeardServer(t *testing.T) {
	for _, others := range []bool{true, false} {
		set, servers := largeFleet()
		g := newHarness(t, set, 1, servers...)
		g.now += Time(12 * time.Second)
		if others {
			g.respond(g.request(0, 3), 0, OK)
		}
		g.b.retryTokens = 0
		id := g.request(1, 4)
		s := g.b.serversByID[g.requests[id].attempts[0].server]
		s.health.unknown, s.health.counter = false, riseThreshold+fallThreshold-1 // as probes have told
		g.respond(id, 0, Errored)
		if out := s.health.ejectedAt != 0; out != others {
			t.Errorf("others answer: %v; out after one failure: %v", others, out)
		}
		g.assertNoViolations()
	}
}
