package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestOvertakenAttemptIsReleased: an attempt is overtaken once its server has answered attempts that were sent much
// later. Only this attempt is stuck, not its server: it does not count against the concurrency limit, and its end is no
// sign of overload. An idempotent request is sent to another server while it can still be answered in time.
func TestOvertakenAttemptIsReleased(t *testing.T) {
	for class, want := range []int{2, 1} { // the number of attempts: class 0 is idempotent, class 1 is not
		h := newHarness(t, testSettings(), 1, testServers(2)...)
		h.b.retryTokens = 9
		stuck := h.request(class, 7)
		s := h.b.serversByID[h.requests[stuck].attempts[0].server]
		for range 16 {
			h.now += 50 * ms
			id := h.request(class, 7)
			h.now += 5 * ms
			h.respond(id, 0, OK)
		}
		if s.load.inFlight != 1 {
			t.Fatalf("class %d: %d requests in flight, want 1", class, s.load.inFlight)
		}
		h.b.HandleTimer(h.now, tickTimer)
		if s.load.inFlight != 0 {
			t.Errorf("class %d: %d requests in flight after the release, want 0", class, s.load.inFlight)
		}
		if slices.Contains(h.actions, fmt.Sprint("cancel ", stuck, 0)) != (want == 2) {
			t.Errorf("class %d: the attempt is cancelled in class 1, or not cancelled in class 0", class)
		}
		before, median := s.load.limit, h.b.medianWait
		h.respond(stuck, 0, map[int]Result{2: Cancelled, 1: TimedOut}[want])
		if h.b.overtakenShare <= 0 {
			t.Errorf("class %d: no attempt counted as overtaken", class)
		}
		n := len(h.requests[stuck].attempts)
		if n != want || s.load.limit != before || h.b.medianWait > median || s.load.inFlight < 0 {
			t.Errorf("class %d: %d attempts, want %d; limit changed from %v to %v, or the median wait rose",
				class, n, want, before, s.load.limit)
		}
		h.assertNoViolations()
	}
}

// TestHedgedRequest: where answers get lost, a request of an idempotent class is sent a second time after half of its
// latency objective, within the budget of hedged requests. The answer does not cancel the other attempt, which stays
// outstanding to show whether it is overtaken.
func TestHedgedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class   int
		tokens  float64
		hedging bool
		want    int // the number of attempts
	}{
		"idempotent":              {0, 1, true, 2},
		"non-idempotent":          {1, 1, true, 1},
		"no budget":               {0, 0, true, 1},
		"not allowed by settings": {0, 1, false, 1},
	} {
		set := testSettings()
		set.Hedging = c.hedging
		h := newHarness(t, set, 1, testServers(6)...)
		h.b.hedgeTokens = c.tokens
		id := h.request(c.class, 7)
		h.advance(490*time.Millisecond, time.Hour, alwaysAlive)
		if len(h.requests[id].attempts) != 1 {
			t.Errorf("%s: hedged before half of the latency objective", name)
		}
		h.advance(20*time.Millisecond, time.Hour, alwaysAlive)
		sent := h.requests[id].attempts
		sameServer := len(sent) == 2 && sent[0].server == sent[1].server
		if len(sent) != c.want || sameServer || h.b.hedgeTokens >= 1 != (c.want == 1 && c.tokens == 1) {
			t.Errorf("%s: got attempts %v and %v hedge tokens left", name, sent, h.b.hedgeTokens)
		}
		if h.respond(id, len(sent)-1, OK); slices.Contains(h.actions, fmt.Sprint("cancel ", id, 0)) {
			t.Errorf("%s: the other attempt was cancelled by the answer", name)
		}
		if abandoned := h.request(0, 8); c.want == 2 {
			h.b.hedgeTokens = 1
			h.b.HandleTimer(h.now, firstHedgeTimer+uint64(abandoned))
			h.requests[abandoned].answer = "hangup"
			h.b.HandleDisconnect(h.now, abandoned)
			for n := range 2 {
				if !slices.Contains(h.actions, fmt.Sprint("cancel ", abandoned, n)) {
					t.Errorf("attempt %d was not cancelled when its client disconnected", n)
				}
			}
		}
		h.assertNoViolations()
	}
}

// TestLateAttemptWithLostAnswers: where answers get lost, a late attempt does not count against the concurrency
// limit, and its time-out is no evidence about its server.
func TestLateAttemptWithLostAnswers(t *testing.T) {
	for _, overtakenShare := range []float64{0, 0.1} {
		set := testSettings()
		set.Classes[1].LatencyObjective = 200 * time.Millisecond
		h := newHarness(t, set, 1, testServers(6)...)
		h.b.overtakenShare = overtakenShare
		id := h.request(1, 7)
		s := h.b.serversByID[h.requests[id].attempts[0].server]
		h.advance(300*time.Millisecond, time.Hour, alwaysAlive)
		if counted := s.load.inFlight == 1; counted != (overtakenShare == 0) {
			t.Errorf("overtaken share %v: %d requests in flight", overtakenShare, s.load.inFlight)
		}
		limit := s.load.limit
		if h.respond(id, 0, TimedOut); (s.load.limit == limit) != (overtakenShare > 0) || s.load.inFlight != 0 {
			t.Errorf("overtaken share %v: limit changed from %v to %v, %d requests in flight",
				overtakenShare, limit, s.load.limit, s.load.inFlight)
		}
		h.assertNoViolations()
	}
}

// sendHedge sends a second attempt of a request immediately, with a budget for one.
func (h *harness) sendHedge(id RequestID) {
	h.b.hedgeTokens = 1
	h.b.hedge(h.b.requests[id])
}
