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

// timeline passes events of the network and of the services to a Judge, one by one. A call "a" is sent on
// the client connection "a" and its attempts on the connections "a1", "a2" and so on; "d" is a connection to
// discovery. Each network event takes a millisecond.
type timeline struct {
	j    *Judge
	now  time.Duration
	ends map[string][2]string // the dialing host and the dialed address of each connection
}

// newTimeline returns a timeline with node n1 started and peers p1 and p2 listed. change modifies the contract; it may
// be nil.
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

func (s *timeline) networkEvent(kind link.EventKind, conn string, back bool, data, note string) {
	ends := s.ends[conn]
	s.j.Observe(link.Event{
		At: s.now, Kind: kind, Conn: conn, From: ends[0], To: ends[1], Back: back, Data: []byte(data), Note: note,
	})
	s.advance(ms)
}

func (s *timeline) open(conn, from, to string) {
	if _, known := s.ends[conn]; !known {
		s.ends[conn] = [2]string{from, to}
		s.networkEvent(link.Dial, conn, false, "", "")
		s.networkEvent(link.Open, conn, false, "", "")
	}
}

// send sends bytes on a connection; they arrive and are read at once.
func (s *timeline) send(conn string, back bool, data string) {
	s.networkEvent(link.Sent, conn, back, data, "")
	s.networkEvent(link.Arrived, conn, back, data, "")
	s.networkEvent(link.Read, conn, back, data, "")
}

// requestBytes returns the bytes of a request: an idempotent GET for class "quote", a POST with a body for "book".
func requestBytes(id, class string) string {
	head := "X-Call-Id: " + id + "\r\nX-Call-Class: " + class + "\r\n"
	if class == "book" {
		return "POST /api?user=7 HTTP/1.1\r\n" + head + "X-Budget: 1.5\r\nContent-Length: 4\r\n\r\nbody"
	}
	return "GET /api?user=7 HTTP/1.1\r\n" + head + "X-Budget: 0.500\r\n\r\n"
}

