package balancer

import (
	"testing"
	"time"
)

// TestRejectingServerBacksOff: a server that rejects a request, as draining servers do, receives no new requests for
// the duration of one latency objective.
func TestRejectingServerBacksOff(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(1)...)
	h.respond(h.request(0, 7), 0, Rejected)
	for i, want := range []int{0, 0, 1} {
		id := h.request(1, 7)
		if n := len(h.requests[id].attempts); n != want {
			t.Errorf("request %d after the rejection: sent %d times, want %d", i, n, want)
		}
		h.advance(600*time.Millisecond, time.Millisecond, alwaysAlive)
	}
	h.assertNoViolations()
}

// TestRejectingServerIsTriedAgain: a rejection excludes a server for no longer than the check interval of a server that
// is Down, however long the latency objective is. Otherwise, if each of a few servers rejected one request because of a
// full queue, no server would be left for any class.
func TestRejectingServerIsTriedAgain(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Minute, 2*time.Minute
	h := newHarness(t, set, 1, testServers(1)...)
	h.respond(h.request(0, 7), 0, Rejected)
	h.advance(checkIntervalDown, time.Millisecond, alwaysAlive)
	if n := len(h.requests[h.request(1, 7)].attempts); n != 1 {
		t.Errorf("request sent %d times after the pause, want 1", n)
	}
	h.assertNoViolations()
}

// TestLowestConcurrencyLimit: however slow the answers are, the concurrency limit of a server of the largest capacity
// still admits two requests, and the limit of any server admits one.
func TestLowestConcurrencyLimit(t *testing.T) {
	servers := testServers(2)
	servers[0].Weight = 1.5
	h := newHarness(t, testSettings(), 1, servers...)
	h.request(0, 7) // builds the lookup tables
	for i, want := range []float64{minLargestLimit, 1} {
		s := h.b.serversByID[servers[i].ID]
		for range 20 {
			h.now += 300 * ms
			h.b.now = h.now
			h.b.reduceLimit(s, 0.5, time.Second)
		}
		if s.load.limit != want {
			t.Errorf("server of weight %v: concurrency limit %v, want %v", s.capacity, s.load.limit, want)
		}
	}
}

// TestRareAnswersUpdateMeanWait: where answers are rare, the mean wait of a server follows its last answer, so that
// the server receives fewer requests before it is overloaded.
func TestRareAnswersUpdateMeanWait(t *testing.T) {
	for gap, rare := range map[time.Duration]bool{20 * time.Millisecond: false, 900 * time.Millisecond: true} {
		set, servers := largeFleet()
		h := newHarness(t, set, 1, servers...)
		previous := map[ServerID]RequestID{}
		fast, late := RequestID(0), RequestID(0)
		for key := uint64(1); late == 0; key++ { // until one server has received two of the requests
			id := h.request(0, key)
			to := h.requests[id].attempts[0].server
			fast, late = id, previous[to]
			previous[to] = id
		}
		s := h.b.serversByID[h.requests[late].attempts[0].server]
		before := h.b.effectiveWeight(s)
		h.now += Time(950*time.Millisecond - gap)
		h.requests[fast].attempts[0].sentAt = h.now - Time(10*time.Millisecond)
		h.respond(fast, 0, OK)
		h.now += Time(gap)
		h.respond(late, 0, OK)
		if reduction := 1 - h.b.effectiveWeight(s)/before; rare != (reduction > 0.15) {
			t.Errorf("a late answer %v after a fast one reduced the effective weight by %.2f; want above 0.15 only for 900ms",
				gap, reduction)
		}
	}
}
