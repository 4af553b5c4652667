package rules

import (
	"fmt"
	"time"
)

const readiness = "GET /health/ready HTTP/1.1\r\nHost: n1\r\n\r\n"

// asksReady is a question whether the node is ready, and its answer.
func (s *timeline) readiness(text string) {
	s.open("f", "front", "n1:9000")
	s.send("f", false, readiness)
	s.send("f", true, answer(text))
	s.closeConn("f", true, "")
	s.closeConn("f", false, "")
}

// attempts lets p2 serve calls.
func (s *timeline) attempts(calls int) {
	for i := range calls {
		id := fmt.Sprint("c", i)
		s.request(id, "quote")
		s.open("t"+id, "n1", "p2:9")
		s.send("t"+id, false, wire(id, "quote"))
		s.peerAnswer("t"+id, "200 x")
		s.answer(id, "200 x")
	}
}

// restored suspends p1, which is in use, restarts it and restores it.
func (s *timeline) restored() {
	s.serve("a", "quote")
	s.j.NodeCommanded("n1", "SUSPEND", "p1")
	s.advance(time.Second)
	s.j.PeerStarted("p1", "p1:9", true)
	s.advance(time.Second)
	s.j.NodeCommanded("n1", "RESTORE", "p1")
}

// operatorCases are those of operators' calls.
var operatorCases = []ruleCase{
	{"a try to a suspended peer", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(100 * ms)
		s.serve("a", "quote")
	}},
	{"a probe of one", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(100 * ms)
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\nHost: p1\r\n\r\n")
	}},
	{"suspended twice, put back once", "", nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(time.Second)
		s.j.NodeCommanded("n1", "RESTORE", "p1")
		s.serve("a", "quote")
	}},
	{"a list says nothing of it", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.poll("d", "")
		s.send("d", true, listed(9, true, "p1=Ready", "p2=Ready"))
		s.advance(100 * ms)
		s.serve("a", "quote")
	}},
	{"put back, and unused", Unused, nil, func(s *timeline) {
		s.restored()
		s.attempts(minAttempts)
		s.advance(reuseLimit)
	}},
	{"put back, and used", "", nil, func(s *timeline) {
		s.restored()
		s.serve("b", "quote")
		s.attempts(minAttempts)
		s.advance(reuseLimit)
	}},
	{"put back, with nothing to do", "", nil, func(s *timeline) {
		s.restored()
		s.attempts(5)
		s.advance(2 * reuseLimit)
	}},
	{"ready while paused", Paused, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(100 * ms)
		s.readiness("200 ")
	}},
	{"not ready while paused, and ready after it", "", nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(100 * ms)
		s.readiness("503 ")
		s.j.NodeCommanded("n1", "RESUME", "")
		s.advance(pausedIdleLimit + time.Second)
	}},
	{"a connection held idle", Paused, nil, func(s *timeline) {
		s.serve("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(pausedIdleLimit + 100*ms)
	}},
	{"closed in time", "", nil, func(s *timeline) {
		s.serve("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.closeConn("a", true, "")
		s.advance(pausedIdleLimit + 100*ms)
	}},
}