// answerBytes returns the bytes of an answer from a text such as "200 body". "503! body" adds X-Rejected: 1.
func answerBytes(text string) string {
	status, body, _ := strings.Cut(text, " ")
	field := ""
	if plain, ok := strings.CutSuffix(status, "!"); ok {
		status, field = plain, "X-Rejected: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s Word\r\n%sContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

func (s *timeline) request(id, class string) {
	s.open(id, "c1", "n1:9000")
	s.send(id, false, requestBytes(id, class))
}

const (
	// longRequestArrived is the number of bytes of a longRequest that reach the node's machine.
	longRequestArrived = 70 << 10
	// longRequestRead is the number of these that a node reads which holds the others back.
	longRequestRead = 32 << 10
)

// longRequest lets a client send a long request, of which a part arrives and read bytes are read, and waits until half
// a second after its time. It returns the bytes of the request.
func (s *timeline) longRequest(read int) string {
	body := strings.Repeat("x", 2*maxBufferedBody)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	all := strings.Replace(requestBytes("a", "book"), "Content-Length: 4\r\n\r\nbody", length+body, 1)
	s.open("a", "c1", "n1:9000")
	s.networkEvent(link.Sent, "a", false, all, "")
	s.networkEvent(link.Arrived, "a", false, all[:longRequestArrived], "")
	s.networkEvent(link.Read, "a", false, all[:read], "")
	s.advance(2 * time.Second)
	return all
}

// forwardAfterClientLeft lets the client of a long request leave, end its node's side if nodeEnds is set, and the node
// complete its attempt once the rest of the request has arrived, long after that.
func (s *timeline) forwardAfterClientLeft(nodeEnds bool) {
	all := s.longRequest(longRequestArrived)
	s.open("a1", "n1", "p1:9")
	s.send("a1", false, all[:longRequestArrived])
	s.closeConn("a", false, "")
	if nodeEnds {
		s.closeConn("a", true, "")
	}
	s.advance(retention + ms)
	s.advance(retention + ms)
	s.send("a1", false, all[longRequestArrived:])
}

func (s *timeline) answer(id, text string)     { s.send(id, true, answerBytes(text)) }
func (s *timeline) attempt(conn, class string) { s.attemptAt(conn, "p1", class) }
func (s *timeline) attemptAt(conn, peer, class string) {
	s.open(conn, "n1", peer+":9")
	s.send(conn, false, requestBytes(conn[:1], class))
}
func (s *timeline) serveCall(id, class string) {
	s.request(id, class)
	s.attempt(id+"1", class)
	s.peerAnswer(id+"1", "200 "+id)
	s.answer(id, "200 "+id)
}

// answerInParts is the first part of an answer whose body is "abc".
var answerInParts = "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", answerHeadSize) + "\r\nContent-Length: 3\r\n\r\na"

// beginAnswerInParts sends a call to a peer, which begins to answer it in parts.
func (s *timeline) beginAnswerInParts(attempt string) {
	s.request("a", "quote")
	s.attempt(attempt, "quote")
	s.j.PeerAnswersInParts("p1", "a")
	s.send(attempt, true, answerInParts)
}
func (s *timeline) peerAnswer(conn, text string) { s.send(conn, true, answerBytes(text)) }
func (s *timeline) closeConn(conn string, back bool, note string) {
	s.networkEvent(link.Closed, conn, back, "", note)
}

// poll sends a poll from the node to discovery.
func (s *timeline) poll(conn, query string) {
	s.open(conn, "n1", "d:1")
	s.send(conn, false, "GET /registry/instances"+query+" HTTP/1.1\r\nHost: d\r\n\r\n")
}

// listAnswer returns an answer of discovery with entries such as "p1=Ready"; "p1=Ready@7" adds the start time in ms.
func listAnswer(version int, full bool, entries ...string) string {
	var listed []string
	for _, e := range entries {
		name, state, _ := strings.Cut(e, "=")
		state, started, _ := strings.Cut(state+"@0", "@")
		started, _, _ = strings.Cut(started, "@")
		const form = `{"id":%q,"addr":"%[1]s:9","state":%q,"started_ms":%s}`
		listed = append(listed, fmt.Sprintf(form, name, state, started))
	}
	servers := strings.Join(listed, ",")
	return answerBytes(fmt.Sprintf(`200 {"version":%d,"full":%v,"servers":[%s]}`, version, full, servers))
}

// peerLeaves lists p1 as Terminating and notifies the node of that.
func (s *timeline) peerLeaves() {
	s.j.PeerListed(3, "p1", "p1:9", terminating, 0)
	s.poll("d", "?after=2&wait_ms=2000")
	s.send("d", true, listAnswer(3, false, "p1=Terminating"))
}

// discoveryFails answers the only poll of the node with 503 and lists p1 as Gone after that.
func (s *timeline) discoveryFails() {
	s.poll("d", "")
	s.send("d", true, answerBytes("503 "))
	s.j.PeerListed(3, "p1", "p1:9", gone, 0)
}

// coldAttempts lists a cold start of p1, notifies the node of it if notified is true, and sends n calls with 0.1 s of
// work each to p1.
func (s *timeline) coldAttempts(notified bool, n int) {
	s.advance(time.Second)
	s.j.PeerStarted("p1", "p1:9", true)
	s.j.PeerListed(3, "p1", "p1:9", ready, s.now)
	s.advance(ms)
	if notified {
		s.poll("d", "")
		s.send("d", true, listAnswer(3, true, "p1=Ready@7", "p2=Ready"))
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

func withoutHedging(c *world.Contract)      { c.SecondCopies = false }
func withoutHealthChecks(c *world.Contract) { c.Probes = false }
func keepDroppedPeers(c *world.Contract)    { c.DroppedStay = true }

// ruleCase is a sequence of events and the rule that it violates.
type ruleCase struct {
	name, rule     string                // rule "": no violation
	changeContract func(*world.Contract) // modifies the contract; may be nil
	events         func(s *timeline)     // produces the events
}

// ruleCases lists each violation before the most similar sequence without one.
var ruleCases = []ruleCase{
	{"served", "", nil, func(s *timeline) { s.serveCall("a", "quote"); s.serveCall("b", "book") }},

	{"closed after reading the request", Lost, nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", true, "")
	}},
	{"closed in the middle of the answer", Lost, nil, func(s *timeline) {
		s.request("a", "quote")
		s.send("a", true, answerBytes("200 long")[:40])
		s.closeConn("a", true, "")
	}},
	{"answer truncated like the peer's", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, answerBytes("200 long")[:40])
		s.networkEvent(link.Reset, "a1", false, "", "")
		s.send("a", true, answerBytes("200 long")[:40])
		s.closeConn("a", true, "")
	}},
	{"closed before reading the request", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.networkEvent(link.Sent, "a", false, requestBytes("a", "quote"), "")
		s.networkEvent(link.Arrived, "a", false, requestBytes("a", "quote"), "")
		s.closeConn("a", true, "unread")
	}},
	{"client closes first", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.closeConn("a", true, "")
	}},
	{"connection reset in transit", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.networkEvent(link.Reset, "a", true, "", "reset")
	}},
	{"request never arrives", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.networkEvent(link.Sent, "a", false, requestBytes("a", "quote"), "")
		s.advance(time.Second)
	}},
	{"killed", "", nil, func(s *timeline) { s.request("a", "quote"); s.j.NodeKilled("n1"); s.advance(time.Second) }},
	{"closed and killed at the same instant", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.j.Observe(link.Event{At: s.now, Kind: link.Closed, Conn: "a", Back: true})
		s.j.NodeKilled("n1")
	}},
	{"killed at the end of a shutdown, request long after SIGTERM", Lost, nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(2300 * ms)
		s.request("a", "quote")
		s.networkEvent(link.Reset, "a", true, "", "killed")
		s.j.NodeKilled("n1")
	}},
	{"killed at the end of a shutdown, request soon after SIGTERM", "", nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(740 * ms)
		s.request("a", "book")
		s.advance(1460 * ms)
		s.j.NodeKilled("n1")
	}},
	{"killed before the end of a shutdown", "", nil, func(s *timeline) {
		s.j.NodeSignaled("n1", "SIGTERM", "")
		s.advance(time.Second)
		s.request("a", "quote")
		s.j.NodeKilled("n1")
	}},
	{"request sent while the node closes", "", nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.closeConn("a", true, "")
		s.networkEvent(link.Sent, "a", false, requestBytes("b", "quote"), "")
		s.networkEvent(link.Arrived, "a", false, requestBytes("b", "quote"), "")
		s.advance(time.Second)
	}},
	{"unanswered at the end of the run", Lost, nil, func(s *timeline) { s.request("a", "quote"); s.j.Finish(s.now) }},
	{"next request read with one whose answer announces a close", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.send("a", false, requestBytes("a", "quote")+requestBytes("b", "quote"))
		s.send("a", true, "HTTP/1.1 502 Bad\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		s.closeConn("a", true, "")
	}},

	{"answer after the deadline", Late, nil, func(s *timeline) {
		s.request("a", "quote")
		s.advance(550 * ms)
		s.answer("a", "504 ")
	}},
	{"answer just before the deadline", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.advance(546 * ms)
		s.answer("a", "504 ")
	}},
	{"long request held back", Late, nil, func(s *timeline) { s.longRequest(longRequestRead) }},
	{"long request whose rest is on its way", "", nil, func(s *timeline) { s.longRequest(longRequestArrived) }},
	{"long request that still arrives after its client left", "", nil, func(s *timeline) {
		s.forwardAfterClientLeft(false)
	}},
	{"long request that its node ended after its client left", Hidden, nil, func(s *timeline) {
		s.forwardAfterClientLeft(true)
	}},
	{"slow transit to the node", "", nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.networkEvent(link.Sent, "a", false, requestBytes("a", "quote"), "")
		s.advance(200 * ms)
		s.networkEvent(link.Arrived, "a", false, requestBytes("a", "quote"), "")
		s.advance(510 * ms)
		s.answer("a", "504 ")
	}},
	{"request behind another one", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.send("a", false, requestBytes("b", "quote"))
		s.advance(400 * ms)
		s.answer("a", "502 ")
		s.advance(400 * ms)
		s.answer("a", "502 ")
	}},

	{"two answers", Twice, nil, func(s *timeline) { s.serveCall("a", "quote"); s.answer("a", "200 a") }},
	{"bytes after the answer", Twice, nil, func(s *timeline) {
		s.request("a", "quote")
		s.answer("a", "502 ")
		s.send("a", true, "x")
	}},
	{"answer before the request arrives", Twice, nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.networkEvent(link.Sent, "a", false, requestBytes("b", "quote"), "")
		s.answer("a", "502 ")
	}},
	{"one answer for each request, with a 100 before it", "", nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.send("a", false, requestBytes("b", "quote"))
		s.send("a", true, "HTTP/1.1 100 Continue\r\n\r\n"+answerBytes("502 "))
	}},

	{"body differs from the peer's", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.peerAnswer("a1", "200 abc")
		s.answer("a", "200 abd")
	}},
	{"body of an answer with status 500", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.peerAnswer("a1", "500 abc")
		s.answer("a", "200 abc")
	}},
	{"body of bytes after an earlier answer", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, answerBytes("200 a")+answerBytes("200 more"))
		s.answer("a", "200 a")
		s.request("b", "quote")
		s.send("a1", false, requestBytes("b", "quote"))
		s.answer("b", "200 more")
	}},
	{"body of surplus bytes in transit when the attempt is sent", Wrong, nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.request("b", "quote")
		s.networkEvent(link.Sent, "a1", false, requestBytes("b", "quote"), "")
		s.peerAnswer("a1", "200 more")
		s.answer("b", "200 more")
	}},
	{"peer's answer cut by its own length", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.j.PeerMisframed("p1", "a")
		s.peerAnswer("a1", "200 a")
		s.answer("a", "200 a")
	}},
	{"peer's answer with two lengths", Wrong, nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.send("a1", true, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na")
		s.answer("a", "200 a")
	}},
	{"same body in chunks and pieces, after a 1xx", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		text := "HTTP/1.1 103 Hint\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x\r\nc\r\n0\r\n\r\n"
		for part := range slices.Chunk([]byte(text), 3) {
			s.send("a1", true, string(part))
		}
		s.answer("a", "200 abc")
	}},

	{"refused while a peer's answer in parts arrives", Lost, nil, func(s *timeline) {
		s.beginAnswerInParts("a1")
		s.advance(400 * ms)
		s.answer("a", "503 ")
	}},
	{"cut while a peer's answer in parts arrives", Lost, nil, func(s *timeline) {
		s.beginAnswerInParts("a1")
		s.send("a", true, answerInParts)
		s.advance(time.Second)
		s.closeConn("a1", false, "")
		s.closeConn("a", true, "")
		s.advance(time.Second)
	}},
	{"answer in parts passed on beyond its time", "", nil, func(s *timeline) {
		s.beginAnswerInParts("a1")
		s.send("a", true, answerInParts)
		s.advance(time.Second)
		s.send("a1", true, "bc")
		s.send("a", true, "bc")
	}},
	{"answer in parts given up after a long pause", "", nil, func(s *timeline) {
		s.beginAnswerInParts("a1")
		s.send("a", true, answerInParts)
		s.advance(maxAnswerPause)
		s.closeConn("a1", false, "")
		s.closeConn("a", true, "")
		s.advance(time.Second)
	}},

	{"retry of an attempt that may have run", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.networkEvent(link.Reset, "a1", false, "", "reset")
		s.attemptAt("a2", "p2", "book")
	}},
	{"retry after a 503 without proof", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.peerAnswer("a1", "503 ")
		s.attempt("a2", "book")
	}},
	{"retry while the proof is in transit", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.networkEvent(link.Sent, "a1", true, answerBytes("503! "), "")
		s.attempt("a2", "book")
	}},
	{"retry of an attempt that did not run", "", nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.peerAnswer("a1", "503! ")
		s.open("a2", "n1", "p2:9")
		s.networkEvent(link.Sent, "a2", false, requestBytes("a", "book")[:99], "")
		s.networkEvent(link.Reset, "a2", false, "", "reset")
		s.attempt("a3", "book")
	}},
	{"rejected after an attempt that may have run", Effect, nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.answer("a", "503 ")
	}},
	{"failed after an attempt that may have run", "", nil, func(s *timeline) {
		s.request("a", "book")
		s.attempt("a1", "book")
		s.answer("a", "502 ")
	}},
	{"rejected idempotent request", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.answer("a", "429 ")
	}},
	{"hedged request, not allowed", Effect, withoutHedging, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.attempt("a2", "quote")
	}},
	{"hedged request, allowed", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.attempt("a2", "quote")
	}},
	{"attempt cancelled for another at the same instant", "", withoutHedging, func(s *timeline) {
		s.request("a", "quote")
		s.attempt("a1", "quote")
		s.open("a2", "n1", "p2:9")
		s.j.Observe(link.Event{At: s.now, Kind: link.Sent, Conn: "a2", Data: []byte(requestBytes("a", "quote"))})
		s.closeConn("a1", false, "")
	}},
	{"four attempts with a limit of three", Effect, nil, func(s *timeline) {
		s.request("a", "quote")
		for i := range 4 {
			s.attempt(fmt.Sprint("a", i), "quote")
		}
	}},

	{"attempt without a request", Hidden, nil, func(s *timeline) { s.attempt("a1", "quote") }},
	{"attempt with another body", Hidden, nil, func(s *timeline) {
		s.request("a", "book")
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, strings.Replace(requestBytes("a", "book"), "body", "bodz", 1))
	}},
	{"attempt begun before the request was accepted", Hidden, nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.send("a", false, requestBytes("a", "book")[:100])
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, requestBytes("a", "book")[:100])
		s.send("a", false, requestBytes("a", "book")[100:])
		s.send("a1", false, requestBytes("a", "book")[100:])
	}},
	{"request on a connection that is not open", Hidden, nil, func(s *timeline) {
		s.ends["a"] = [2]string{"c1", "n1:9000"}
		s.networkEvent(link.Dial, "a", false, "", "")
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"attempt after the answer", Hidden, nil, func(s *timeline) {
		s.request("a", "quote")
		s.answer("a", "502 ")
		s.attempt("a1", "quote")
	}},
	{"attempt after a reset behind unread bytes", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.networkEvent(link.Sent, "a", false, requestBytes("b", "quote"), "")
		s.networkEvent(link.Arrived, "a", false, requestBytes("b", "quote"), "")
		s.networkEvent(link.Reset, "a", true, "", "reset")
		s.advance(10 * ms)
		s.attempt("a1", "quote")
	}},
	{"attempt after the client's close has arrived", Hidden, nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.networkEvent(link.Arrived, "a", false, "", "fin")
		s.advance(60 * ms)
		s.attempt("a1", "quote")
	}},
	{"attempt while the client's close is in transit", "", nil, func(s *timeline) {
		s.request("a", "quote")
		s.closeConn("a", false, "")
		s.attempt("a1", "quote")
	}},
	{"attempt without a call ID", Hidden, nil, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /api HTTP/1.1\r\n\r\n")
	}},
	{"health check, allowed", "", nil, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\n\r\n")
	}},
	{"health check, not allowed", Hidden, withoutHealthChecks, func(s *timeline) {
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "GET /health/live HTTP/1.1\r\n\r\n")
	}},

	{"attempt after the grace", Drain, nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2550 * ms)
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"attempt within the grace", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2540 * ms)
		s.request("a", "quote")
		s.attempt("a1", "quote")
	}},
	{"attempt begun within the grace", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.advance(2500 * ms)
		s.request("a", "quote")
		s.open("a1", "n1", "p1:9")
		s.send("a1", false, "G")
		s.advance(100 * ms)
		s.send("a1", false, requestBytes("a", "quote")[1:])
	}},
	{"peer is ready again", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.j.PeerListed(4, "p1", "p1:9", ready, s.now)
		s.send("d", false, "GET /registry/instances?after=3&wait_ms=9 HTTP/1.1\r\n\r\n")
		s.send("d", true, listAnswer(4, false, "p1=Ready"))
		s.advance(4 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"peer missing in a complete list", Drain, nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listAnswer(9, true, "p2=Ready"))
		s.advance(2600 * ms)
		s.serveCall("a", "quote")
	}},
	{"peer gone, dropped peers may stay in use", "", keepDroppedPeers, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listAnswer(9, true, "p2=Ready"))
		s.advance(2600 * ms)
		s.serveCall("a", "quote")
	}},
	{"poll without an answer, after the grace", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.closeConn("d", false, "") // the node abandons the poll
		s.closeConn("d", true, "")
		s.advance(6555 * ms)
		s.serveCall("a", "quote")
	}},
	{"poll without an answer, within the grace", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.advance(6530 * ms)
		s.serveCall("a", "quote")
	}},
	{"connection of the poll reset", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.networkEvent(link.Reset, "d", false, "", "reset")
		s.advance(8 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"notified of Ready before the time limit", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.closeConn("d", false, "")
		s.j.PeerListed(4, "p1", "p1:9", ready, s.now)
		s.poll("d2", "?after=2&wait_ms=2000")
		s.send("d2", true, listAnswer(4, false, "p1=Ready"))
		s.advance(8 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"answer of discovery cannot be parsed", "", nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.poll("d", "?after=2&wait_ms=2000")
		s.send("d", true, answerBytes(`200 {"version":3,"full":false,"servers":[{"id":"p1"`))
		s.advance(8 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"no poll, after the time limit", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.advance(12551 * ms)
		s.serveCall("a", "quote")
	}},
	{"failed poll, after the time limit", Drain, nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(8551 * ms)
		s.serveCall("a", "quote")
	}},
	{"failed poll, within the grace", "", nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(8530 * ms)
		s.serveCall("a", "quote")
	}},
	{"failed poll while discovery is down", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(40 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"failed poll, node partitioned from discovery", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("n1", "d:1", false)
		s.discoveryFails()
		s.advance(40 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"failed poll, another node partitioned", Drain, nil, func(s *timeline) {
		s.discoveryFails()
		s.j.DiscoveryReachable("n2", "d:1", false)
		s.advance(8551 * ms)
		s.serveCall("a", "quote")
	}},
	{"discovery is up again, after the grace", Drain, nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(10 * time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8551 * ms)
		s.serveCall("a", "quote")
	}},
	{"discovery is up again, within the grace", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.advance(10 * time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8530 * ms)
		s.serveCall("a", "quote")
	}},
	{"discovery is up and down again before the time limit", "", nil, func(s *timeline) {
		s.discoveryFails()
		s.advance(5990 * ms)
		s.j.DiscoveryReachable("", "d:1", false)
		s.advance(time.Second)
		s.j.DiscoveryReachable("", "d:1", true)
		s.advance(8530 * ms)
		s.serveCall("a", "quote")
	}},
	{"discovery is up at its other address", "", nil, func(s *timeline) {
		s.j.DiscoveryReachable("", "d:1", false)
		s.discoveryFails()
		s.j.DiscoveryReachable("", "e:1", true)
		s.advance(40 * time.Second)
		s.serveCall("a", "quote")
	}},
	{"moved to another discovery", Drain, nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listAnswer(2, true, "p1=Ready", "p2=Ready"))
		s.j.NodeSignaled("n1", "SIGHUP", "e:1")
		s.j.PeerListed(1500, "p1", "p1:9", gone, 0)
		s.send("d", false, "GET /registry/instances HTTP/1.1\r\n\r\n")
		s.send("d", true, listAnswer(1400, true, "p1=Ready", "p2=Ready")) // from the previous discovery
		s.advance(6550 * ms)
		s.serveCall("a", "quote")
	}},
	{"reload without a change of discovery", "", nil, func(s *timeline) {
		s.poll("d", "")
		s.send("d", true, listAnswer(2, true, "p1=Ready", "p2=Ready"))
		s.j.NodeSignaled("n1", "SIGHUP", "d:1")
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.advance(6550 * ms)
		s.serveCall("a", "quote")
	}},
	{"started with a list in which the peer is gone", Drain, nil, func(s *timeline) {
		s.j.PeerListed(3, "p1", "p1:9", gone, 0)
		s.j.NodeKilled("n1")
		s.j.NodeStarted("n1", 3)
		s.advance(2550 * ms)
		s.serveCall("a", "quote")
	}},
	{"started with an older list in which the peer is ready", "", nil, func(s *timeline) {
		s.peerLeaves()
		s.j.NodeKilled("n1")
		s.j.NodeStarted("n1", 2)
		s.advance(2550 * ms)
		s.serveCall("a", "quote")
	}},

	{"overloaded while cold", Cold, nil, func(s *timeline) { s.coldAttempts(true, 12) }},
	{"loaded up to the limit while cold", "", nil, func(s *timeline) { s.coldAttempts(true, 11) }},
	{"overloaded while cold by a node that was not notified", "", nil, func(s *timeline) { s.coldAttempts(false, 12) }},

	{"malformed input served", Bad, nil, func(s *timeline) {
		s.open("a", "c1", "n1:9000")
		s.j.MalformedInput("a", "noise", 3*time.Second)
		s.send("a", false, "noise\r\n")
		s.answer("a", "200 ")
	}},
	{"malformed request sent to a peer", Bad, nil, func(s *timeline) {
		s.j.MalformedInput("a", "class", 3*time.Second)
		s.request("a", "nonsense")
		s.attempt("a1", "nonsense")
	}},
	{"malformed input without an error or a close", Bad, nil, func(s *timeline) {
		s.j.MalformedInput("a", "silence", 3*time.Second)
		s.open("a", "c1", "n1:9000")
		s.advance(3051 * ms)
	}},
	{"malformed input answered with an error", "", nil, func(s *timeline) {
		s.j.MalformedInput("a", "class", 3*time.Second)
		s.request("a", "nonsense")
		s.answer("a", "400 ")
		s.advance(4 * time.Second)
	}},
	{"malformed input answered with a close", "", nil, func(s *timeline) {
		s.serveCall("a", "quote")
		s.j.MalformedInput("a", "noise", 3*time.Second)
		s.send("a", false, "noise\r\n")
		s.advance(3 * time.Second)
		s.closeConn("a", true, "unread")
		s.advance(time.Second)
	}},
}

