package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomEventsKeepInvariants throws long random legal events at the module and holds every action against the
// rules.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		set := testSettings()
		set.Hedging = rnd.IntN(2) == 0
		set.ServeRemoved = rnd.IntN(3) == 0
		set.HealthChecks = rnd.IntN(4) > 0
		set.CancelAttempts = rnd.IntN(3) > 0
		set.PollDiscovery = rnd.IntN(2) == 0
		set.PollInterval = 10 * time.Second
		servers := testServers(1 + rnd.IntN(12))
		g := newHarness(t, set, seed, servers...)
		results := []Result{OK, OK, OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}
		dead := map[ServerID]bool{}
		for range 1500 {
			switch rnd.IntN(12) {
			case 0:
				i := rnd.IntN(len(servers))
				servers[i].State = ServerState(rnd.IntN(3))
				if rnd.IntN(2) == 0 {
					servers[i].StartedAt = g.now - Time(rnd.IntN(int(time.Second)))
				}
				g.update(UpdateDelta, servers[i])
			case 1:
				if rnd.IntN(5) == 0 {
					g.update(UpdateFailed)
				} else {
					g.update(UpdateFull, servers[:1+rnd.IntN(len(servers))]...)
				}
			case 2:
				id := servers[rnd.IntN(len(servers))].ID
				dead[id] = !dead[id]
			case 3:
				for _, id := range g.order {
					if tk := g.requests[id]; tk.answer == "" && rnd.IntN(4) == 0 {
						tk.answer = "hangup"
						g.b.HandleDisconnect(g.now, id)
					}
				}
			case 4, 5:
				for _, id := range append([]RequestID(nil), g.order...) {
					for n := 0; n < len(g.requests[id].attempts); n++ {
						if rnd.IntN(3) == 0 {
							g.respond(id, n, results[rnd.IntN(len(results))])
						}
					}
				}
			case 6:
				g.b.HandleOutcome(g.now, Outcome{ID: g.nextID + 77, Attempt: rnd.IntN(9), Result: OK})
				g.b.HandleDisconnect(g.now, g.nextID+78)
				g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: 1, Result: OK})
				g.b.HandleFirstByte(g.now, g.nextID+79, 0)
			default:
				for range rnd.IntN(20) {
					g.request(rnd.IntN(len(set.Classes)), uint64(rnd.IntN(40)))
				}
			}
			alive := func(s ServerID) bool { return !dead[s] }
			g.advance(time.Duration(rnd.IntN(120))*time.Millisecond, 60*time.Millisecond, alive)
		}
		g.advance(5*time.Second, time.Second, func(ServerID) bool { return false })
		if g.assertNoViolations(); len(g.b.requests) > 0 {
			t.Errorf("seed %d: %d requests are still held", seed, len(g.b.requests))
		}
		if t.Failed() {
			return
		}
	}
}

// TestRuleCheckerFindsEachViolation shows that the books of the test above find each broken rule.
func TestRuleCheckerFindsEachViolation(t *testing.T) {
	for name, foul := range map[string]func(g *harness, pure, unsafe RequestID){
		"two answers":          func(g *harness, p, _ RequestID) { g.Fail(p); g.Fail(p) },
		"send after the end":   func(g *harness, p, _ RequestID) { g.Fail(p); g.Send(p, 1007, 0) },
		"unsafe twice":         func(g *harness, _, u RequestID) { g.Send(u, 1007, 0) },
		"unsafe refused":       func(g *harness, _, u RequestID) { g.Reject(u, 0) },
		"unlisted server":      func(g *harness, p, _ RequestID) { g.Send(p, 5, 0) },
		"cancel of no attempt": func(g *harness, p, _ RequestID) { g.Cancel(p, 4) },
		"late drain": func(g *harness, p, _ RequestID) {
			s := g.servers[1007]
			s.State = Draining
			g.update(UpdateDelta, s)
			g.now += Time(time.Second)
			g.Send(p, 1007, 0)
		},
		"no answer": func(g *harness, p, _ RequestID) {
			g.b.requests = map[RequestID]*request{}
			g.advance(3*time.Second, time.Hour, func(ServerID) bool { return false })
		},
	} {
		set := testSettings()
		g := newHarness(t, set, 1, testServers(6)...)
		p, u := g.request(0, 5), g.request(1, 6)
		if g.assertNoViolations(); t.Failed() {
			return
		}
		if foul(g, p, u); len(g.violations) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		g := newHarness(t, testSettings(), 9, testServers(9)...)
		for i := range 400 {
			g.request(i%5, uint64(i%30))
			g.advance(20*time.Millisecond, 100*time.Millisecond, func(s ServerID) bool { return s != 1007 })
		}
		return g.actions
	}
	one, two := run(), run()
	if fmt.Sprint(one) != fmt.Sprint(two) || len(one) < 400 {
		t.Fatalf("runs differ or are empty: %d and %d actions", len(one), len(two))
	}
}
