package balancer

import (
	"testing"
	"time"
)

// TestRejectingServerBacksOff: a server that rejected a request, as draining ones do, gets nothing new for a latency
// objective.
func TestRejectingServerBacksOff(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(1)...)
	g.respond(g.request(0, 7), 0, Rejected)
	for i, want := range []int{0, 0, 1} {
		id := g.request(1, 7)
		if n := len(g.requests[id].attempts); n != want {
			t.Errorf("%d: sent %d times, want %d", i, n, want)
		}
		g.advance(600*time.Millisecond, time.Millisecond, alwaysAlive)
	}
	g.assertNoViolations()
}

// TestRejectingServerIsTriedAgain: it rests for no longer than a server that is Down, however long the objective:
// one full queue met by each of a
// few servers in turn would leave nothing for any class.
func TestRejectingServerIsTriedAgain(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Minute, 2*time.Minute
	g := newHarness(t, set, 1, testServers(1)...)
	g.respond(g.request(0, 7), 0, Rejected)
	g.advance(checkIntervalDown, time.Millisecond, alwaysAlive)
	if n := len(g.requests[g.request(1, 7)].attempts); n != 1 {
		t.Errorf("sent %d times, want 1", n)
	}
	g.assertNoViolations()
}

// However slow its answers, one of the largest servers keeps room for two, and any for one.
func TestLowestConcurrencyLimit(t *testing.T) {
	servers := testServers(2)
	servers[0].Weight = 1.5
	g := newHarness(t, testSettings(), 1, servers...)
	g.request(0, 7) // the table is built
	for i, want := range []float64{minLargestLimit, 1} {
		s := g.b.serversByID[servers[i].ID]
		for range 20 {
			g.now += 300 * ms
			g.b.now = g.now
			g.b.reduceLimit(s, 0.5, time.Second)
		}
		if s.load.limit != want {
			t.Errorf("server of weight %v: limit %v, want %v", s.capacity, s.load.limit, want)
		}
	}
}

// TestSeldomAnswersMoveTheMeanWait: the mean wait of a server follows its last answer where answers are rare,
// so that what it is sent sinks before it jams.
func TestSeldomAnswersMoveTheMeanWait(t *testing.T) {
	for gap, seldom := range map[time.Duration]bool{20 * time.Millisecond: false, 900 * time.Millisecond: true} {
		set, servers := largeFleet()
		g := newHarness(t, set, 1, servers...)
		held := map[ServerID]RequestID{}
		quick, late := RequestID(0), RequestID(0)
		for key := uint64(1); late == 0; key++ { // until two of them are at one server
			id := g.request(0, key)
			to := g.requests[id].attempts[0].server
			quick, late = id, held[to]
			held[to] = id
		}
		s := g.b.serversByID[g.requests[late].attempts[0].server]
		before := g.b.effectiveWeight(s)
		g.now += Time(950*time.Millisecond - gap)
		g.requests[quick].attempts[0].sentAt = g.now - Time(10*time.Millisecond)
		g.respond(quick, 0, OK)
		g.now += Time(gap)
		g.respond(late, 0, OK)
		if lost := 1 - g.b.effectiveWeight(s)/before; seldom != (lost > 0.15) {
			t.Errorf("a late answer %v after a quick one takes %.2f of the server's pull", gap, lost)
		}
	}
}
