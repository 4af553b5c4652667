package balancer

import (
	"testing"
	"time"
)

func drainFirstServer(g *harness, id RequestID) {
	first := g.requests[id].attempts[0].server
	g.b.serversByID[first].State = Draining
}

func failAfterWindow(g *harness, id RequestID) {
	g.respond(id, 0, Errored)
	g.now += 300 * ms
}

func answerAfterHedge(g *harness, id RequestID) {
	g.sendHedge(id)
	g.respond(id, 0, OK)
}

// TestMayBegin covers what is checked again before the first byte of an attempt leaves, but for the slow-start
// allowance.
func TestMayBegin(t *testing.T) {
	for name, c := range map[string]struct {
		class, n int
		want     bool
		then     func(*harness, RequestID)
	}{
		"nothing has changed":          {1, 0, true, func(*harness, RequestID) {}},
		"its body is still coming":     {1, 0, true, func(g *harness, id RequestID) { g.b.requests[id].streamsBody = true }},
		"its server drains":            {1, 0, false, drainFirstServer},
		"its client has left":          {0, 0, false, func(g *harness, id RequestID) { g.b.HandleDisconnect(g.now, id) }},
		"its time is up":               {0, 0, false, func(g *harness, _ RequestID) { g.now += Time(time.Second) }},
		"it was never made":            {0, 1, false, func(*harness, RequestID) {}},
		"it has ended":                 {2, 0, false, func(g *harness, id RequestID) { g.respond(id, 0, Errored) }},
		"a further one, in the window": {2, 1, true, func(g *harness, id RequestID) { g.respond(id, 0, Errored) }},
		"a further one, behind it":     {2, 1, false, failAfterWindow},
		"a copy":                       {0, 1, true, (*harness).sendHedge},
		"the first, with a copy out":   {0, 0, true, (*harness).sendHedge},
		"a copy of what is answered":   {0, 1, false, answerAfterHedge},
	} {
		g := newHarness(t, testSettings(), 1, testServers(6)...)
		id := g.request(c.class, 7)
		c.then(g, id)
		if got := g.b.MayBegin(g.now, id, c.n); got != c.want || g.b.MayBegin(g.now, id, -1) {
			t.Errorf("%s: it may begin: %v", name, got)
		}
		g.assertNoViolations()
	}
}

// TestStreamedBodyCountsWhenSent: a request whose body is still coming fills no limit and says
// nothing of its server until its last byte has left; it is sent once, however
// surely it never ran, and its answer's time counts from that byte.
func TestStreamedBodyCountsWhenSent(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(4)...)
	slow := func() (RequestID, *request) {
		id := g.request(1, 7)
		g.nextID++
		g.requests[id+1] = &trackedRequest{class: 1, deadline: 1 << 62}
		g.order = append(g.order, id+1)
		g.b.HandleRequest(g.now, Request{ID: id + 1, Timeout: time.Hour, AffinityKey: 7, Class: 1, StreamsBody: true})
		g.respond(id, 0, OK)
		return id + 1, g.b.requests[id+1]
	}
	id, r := slow()
	s := r.attempts[0].server
	if s.load.inFlight != 0 || !r.attempts[0].silenceExplained {
		t.Fatalf("%d in flight while the body is coming", s.load.inFlight)
	}
	g.advance(5*time.Second, 20*time.Millisecond, func(ServerID) bool { return false })
	if g.b.overtakenShare != 0 || r.finished {
		t.Errorf("a body that takes long counts as silence: %v", g.b.overtakenShare)
	}
	g.b.HandleBodySent(g.now, id, 0, time.Second)
	if s.load.inFlight != 1 || r.deadline != g.now+Time(time.Second) || r.attempts[0].sentAt != g.now {
		t.Errorf("written: %d in flight, deadline %d at %d", s.load.inFlight, r.deadline, g.now)
	}
	g.respond(id, 0, OK)
	if s.load.inFlight != 0 || g.b.requests[id] != nil {
		t.Error("its outcome leaves something behind")
	}
	id, _ = slow()
	g.respond(id, 0, ConnectFailed)
	if got := g.requests[id]; got.answer != "refuse" || len(got.attempts) != 1 {
		t.Errorf("after a try that never ran: %q, %d tries", got.answer, len(got.attempts))
	}
	g.assertNoViolations()
}
