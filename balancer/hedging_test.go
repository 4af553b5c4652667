package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// An attempt that much later ones overtook is stuck alone: it fills no limit, its end is no sign of a jam, and a
// harmless request goes to another server while it can still be served in time.
func TestOvertakenAttemptIsReleased(t *testing.T) {
	for class, want := range []int{2, 1} { // Pure, SideEffect
		g := newHarness(t, testSettings(), 1, testServers(2)...)
		g.b.retryTokens = 9
		stuck := g.request(class, 7)
		s := g.b.serversByID[g.requests[stuck].attempts[0].server]
		for range 16 {
			g.now += 50 * ms
			id := g.request(class, 7)
			g.now += 5 * ms
			g.respond(id, 0, OK)
		}
		if s.load.inFlight != 1 {
			t.Fatalf("class %d: %d in flight", class, s.load.inFlight)
		}
		g.b.HandleTimer(g.now, tickTimer)
		if s.load.inFlight != 0 {
			t.Errorf("class %d: %d in flight of none", class, s.load.inFlight)
		}
		if slices.Contains(g.actions, fmt.Sprint("cancel ", stuck, 0)) != (want == 2) {
			t.Errorf("class %d: not called off", class)
		}
		before, median := s.load.limit, g.b.medianWait
		g.respond(stuck, 0, map[int]Result{2: Cancelled, 1: TimedOut}[want])
		if g.b.overtakenShare <= 0 {
			t.Errorf("class %d: none counted as overtaken", class)
		}
		n := len(g.requests[stuck].attempts)
		if n != want || s.load.limit != before || g.b.medianWait > median || s.load.inFlight < 0 {
			t.Errorf("class %d: %d attempts, want %d; limit %v -> %v", class, n, want, before, s.load.limit)
		}
		g.assertNoViolations()
	}
}

// Where answers get lost, a request of a harmless class goes out a second time after half its aim, as long as
// copies are in hand. The attempt that was not answered is left out, to show whether it is overtaken.
func TestHedgedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		copies float64
		allow  bool
		want   int
	}{
		"pure":        {0, 1, true, 2},
		"unsafe":      {1, 1, true, 1},
		"none lost":   {0, 0, true, 1},
		"not allowed": {0, 1, false, 1},
	} {
		set := testSettings()
		set.Hedging = c.allow
		g := newHarness(t, set, 1, testServers(6)...)
		g.b.hedgeTokens = c.copies
		id := g.request(c.class, 7)
		g.advance(490*time.Millisecond, time.Hour, alwaysAlive)
		if len(g.requests[id].attempts) != 1 {
			t.Errorf("%s: sent twice before half its aim", name)
		}
		g.advance(20*time.Millisecond, time.Hour, alwaysAlive)
		shots := g.requests[id].attempts
		sameServer := len(shots) == 2 && shots[0].server == shots[1].server
		if len(shots) != c.want || sameServer || g.b.hedgeTokens >= 1 != (c.want == 1 && c.copies == 1) {
			t.Errorf("%s: sent to %v, %v copies in hand", name, shots, g.b.hedgeTokens)
		}
		if g.respond(id, len(shots)-1, OK); slices.Contains(g.actions, fmt.Sprint("cancel ", id, 0)) {
			t.Errorf("%s: called off at the answer", name)
		}
		if gone := g.request(0, 8); c.want == 2 {
			g.b.hedgeTokens = 1
			g.b.HandleTimer(g.now, firstHedgeTimer+uint64(gone))
			g.requests[gone].answer = "hangup"
			g.b.HandleDisconnect(g.now, gone)
			for n := range 2 {
				if !slices.Contains(g.actions, fmt.Sprint("cancel ", gone, n)) {
					t.Errorf("attempt %d goes on after its client has left", n)
				}
			}
		}
		g.assertNoViolations()
	}
}

// Where answers get lost, an attempt that is late fills no limit, and its time-out says nothing of its server.
func TestLateAttemptWhereAnswersGetLost(t *testing.T) {
	for _, hush := range []float64{0, 0.1} {
		set := testSettings()
		set.Classes[1].LatencyObjective = 200 * time.Millisecond
		g := newHarness(t, set, 1, testServers(6)...)
		g.b.overtakenShare = hush
		id := g.request(1, 7)
		s := g.b.serversByID[g.requests[id].attempts[0].server]
		g.advance(300*time.Millisecond, time.Hour, alwaysAlive)
		if held := s.load.inFlight == 1; held != (hush == 0) {
			t.Errorf("%v overtaken: %d in flight", hush, s.load.inFlight)
		}
		limit := s.load.limit
		if g.respond(id, 0, TimedOut); (s.load.limit == limit) != (hush > 0) || s.load.inFlight != 0 {
			t.Errorf("%v overtaken: limit %v -> %v, %d in flight", hush, limit, s.load.limit, s.load.inFlight)
		}
		g.assertNoViolations()
	}
}

// sendHedge sends a hedged request.
func (g *harness) sendHedge(id RequestID) {
	g.b.hedgeTokens = 1
	g.b.hedge(g.b.requests[id])
}
