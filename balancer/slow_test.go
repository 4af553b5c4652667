package balancer

import (
	"testing"
	"time"
)

// TestSlowRequest: a request whose body is still coming fills no limit and says
// nothing of its server until its last byte has left; it is sent once, however
// surely it never ran, and its answer's time counts from that byte.
func TestSlowRequest(t *testing.T) {
	g := start(t, base(), 1, fleet(4)...)
	slow := func() (RequestID, *request) {
		id := g.ask(1, 7)
		g.next++
		g.open[id+1] = &ticket{class: 1, deadline: 1 << 62}
		g.order = append(g.order, id+1)
		g.b.HandleRequest(g.now, Request{ID: id + 1, Timeout: time.Hour, AffinityKey: 7, Class: 1, StreamsBody: true})
		g.answer(id, 0, OK)
		return id + 1, g.b.requests[id+1]
	}
	id, r := slow()
	s := r.attempts[0].server
	if s.load.inFlight != 0 || !r.attempts[0].silenceExplained {
		t.Fatalf("%d in flight while the body is coming", s.load.inFlight)
	}
	g.pass(5*time.Second, 20*time.Millisecond, func(ServerID) bool { return false })
	if g.b.overtakenShare != 0 || r.finished {
		t.Errorf("a body that takes long counts as silence: %v", g.b.overtakenShare)
	}
	g.b.HandleBodySent(g.now, id, 0, time.Second)
	if s.load.inFlight != 1 || r.deadline != g.now+Time(time.Second) || r.attempts[0].sentAt != g.now {
		t.Errorf("written: %d in flight, deadline %d at %d", s.load.inFlight, r.deadline, g.now)
	}
	g.answer(id, 0, OK)
	if s.load.inFlight != 0 || g.b.requests[id] != nil {
		t.Error("its outcome leaves something behind")
	}
	id, _ = slow()
	g.answer(id, 0, ConnectFailed)
	if got := g.open[id]; got.ended != "refuse" || len(got.shots) != 1 {
		t.Errorf("after a try that never ran: %q, %d tries", got.ended, len(got.shots))
	}
	g.check()
}
