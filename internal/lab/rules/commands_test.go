package rules

import (
	"fmt"
	"time"
)

const readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: n1\r\n\r\n"

// checkReadiness sends a readiness check to the node and its answer.
func (s *timeline) checkReadiness(text string) {
	s.open("f", "front", "n1:9000")
	s.send("f", false, readinessRequest)
	s.send("f", true, answerBytes(text))
	s.closeConn("f", true, "")
	s.closeConn("f", false, "")
}

// serveCalls sends a number of calls that p2 serves.
func (s *timeline) serveCalls(calls int) {
	for i := range calls {
		id := fmt.Sprint("c", i)
		s.request(id, "quote")
		s.open("t"+id, "n1", "p2:9")
		s.send("t"+id, false, requestBytes(id, "quote"))
		s.peerAnswer("t"+id, "200 x")
		s.answer(id, "200 x")
	}
}

// restoreAfterUse suspends p1 while it is in use, restarts it and restores it.
func (s *timeline) restoreAfterUse() {
	s.serveCall("a", "quote")
	s.j.NodeCommanded("n1", "SUSPEND", "p1")
	s.advance(time.Second)
	s.j.PeerStarted("p1", "p1:9", true)
	s.advance(time.Second)
	s.j.NodeCommanded("n1", "RESTORE", "p1")
}

// commandCases are the cases of operators' commands.
var commandCases = []ruleCase{
	{"attempt to a suspended peer", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(100 * ms)
		s.serveCall("a", "quote")
	}},
	{"health check of a suspended peer", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(100 * ms)
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\nHost: p1\r\n\r\n")
	}},
	{"suspended twice and restored once", "", nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.advance(time.Second)
		s.j.NodeCommanded("n1", "RESTORE", "p1")
		s.serveCall("a", "quote")
	}},
	{"suspended peer listed as ready", Suspended, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "SUSPEND", "p1")
		s.poll("d", "")
		s.send("d", true, listAnswer(9, true, "p1=Ready", "p2=Ready"))
		s.advance(100 * ms)
		s.serveCall("a", "quote")
	}},
	{"restored and not used", Unused, nil, func(s *timeline) {
		s.restoreAfterUse()
		s.serveCalls(minAttemptsForReuse)
		s.advance(reuseLimit)
	}},
	{"restored and used", "", nil, func(s *timeline) {
		s.restoreAfterUse()
		s.serveCall("b", "quote")
		s.serveCalls(minAttemptsForReuse)
		s.advance(reuseLimit)
	}},
	{"restored, with too few requests", "", nil, func(s *timeline) {
		s.restoreAfterUse()
		s.serveCalls(5)
		s.advance(2 * reuseLimit)
	}},
	{"reports ready while paused", Paused, nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(100 * ms)
		s.checkReadiness("200 ")
	}},
	{"reports not ready while paused", "", nil, func(s *timeline) {
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(100 * ms)
		s.checkReadiness("503 ")
		s.j.NodeCommanded("n1", "RESUME", "")
		s.advance(pausedIdleLimit + time.Second)
	}},
	{"idle connection kept while paused", Paused, nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.advance(pausedIdleLimit + 100*ms)
	}},
	{"idle connection closed in time", "", nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.j.NodeCommanded("n1", "PAUSE", "")
		s.closeConn("a", true, "")
		s.advance(pausedIdleLimit + 100*ms)
	}},
}
