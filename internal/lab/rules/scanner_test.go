package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/lab/link"
)

// scanInPieces passes text to a scanner in pieces of n bytes and returns a description of all events.
func scanInPieces(answers bool, text string, n int) string {
	s := scanner{answers: answers, storeBody: true}
	var found strings.Builder
	for len(text) > 0 {
		piece := []byte(text[:min(n, len(text))])
		text = text[len(piece):]
		for {
			n, e := s.next(piece)
			piece = piece[n:]
			switch e {
			case messageComplete:
				m := s.message
				fmt.Fprintf(&found, "%s%s%d id=%s %v ", m.method, m.target, m.status, m.id, m.budget)
				fmt.Fprintf(&found, "%q %t;", m.storedBody, m.close)
			case malformedMessage:
				return found.String() + "spoilt"
			case needMore:
				if n == 0 {
					goto next
				}
			}
		}
	next:
	}
	if s.end() {
		fmt.Fprintf(&found, "end %q", s.message.storedBody)
	} else if s.step != nil {
		found.WriteString("open")
	}
	return found.String()
}

func TestScanner(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, text, want string
	}{
		{"one request", "GET /a HTTP/1.1\r\nx-call-ID: 7\r\nX-Budget: 0.5\r\n\r\n", `GET/a0 id=7 500ms "" false;`},
		{"two requests", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n",
			`POST/a0 id= 0s "hi" false;GET/b0 id= 0s "" false;`},
		{"one answer", ok + "Connection: x, Close\r\nContent-Length: 2\r\n\r\nhi", `200 id= 0s "hi" true;`},
		{"chunked answer", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n01 ;x\r\ni\r\n0\r\nA: b\r\n\r\n",
			`200 id= 0s "hi" false;`},
		{"answers without a body", "HTTP/1.1 304 N\r\nContent-Length: 9\r\n\r\nHTTP/1.1 204 N\r\n\r\n",
			`304 id= 0s "" false;204 id= 0s "" false;`},
		{"body until the end of the connection", ok + "\r\nhi", `end "hi"`},
		{"truncated body", ok + "Content-Length: 3\r\n\r\nhi", "open"},
		{"truncated chunk", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhi", "open"},
		{"two lengths", ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "spoilt"},
		{"length and coding", ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi", "spoilt"},
		{"other coding", ok + "Transfer-Encoding: gzip\r\n\r\nhi", "spoilt"},
		{"negative length", ok + "Content-Length: -2\r\n\r\nhi", "spoilt"},
		{"invalid chunk size", ok + "Transfer-Encoding: chunked\r\n\r\nx\r\nhi", "spoilt"},
		{"chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n", "spoilt"},
		{"field without a colon", ok + "Content\r\n\r\n", "spoilt"},
		{"space before the colon", ok + "A : b\r\n\r\n", "spoilt"},
		{"bare line feed", "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n", "spoilt"},
		{"invalid status", "HTTP/1.1 2x0 OK\r\n\r\n", "spoilt"},
		{"unknown version", "HTTP/9 200\r\n\r\n", "spoilt"},
		{"binary data", "\x16\x03\x01\r\n", "spoilt"},
		{"head over the size limit", ok + strings.Repeat("A: b\r\n", 20000), "spoilt"},
	} {
		answers := !strings.Contains(c.text[:min(12, len(c.text))], " /")
		for _, n := range []int{1, 2, 3, 7, 64, len(c.text)} {
			if got := scanInPieces(answers, c.text, n); got != c.want {
				t.Errorf("%s, pieces of %d: got %s, want %s", c.name, n, got, c.want)
			}
		}
	}
}

// FuzzJudge checks that the judge survives any sequence of events and bytes.
func FuzzJudge(f *testing.F) {
	pieces := []string{
		requestBytes("a", "quote"), requestBytes("a", "book"), requestBytes("b", "book")[:70], requestBytes("b", "book")[70:],
		answerBytes("200 a"), answerBytes("503! "), answerBytes("200 a")[:30], answerBytes("200 a")[30:],
		"HTTP/1.1 200 OK\r\n\r\nx", "HTTP/1.1 100 C\r\n\r\n", "HEAD / HTTP/1.1\r\n\r\n", "\x00\r\n\r\n",
		"GET /registry/instances?after=1&wait_ms=99 HTTP/1.1\r\n\r\n",
		listAnswer(7, true, "p1=Gone"), listAnswer(1, false),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n", "",
	}
	conns := [][3]string{
		{"a", "c1", "n1:9000"}, {"b", "c2", "n1:9000"}, {"a1", "n1", "p1:9"}, {"b1", "n1", "p2:9"},
		{"d", "n1", "d:1"}, {"e", "n1", "e:1"}, {"x", "y", "z"},
	}
	f.Add([]byte("\x01\x00\x00\x03\x00\x00\x01\x02\x00\x03\x02\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		s := newTimeline(withoutHedging)
		for ; len(in) >= 3; in = in[3:] {
			k, data := conns[int(in[1])%len(conns)], []byte(nil)
			if in[2]%32 < byte(len(pieces)) {
				data = []byte(pieces[in[2]%32])
			} else {
				data = in[:min(len(in), int(in[2]))]
			}
			s.now += time.Duration(in[2]) * ms
			switch kind := link.EventKind(in[0] % 16); kind {
			default:
				s.j.Observe(link.Event{
					At: s.now, Kind: kind % 9, Conn: k[0], From: k[1], To: k[2], Back: in[0] >= 128, Data: data,
				})
			case 9:
				s.j.NodeKilled("n1")
			case 10:
				s.j.NodeStarted("n1", int64(in[2]))
			case 11:
				s.j.MalformedInput(k[0], "fuzz", time.Second)
			case 12:
				s.j.PeerListed(int64(in[2]), "p1", "p1:9", []string{ready, terminating, gone}[in[1]%3], s.now)
			case 13:
				s.j.NodeSignaled("n1", []string{"SIGTERM", "SIGHUP"}[in[1]%2], "e:1")
			case 14:
				s.j.PeerStarted("p1", "p1:9", in[1]%2 == 0)
			case 15:
				s.j.PeerAttempt("p1", "a", 1, 0.1)
			}
			s.j.Tick(s.now)
		}
		s.j.Finish(s.now + time.Minute)
		s.j.Violations()
	})
}

// BenchmarkRun measures the judge on a run of 5,000 calls and 60,000 events.
func BenchmarkRun(b *testing.B) {
	var all []link.Event
	addEvent := func(kind link.EventKind, conn, from, to string, back bool, text string) {
		at := time.Duration(len(all)) * 100 * time.Microsecond
		all = append(all, link.Event{
			At: at, Kind: kind, Conn: conn, From: from, To: to, Back: back, Data: []byte(text),
		})
	}
	response := answerBytes("200 " + strings.Repeat("x", 2000))
	for i := range 5000 {
		c, p := fmt.Sprint("c", i%50), fmt.Sprint("p", i%50)
		if i < 50 {
			addEvent(link.Open, c, "c1", "n1:9000", false, "")
			addEvent(link.Open, p, "n1", "p1:9", false, "")
		}
		request := requestBytes(fmt.Sprint(i), "quote")
		for _, kind := range []link.EventKind{link.Sent, link.Arrived, link.Read} {
			addEvent(kind, c, "c1", "n1:9000", false, request)
		}
		for _, back := range []bool{false, true} {
			for _, kind := range []link.EventKind{link.Sent, link.Arrived, link.Read} {
				addEvent(kind, p, "n1", "p1:9", back, map[bool]string{false: request, true: response}[back])
			}
		}
		for _, kind := range []link.EventKind{link.Sent, link.Arrived, link.Read} {
			addEvent(kind, c, "c1", "n1:9000", true, response)
		}
	}
	for b.Loop() {
		s := newTimeline(nil)
		for _, c := range all {
			s.now = c.At
			s.j.Observe(c)
			s.j.Tick(c.At)
		}
		s.j.Finish(s.now)
		if v := s.j.Violations(); len(v) > 0 {
			b.Fatal(v)
		}
	}
}
