package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

const ms = time.Millisecond

// timeline plays events by hand, those of the network and others. A call "a" comes on the connection
// "a"; its attempts go on "a1", "a2", …; "d" is one to discovery. Each step takes
// a millisecond.
type timeline struct {
	j    *Judge
	now  time.Duration
	ends map[string][2]string // connections that were opened: from, to
}

func newTimeline(change func(*world.Contract)) *timeline {
	c := world.Contract{
		DrainGrace: figure.Span(2500 * ms), ColdShare: 0.14, Cold: figure.Span(23 * time.Second), Overload: 2.5,
		OverloadWindow: figure.Span(3 * time.Second), AskEvery: figure.Span(10 * time.Second), TryLimit: 3, Probes: true,
		SecondCopies: true,
	}
	if change != nil {
		change(&c)
	}
	s := &timeline{ends: map[string][2]string{}}
	s.j = New(Config{
		Contract: c,
		Classes: []world.Class{
			{Name: "quote", Safe: true, Work: figure.Span(40 * ms), Deadline: figure.Span(600 * ms)},
			{Name: "book", Work: figure.Span(50 * ms), Deadline: figure.Span(1500 * ms)},
		},
		Nodes: []string{"n1"}, Discovery: []string{"d:1", "e:1"},
		Peers: map[string]string{"p1:9": "p1", "p2:9": "p2"},
		Now:   func() time.Duration { return s.now },
	})
	s.j.PeerListed(1, "p1", "p1:9", ready, 0)
	s.j.PeerListed(2, "p2", "p2:9", ready, 0)
	s.j.NodeStarted("n1", 2)
	return s
}

func (s *timeline) advance(d time.Duration) {
	s.now += d
	s.j.Tick(s.now)
}

func (s *timeline) event(w link.EventKind, conn string, back bool, data, note string) {
	e := s.ends[conn]
	s.j.Observe(link.Event{
		At: s.now, Kind: w, Conn: conn, From: e[0], To: e[1], Back: back, Data: []byte(data), Note: note,
	})
	s.advance(ms)
}

func (s *timeline) open(conn, from, to string) {
	if _, known := s.ends[conn]; !known {
		s.ends[conn] = [2]string{from, to}
		s.event(link.Dial, conn, false, "", "")
		s.event(link.Open, conn, false, "", "")
	}
}

// send sends bytes that arrive and are read.
func (s *timeline) send(conn string, back bool, data string) {
	s.event(link.Sent, conn, back, data, "")
	s.event(link.Arrived, conn, back, data, "")
	s.event(link.Read, conn, back, data, "")
}

// wire is the bytes of a call: "quote" is a read, "book" has a body.
func wire(id, class string) string {
	head := "X-Call-Id: " + id + "\r\nX-Call-Class: " + class + "\r\n"
	if class == "book" {
		return "POST /api?user=7 HTTP/1.1\r\n" + head + "X-Budget: 1.5\r\nContent-Length: 4\r\n\r\nbody"
	}
	return "GET /api?user=7 HTTP/1.1\r\n" + head + "X-Budget: 0.500\r\n\r\n"
}