func TestRules(t *testing.T) {
	violated := map[string]bool{Crash: true, Rest: true}
	for _, c := range slices.Concat(ruleCases, commandCases) {
		t.Run(c.name, func(t *testing.T) {
			s := newTimeline(c.changeContract)
			c.events(s)
			s.advance(2 * time.Millisecond)
			v := s.j.Violations()
			switch {
			case c.rule == "" && len(v) > 0:
				t.Errorf("got violations %v, want none", v)
			case c.rule != "" && (len(v) != 1 || v[0].Rule != c.rule):
				t.Errorf("got violations %v, want one violation of %q", v, c.rule)
			}
		})
		violated[c.rule] = true
	}
	for _, name := range Names() {
		if !violated[name] {
			t.Errorf("no case violates rule %q", name)
		}
	}
}

// TestStateIsBounded checks that the stored violations and the state that is kept in a long run are bounded.
func TestStateIsBounded(t *testing.T) {
	s := newTimeline(nil)
	for i := range 25 {
		s.attempt(fmt.Sprint("a", i), "quote")
	}
	if v := s.j.Violations(); len(v) != maxViolations || s.j.OmittedCount() != 5 {
		t.Errorf("got %d violations and %d omitted, want 20 and 5", len(v), s.j.OmittedCount())
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
		t.Errorf("after the run: %d calls and %d connections kept, want at most 25; %d timers, want 0",
			len(n.calls), len(n.conns), len(s.j.timers))
	}
}
