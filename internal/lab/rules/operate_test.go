package rules

import (
	"fmt"
	"time"
)

const readiness = "GET /health/ready HTTP/1.1\r\nHost: n1\r\n\r\n"

// asksReady is a question whether the node is ready, and its answer.
func (s *scene) asksReady(text string) {
	s.open("f", "front", "n1:9000")
	s.send("f", false, readiness)
	s.send("f", true, answer(text))
	s.end("f", true, "")
	s.end("f", false, "")
}

// busy lets calls be served by p2.
func (s *scene) busy(calls int) {
	for i := range calls {
		id := fmt.Sprint("c", i)
		s.ask(id, "quote")
		s.open("t"+id, "n1", "p2:9")
		s.send("t"+id, false, wire(id, "quote"))
		s.reply("t"+id, "200 x")
		s.answer(id, "200 x")
	}
}

// restored lets p1, in use, be suspended, restarted and put back.
func (s *scene) restored() {
	s.serve("a", "quote")
	s.j.NodeCommanded("n1", "SUSPEND", "p1")
	s.pass(time.Second)
	s.j.PeerStarted("p1", "p1:9", true)
	s.pass(time.Second)
	s.j.NodeCommanded("n1", "RESTORE", "p1")
}

// operatorCases are those of operators' calls.
var operatorCases = []ruleCase{
	{"a try to a suspended peer", Suspended, nil, func(s *scene) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.pass(100 * ms)
		s.serve("a", "quote")
	}},
	{"a probe of one", Suspended, nil, func(s *scene) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.pass(100 * ms)
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\nHost: p1\r\n\r\n")
	}},
	{"suspended twice, put back once", "", nil, func(s *scene) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.pass(time.Second)
		s.j.NodeCommanded("n1", "RESTORE", "p1")
		s.serve("a", "quote")
	}},
	{"a list says nothing of it", Suspended, nil, func(s *scene) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.call("d", "")
		s.send("d", true, listed(9, true, "p1=Ready", "p2=Ready"))
		s.pass(100 * ms)
		s.serve("a", "quote")
	}},
	{"put back, and unused", Unused, nil, func(s *scene) {
		s.restored()
		s.busy(enoughTries)
		s.pass(inUse)
	}},
	{"put back, and used", "", nil, func(s *scene) {
		s.restored()
		s.serve("b", "quote")
		s.busy(enoughTries)
		s.pass(inUse)
	}},
	{"put back, with nothing to do", "", nil, func(s *scene) {
		s.restored()
		s.busy(5)
		s.pass(2 * inUse)
	}},
	{"ready while paused", Paused, nil, func(s *scene) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.pass(100 * ms)
		s.asksReady("200 ")
	}},
	{"not ready while paused, and ready after it", "", nil, func(s *scene) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.pass(100 * ms)
		s.asksReady("503 ")
		s.j.NodeCommanded("n1", "RESUME", "")
		s.pass(emptied + time.Second)
	}},
	{"a connection held idle", Paused, nil, func(s *scene) {
		s.serve("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.pass(emptied + 100*ms)
	}},
	{"closed in time", "", nil, func(s *scene) {
		s.serve("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.end("a", true, "")
		s.pass(emptied + 100*ms)
	}},
}