// answer is "200 body", or "503! body" for one that was rejected unseen.
func answer(text string) string {
	status, body, _ := strings.Cut(text, " ")
	field := ""
	if plain, ok := strings.CutSuffix(status, "!"); ok {
		status, field = plain, "X-Rejected: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s Word\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

func (s *timeline) request(id, class string) {
	s.open(id, "c1", "n1:9000")
	s.send(id, false, wire(id, class))
}
func (s *timeline) answer(id, text string)     { s.send(id, true, answer(text)) }
func (s *timeline) attempt(conn, class string) { s.attemptAt(conn, "p1", class) }
func (s *timeline) attemptAt(conn, peer, class string) {
	s.open(conn, "n1", peer+":9")
	s.send(conn, false, wire(conn[:1], class))
}
func (s *timeline) serve(id, class string) {
	s.request(id, class)
	s.attempt(id+"1", class)
	s.peerAnswer(id+"1", "200 "+id)
	s.answer(id, "200 "+id)
}
func (s *timeline) peerAnswer(conn, text string) { s.send(conn, true, answer(text)) }
func (s *timeline) closeConn(conn string, back bool, note string) {
	s.event(link.Closed, conn, back, "", note)
}

// poll lets the node poll discovery.
func (s *timeline) poll(conn, query string) {
	s.open(conn, "n1", "d:1")
	s.send(conn, false, "GET /registry/instances"+query+" HTTP/1.1\r\nHost: d\r\n\r\n")
}

// listed is discovery's answer, of "p1=Ready" and the like; a start is put behind a state.
func listed(version int, full bool, some ...string) string {
	var all []string
	for _, e := range some {
		name, state, _ := strings.Cut(e, "=")
		state, started, _ := strings.Cut(state+"@0", "@")
		started, _, _ = strings.Cut(started, "@")
		const form = `{"id":%q,"addr":"%[1]s:9","state":%q,"started_ms":%s}`
		all = append(all, fmt.Sprintf(form, name, state, started))
	}
	servers := strings.Join(all, ",")
	return answer(fmt.Sprintf(`200 {"version":%d,"full":%v,"servers":[%s]}`, version, full, servers))
}

// peerLeaves lets discovery list p1 as leaving, and notifies the node of it.
func (s *timeline) peerLeaves() {
	s.j.PeerListed(3, "p1", "p1:9", terminating, 0)
	s.poll("d", "?after=2&wait_ms=2000")
	s.send("d", true, listed(3, false, "p1=Terminating"))
}

// discoveryFails lets the only poll of the node fail, and p1 be gone after it.
func (s *timeline) discoveryFails() {
	s.poll("d", "")
	s.send("d", true, answer("503 "))
	s.j.PeerListed(3, "p1", "p1:9", gone, 0)
}

// coldAttempts lists a cold start of p1, notifies the node if knows, and lets n calls of 0.1 s of work reach p1.
func (s *timeline) coldAttempts(knows bool, n int) {
	s.advance(time.Second)
	s.j.PeerStarted("p1", "p1:9", true)
	s.j.PeerListed(3, "p1", "p1:9", ready, s.now)
	s.advance(ms)
	if knows {
		s.poll("d", "")
		s.send("d", true, listed(3, true, "p1=Ready@7", "p2=Ready"))
	}
	for i := range n {
		id := string(rune('A' + i))
		s.request(id, "quote")
		s.attempt(id+"1", "quote")
		s.j.PeerAttempt("p1", id, 0.1, 0.14)
		s.peerAnswer(id+"1", "200 "+id)
		s.answer(id, "200 "+id)
		s.advance(50 * ms)
	}
}

func noCopies(c *world.Contract)    { c.SecondCopies = false }
func noProbes(c *world.Contract)    { c.Probes = false }
func droppedStay(c *world.Contract) { c.DroppedStay = true }

// ruleCase is a scene, and the rule that it breaks; "": none.
type ruleCase struct {
	name, rule string // "": lawful
	change     func(*world.Contract)
	play       func(s *timeline)
}

// Each case that breaks a rule stands before the nearest that does not.
var cases = []ruleCase{
	{"served", "", nil, func(s *timeline) { s.serve("a", "quote"); s.serve("b", "book") }},

	{"read, and closed", Lost, nil, func(s *timeline) { s.request("a", "quote"); s.closeConn("a", true, "") }},
	{"read, half an answer, and closed", Lost, nil, func(s *timeline) {
		s.request("a", "quote")
		s.send("a", true, answer("200 long")[:40])
		s.closeConn("a", true, "")
	}},
	{"half an answer, as from the peer", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, answer("200 long")[:40])
		s.event(link.Reset, "a1", false, "", "")
		s.send("a", true, answer("200 long")[:40])
		s.closeConn("a", true, "")
	}},
	{"closed unread", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.event(link.Sent, "a", false, wire("a", "quote"), "")
		s.event(link.Arrived, "a", false, wire("a", "quote"), "")
		s.closeConn("a", true, "unread")
	}},
	{"client left first", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.closeConn("a", true, "")
	}},
	{"reset on the way", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.event(link.Reset, "a", true, "", "reset")
	}},
	{"never came", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.event(link.Sent, "a", false, wire("a", "quote"), "")
		s.advance(time.Second)
	}},
	{"killed", "", nil, func(s *timeline) { s.request("a", "quote"); s.j.NodeKilled("n1"); s.advance(time.Second) }},
	{"closed and killed at one instant", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.j.Observe(link.Event{At: s.now, Kind: link.Closed, Conn: "a", Back: true})
		s.j.NodeKilled("n1")
	}},
	{"late after SIGTERM, and killed", Lost, nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(2300 * ms)
		s.request("a", "quote")
		s.event(link.Reset, "a", true, "", "killed")
		s.j.NodeKilled("n1")
	}},
	{"soon after SIGTERM, and killed", "", nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(740 * ms)
		s.request("a", "book")
		s.advance(1460 * ms)
		s.j.NodeKilled("n1")
	}},
	{"late after SIGTERM, and killed before its time", "", nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(time.Second)
		s.request("a", "quote")
		s.j.NodeKilled("n1")
	}},
	{"sent as the node closes", "", nil, func(s *timeline) {
		s.serve("a", "quote")
		s.closeConn("a", true, "")
		s.event(link.Sent, "a", false, wire("b", "quote"), "")
		s.event(link.Arrived, "a", false, wire("b", "quote"), "")
		s.advance(time.Second)
	}},
	{"open at the end", Lost, nil, func(s *timeline) { s.request("a", "quote"); s.j.Finish(s.now) }},
	{"close announced, and the next read along", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.send("a", false, wire("a", "quote")+wire("b", "quote"))
		s.send("a", true, "HTTP/1.1 502 Bad\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		s.closeConn("a", true, "")
	}},

	{"no answer in time", Late, nil, func(s *timeline) {
		s.request("a", "quote")
		s.advance(550 * ms)
		s.answer("a", "504 ")
	}},
	{"just in time", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.advance(546 * ms)
		s.answer("a", "504 ")
	}},
	{"the way took long", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.event(link.Sent, "a", false, wire("a", "quote"), "")
		s.advance(200 * ms)
		s.event(link.Arrived, "a", false, wire("a", "quote"), "")
		s.advance(510 * ms)
		s.answer("a", "504 ")
	}},
	{"behind another", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.send("a", false, wire("b", "quote"))
		s.advance(400 * ms)
		s.answer("a", "502 ")
		s.advance(400 * ms)
		s.answer("a", "502 ")
	}},

	{"two answers", Twice, nil, func(s *timeline) { s.serve("a", "quote"); s.answer("a", "200 a") }},
	{"bytes behind the answer", Twice, nil, func(s *timeline) {
		s.request("a", "quote")
		s.answer("a", "502 ")
		s.send("a", true, "x")
	}},
	{"ahead of the request's coming", Twice, nil, func(s *timeline) {
		s.serve("a", "quote")
		s.event(link.Sent, "a", false, wire("b", "quote"), "")
		s.answer("a", "502 ")
	}},
	{"one each, and 100 ahead", "", nil, func(s *timeline) {
		s.serve("a", "quote")
		s.send("a", false, wire("b", "quote"))
		s.send("a", true, "HTTP/1.1 100 Continue\r\n\r\n"+answer("502 "))
	}},

	{"other bytes", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.peerAnswer("a1", "200 abc")
		s.answer("a", "200 abd")
	}},
	{"bytes of a 500", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.peerAnswer("a1", "500 abc")
		s.answer("a", "200 abc")
	}},
	{"surplus of an earlier answer", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, answer("200 a")+answer("200 more"))
		s.answer("a", "200 a")
		s.request("b", "quote")
		s.send("a1", false, wire("b", "quote"))
		s.answer("b", "200 more")
	}},
	{"surplus on the way as a try leaves", Wrong, nil, func(s *timeline) {
		s.serve("a", "quote")
		s.request("b", "quote")
		s.event(link.Sent, "a1", false, wire("b", "quote"), "")
		s.peerAnswer("a1", "200 more")
		s.answer("b", "200 more")
	}},
	{"two lengths", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na")
		s.answer("a", "200 a")
	}},
	{"the same in chunks and pieces, 1xx ahead", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		text := "HTTP/1.1 103 Hint\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n"
		for part := range slices.Chunk([]byte(text), 3) {
			s.send("a1", true, string(part))
		}
		s.answer("a", "200 abc")
	}},

	{"resent, may have run", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.event(link.Reset, "a1", false, "", "reset")
		s.attemptAt("a2", "p2", "book")
	}},
	{"resent after a 503 without proof", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.peerAnswer("a1", "503 ")
		s.attempt("a2", "book")
	}},
	{"resent, the proof still on its way", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.event(link.Sent, "a1", true, answer("503! "), "")
		s.attempt("a2", "book")
	}},
	{"resent, never ran", "", nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.peerAnswer("a1", "503! ")
		s.open("a2", "n1", "p2:9")
		s.event(link.Sent, "a2", false, wire("a", "book")[:99], "")
		s.event(link.Reset, "a2", false, "", "reset")
		s.attempt("a3", "book")
	}},
	{"refused, may have run", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.answer("a", "503 ")
	}},
	{"failed, may have run", "", nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.answer("a", "502 ")
	}},
	{"refused, safe to repeat", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.answer("a", "429 ")
	}},
	{"a second copy", Effect, noCopies, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.attempt("a2", "quote")
	}},
	{"a second copy, allowed", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.attempt("a2", "quote")
	}},
	{"one given up for another", "", noCopies, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.open("a2", "n1", "p2:9")
		s.j.Observe(link.Event{At: s.now, Kind: link.Sent, Conn: "a2", Data: []byte(wire("a", "quote"))})
		s.closeConn("a1", false, "")
	}},
	{"four tries of three", Effect, nil, func(s *timeline) {
		s.request("a", "quote")
		for i := range 4 {
			s.attempt(fmt.Sprint("a", i), "quote")
		}
	}},

	{"nobody asked", Hidden, nil, func(s *timeline) { s.attempt("a1", "quote") }},
	{"another body", Hidden, nil, func(s *timeline) {
		s.request("a", "book")
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, strings.Replace(wire("a", "book"), "body", "bodz", 1))
	}},
	{"begun before it was taken", Hidden, nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.send("a", false, wire("a", "book")[:100])
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, wire("a", "book")[:100])
		s.send("a", false, wire("a", "book")[100:])
		s.send("a1", false, wire("a", "book")[100:])
	}},
	{"on a connection that is not up", Hidden, nil, func(s *timeline) {
		s.ends["a"] = [2]string{"c1", "n1:9000"}
		s.event(link.Dial, "a", false, "", "")
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"after the answer", Hidden, nil, func(s *timeline) {
		s.request("a", "quote")
		s.answer("a", "502 ")
		s.attempt("a1", "quote")
	}},
	{"after a reset behind bytes not read", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.event(link.Sent, "a", false, wire("b", "quote"), "")
		s.event(link.Arrived, "a", false, wire("b", "quote"), "")
		s.event(link.Reset, "a", true, "", "reset")
		s.advance(10 * ms)
		s.attempt("a1", "quote")
	}},
	{"after the client's going came", Hidden, nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.event(link.Arrived, "a", false, "", "fin")
		s.advance(60 * ms)
		s.attempt("a1", "quote")
	}},
	{"as the client goes", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.attempt("a1", "quote")
	}},
	{"without an id", Hidden, nil, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /api HTTP/1.1\r\n\r\n")
	}},
	{"a probe", "", nil, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\n\r\n")
	}},
	{"a probe, not allowed", Hidden, noProbes, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\n\r\n")
	}},

	{"to one that leaves", Drain, nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2550 * ms)
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"within the grace", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2540 * ms)
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"begun within the grace", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2500 * ms)
		s.request("a", "quote")
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "G")
		s.advance(100 * ms)
		s.send("a1", false, wire("a", "quote")[1:])
	}},
	{"ready again", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.j.PeerListed(4, "p1", "p1:9", ready, s.now)
		s.send("d", false, "GET /registry/instances?after=3&wait_ms=9 HTTP/1.1\r\n\r\n")
		s.send("d", true, listed(4, false, "p1=Ready"))
		s.advance(4 * time.Second)
		s.serve("a", "quote")
	}},
	{"not in the whole list", Drain, nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listed(9, true, "p2=Ready"))
		s.advance(2600 * ms)
		s.serve("a", "quote")
	}},
	{"gone alone does not bind", "", droppedStay, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listed(9, true, "p2=Ready"))
		s.advance(2600 * ms)
		s.serve("a", "quote")
	}},
	{"the answer never came", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.closeConn("d", false, "") // the node gives up
		s.closeConn("d", true, "")
		s.advance(6555 * ms)
		s.serve("a", "quote")
	}},
	{"the answer never came, in the grace", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.advance(6530 * ms)
		s.serve("a", "quote")
	}},
	{"the call broke", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.event(link.Reset, "d", false, "", "reset")
		s.advance(8 * time.Second)
		s.serve("a", "quote")
	}},
	{"told of its return before that counts", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.closeConn("d", false, "")
		s.j.PeerListed(4, "p1", "p1:9", ready, s.now)
		s.poll("d2", "?after=2&wait_ms=2000")
		s.send("d2", true, listed(4, false, "p1=Ready"))
		s.advance(8 * time.Second)
		s.serve("a", "quote")
	}},
	{"the answer cannot be read", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.send("d", true, answer(`200 {"version":3,"full":false,"servers":[{"id":"p1"`))
		s.advance(8 * time.Second)
		s.serve("a", "quote")
	}},
	{"never asked", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.advance(12551 * ms)
		s.serve("a", "quote")
	}},
	{"asked, and failed", Drain, nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(8551 * ms)
		s.serve("a", "quote")
	}},
	{"asked, and failed, in the grace", "", nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(8530 * ms)
		s.serve("a", "quote")
	}},
	{"asked, and failed, and it is down", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(40 * time.Second)
		s.serve("a", "quote")
	}},
	{"asked, and failed, and the way is cut", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("n1", "d:1", false)
		s.discoveryFails()
		s.advance(40 * time.Second)
		s.serve("a", "quote")
	}},
	{"another node's way is cut", Drain, nil, func(s *timeline) {
		s.discoveryFails()
		s.j.DiscoveryReachable("n2", "d:1", false)
		s.advance(8551 * ms)
		s.serve("a", "quote")
	}},
	{"it is back", Drain, nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(10 * time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8551 * ms)
		s.serve("a", "quote")
	}},
	{"it is back, in the grace", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(10 * time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8530 * ms)
		s.serve("a", "quote")
	}},
	{"it is back, and down again before that counts", "", nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(5990 * ms)
		s.j.DiscoveryReachable("", "d:1", false)
		s.advance(time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8530 * ms)
		s.serve("a", "quote")
	}},
	{"it is back elsewhere", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.j.DiscoveryReachable("", "e:1", true)
		s.advance(40 * time.Second)
		s.serve("a", "quote")
	}},
	{"moved", Drain, nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listed(2, true, "p1=Ready", "p2=Ready"))
		s.j.NodeSignaled("n1", "SIGHUP", "e:1")
		s.j.PeerListed(1500, "p1", "p1:9", gone, 0)
		s.send("d", false, "GET /registry/instances HTTP/1.1\r\n\r\n")
		s.send("d", true, listed(1400, true, "p1=Ready", "p2=Ready")) // of the old one
		s.advance(6550 * ms)
		s.serve("a", "quote")
	}},
	{"reloaded, not moved", "", nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listed(2, true, "p1=Ready", "p2=Ready"))
		s.j.NodeSignaled("n1", "SIGHUP", "d:1")
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.advance(6550 * ms)
		s.serve("a", "quote")
	}},
	{"started with a list that has it gone", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.j.NodeKilled("n1")
		s.j.NodeStarted("n1", 3)
		s.advance(2550 * ms)
		s.serve("a", "quote")
	}},
	{"started with an older list", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.j.NodeKilled("n1")
		s.j.NodeStarted("n1", 2)
		s.advance(2550 * ms)
		s.serve("a", "quote")
	}},

	{"pushed", Cold, nil, func(s *timeline) { s.coldAttempts(true, 12) }},
	{"warmed", "", nil, func(s *timeline) { s.coldAttempts(true, 11) }},
	{"pushed unknowingly", "", nil, func(s *timeline) { s.coldAttempts(false, 12) }},

	{"bad, and served", Bad, nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.j.MalformedInput("a", "noise", 3*time.Second)
		s.send("a", false, "noise\r\n")
		s.answer("a", "200 ")
	}},
	{"bad, and tried", Bad, nil, func(s *timeline) {
		s.j.MalformedInput("a", "class", 3*time.Second)
		s.request("a", "nonsense")
		s.attempt("a1", "nonsense")
	}},
	{"bad, and nothing comes of it", Bad, nil, func(s *timeline) {
		s.j.MalformedInput("a", "silence", 3*time.Second)
		s.open("a", "c1", "n1:9000")
		s.advance(3051 * ms)
	}},
	{"bad, and an error", "", nil, func(s *timeline) {
		s.j.MalformedInput("a", "class", 3*time.Second)
		s.request("a", "nonsense")
		s.answer("a", "400 ")
		s.advance(4 * time.Second)
	}},
	{"bad, and a close", "", nil, func(s *timeline) {
		s.serve("a", "quote")
		s.j.MalformedInput("a", "noise", 3*time.Second)
		s.send("a", false, "noise\r\n")
		s.advance(3 * time.Second)
		s.closeConn("a", true, "unread")
		s.advance(time.Second)
	}},
}

