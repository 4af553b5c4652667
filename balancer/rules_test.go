package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomEventsKeepInvariants passes long random sequences of valid events to a Balancer and checks every action
// against the rules of ruleChecker.
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
		h := newHarness(t, set, seed, servers...)
		results := []Result{OK, OK, OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}
		dead := map[ServerID]bool{}
		for range 1500 {
			switch rnd.IntN(12) {
			case 0:
				i := rnd.IntN(len(servers))
				servers[i].State = ServerState(rnd.IntN(3))
				if rnd.IntN(2) == 0 {
					servers[i].StartedAt = h.now - Time(rnd.IntN(int(time.Second)))
				}
				h.update(UpdateDelta, servers[i])
			case 1:
				if rnd.IntN(5) == 0 {
					h.update(UpdateFailed)
				} else {
					h.update(UpdateFull, servers[:1+rnd.IntN(len(servers))]...)
				}
			case 2:
				id := servers[rnd.IntN(len(servers))].ID
				dead[id] = !dead[id]
			case 3:
				for _, id := range h.openRequests {
					if tracked := h.requests[id]; tracked.answer == "" && rnd.IntN(4) == 0 {
						tracked.answer = "hangup"
						h.b.HandleDisconnect(h.now, id)
					}
				}
			case 4, 5:
				for _, id := range append([]RequestID(nil), h.openRequests...) {
					for n := 0; n < len(h.requests[id].attempts); n++ {
						if rnd.IntN(3) == 0 {
							h.respond(id, n, results[rnd.IntN(len(results))])
						}
					}
				}
			case 6:
				h.b.HandleOutcome(h.now, Outcome{ID: h.nextID + 77, Attempt: rnd.IntN(9), Result: OK})
				h.b.HandleDisconnect(h.now, h.nextID+78)
				h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: 1, Result: OK})
				h.b.HandleFirstByte(h.now, h.nextID+79, 0)
			default:
				for range rnd.IntN(20) {
					h.request(rnd.IntN(len(set.Classes)), uint64(rnd.IntN(40)))
				}
			}
			alive := func(s ServerID) bool { return !dead[s] }
			h.advance(time.Duration(rnd.IntN(120))*time.Millisecond, 60*time.Millisecond, alive)
		}
		h.advance(5*time.Second, time.Second, func(ServerID) bool { return false })
		if h.assertNoViolations(); len(h.b.requests) > 0 {
			t.Errorf("seed %d: %d requests are still stored at the end, want 0", seed, len(h.b.requests))
		}
		if t.Failed() {
			return
		}
	}
}

// TestRuleCheckerFindsEachViolation checks that ruleChecker, which the other tests rely on, reports each broken rule.
func TestRuleCheckerFindsEachViolation(t *testing.T) {
	for name, violate := range map[string]func(h *harness, idempotent, nonIdempotent RequestID){
		"two final answers":                     func(h *harness, p, _ RequestID) { h.Fail(p); h.Fail(p) },
		"attempt after the final answer":        func(h *harness, p, _ RequestID) { h.Fail(p); h.Send(p, 1007, 0) },
		"non-idempotent request sent twice":     func(h *harness, _, u RequestID) { h.Send(u, 1007, 0) },
		"non-idempotent request rejected":       func(h *harness, _, u RequestID) { h.Reject(u, 0) },
		"attempt at an unlisted server":         func(h *harness, p, _ RequestID) { h.Send(p, 5, 0) },
		"cancellation of an attempt never sent": func(h *harness, p, _ RequestID) { h.Cancel(p, 4) },
		"attempt after the drain grace": func(h *harness, p, _ RequestID) {
			s := h.servers[1007]
			s.State = Draining
			h.update(UpdateDelta, s)
			h.now += Time(time.Second)
			h.Send(p, 1007, 0)
		},
		"no final answer": func(h *harness, p, _ RequestID) {
			h.b.requests = map[RequestID]*request{}
			h.advance(3*time.Second, time.Hour, func(ServerID) bool { return false })
		},
	} {
		set := testSettings()
		h := newHarness(t, set, 1, testServers(6)...)
		p, u := h.request(0, 5), h.request(1, 6)
		if h.assertNoViolations(); t.Failed() {
			return
		}
		if violate(h, p, u); len(h.violations) == 0 {
			t.Errorf("%s: no violation was reported", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		h := newHarness(t, testSettings(), 9, testServers(9)...)
		for i := range 400 {
			h.request(i%5, uint64(i%30))
			h.advance(20*time.Millisecond, 100*time.Millisecond, func(s ServerID) bool { return s != 1007 })
		}
		return h.actions
	}
	first, second := run(), run()
	if fmt.Sprint(first) != fmt.Sprint(second) || len(first) < 400 {
		t.Fatalf("runs differ or are empty: %d and %d actions", len(first), len(second))
	}
}