func TestRules(t *testing.T) {
	broken := map[string]bool{Crash: true, Rest: true}
	for _, c := range slices.Concat(cases, operatorCases) {
		t.Run(c.name, func(t *testing.T) {
			s := newTimeline(c.change)
			c.play(s)
			s.advance(2 * time.Millisecond)
			v := s.j.Violations()
			switch {
			case c.rule == "" && len(v) > 0:
				t.Errorf("lawful, and judged: %v", v)
			case c.rule != "" && (len(v) != 1 || v[0].Rule != c.rule):
				t.Errorf("got %v, want one of %q", v, c.rule)
			}
		})
		broken[c.rule] = true
	}
	for _, name := range Names() {
		if !broken[name] {
			t.Errorf("no case breaks %q", name)
		}
	}
}

// What is found is bounded, and so is what is held of a long run.
func TestBounds(t *testing.T) {
	s := newTimeline(nil)
	for i := range 25 {
		s.attempt(fmt.Sprint("a", i), "quote")
	}
	if v := s.j.Violations(); len(v) != maxViolations || s.j.More() != 5 {
		t.Errorf("%d kept, %d more", len(v), s.j.More())
	}
	for i := range 3000 {
		id := fmt.Sprint("b", i)
		s.request(id, "quote")
		s.answer(id, "502 ")
		s.closeConn(id, true, "")
	}
	s.advance(time.Minute)
	n := s.j.nodes["n1"]
	if len(n.calls) > 25 || len(n.conns) > 25 || len(s.j.timers) > 0 || len(s.j.conns) > 25 {
		t.Errorf("held: %d calls, %d connections, %d timers", len(n.calls), len(n.conns), len(s.j.timers))
	}
}
