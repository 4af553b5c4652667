package network

import (
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/world"
)

func hostIs(host string) func(string) bool { return func(h string) bool { return h == host } }

func anyHost(string) bool { return true }

// TestFaults checks the responses that a node gets from a peer on one connection, each requested at a given instant,
// while faults start and end.
func TestFaults(t *testing.T) {
	type step struct {
		at    time.Duration
		fault func(n *Net)
	}
	var heal func()
	cut := func(n *Net) { heal = n.Cut(hostIs("n1"), hostIs("p1")) }
	healed := func(*Net) { heal() }
	vanish := func(host string) func(n *Net) { return func(n *Net) { n.Vanish(host) } }
	back := func(host string) func(n *Net) { return func(n *Net) { n.Return(host) } }
	kill := func(n *Net) { n.Kill("p1") }
	const none = -time.Millisecond // no response
	type times = []time.Duration
	tests := []struct {
		name          string
		steps         []step
		requestsAt    times
		responseTimes times // until the response; none if there is no response
		peekError     error // of the final Peek; nil: not checked
		requests      int   // number of requests that the peer received
		dialSucceeds  bool  // a new connection can be established at 3 s
		peerError     error // the first error that the peer's handler receives
	}{
		{"none", nil, times{100 * ms, 200 * ms}, times{2 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"cut and healed within a second", []step{{90 * ms, cut}, {600 * ms, healed}},
			times{100 * ms, 700 * ms}, times{502 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"cut for longer", []step{{90 * ms, cut}, {1200 * ms, healed}},
			times{100 * ms, 2000 * ms}, times{none, none}, syscall.EAGAIN, 0, true, nil},
		{"cut for longer, request sent within the last second", []step{{90 * ms, cut}, {1200 * ms, healed}},
			times{600 * ms}, times{602 * ms}, nil, 1, true, link.ErrEOF},
		{"cut between other machines", []step{{90 * ms, func(n *Net) { n.Cut(hostIs("n1"), hostIs("p2")) }}},
			times{100 * ms}, times{2 * ms}, nil, 1, true, link.ErrEOF},
		{"cut while the response is in flight", []step{{101*ms + ms/2, cut}, {400 * ms, healed}},
			times{100 * ms}, times{301 * ms}, nil, 1, true, link.ErrEOF},
		{"vanished", []step{{90 * ms, vanish("p1")}},
			times{100 * ms}, times{none}, syscall.EAGAIN, 0, false, nil},
		{"vanished while the request is in flight", []step{{100*ms + ms/2, vanish("p1")}},
			times{100 * ms}, times{none}, syscall.EAGAIN, 0, false, nil},
		{"vanished and back", []step{{90 * ms, vanish("p1")}, {200 * ms, back("p1")}},
			times{100 * ms, 400 * ms}, times{none, none}, syscall.ECONNRESET, 0, true, link.ErrReset},
		{"node vanished between requests", []step{{90 * ms, vanish("n1")}, {200 * ms, back("n1")}},
			times{400 * ms}, times{none}, syscall.ECONNRESET, 0, true, link.ErrReset},
		{"silenced", []step{{150 * ms, func(n *Net) { n.Hush(anyHost) }}},
			times{100 * ms, 200 * ms, 800 * ms}, times{2 * ms, none, none}, syscall.EAGAIN, 1, true, nil},
		{"another connection silenced", []step{{50 * ms, func(n *Net) { n.Hush(hostIs("n1>p1#2")) }}},
			times{100 * ms}, times{2 * ms}, nil, 1, true, link.ErrEOF},
		{"slow", []step{{90 * ms, func(n *Net) { heal = n.Slow(3, hostIs("p1"), anyHost) }}, {200 * ms, healed}},
			times{100 * ms, 300 * ms}, times{6 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"killed between request and response", []step{{101*ms + ms/2, kill}},
			times{100 * ms}, times{2 * ms}, syscall.ECONNRESET, 1, false, nil},
		{"killed before the request", []step{{100*ms + ms/2, kill}},
			times{100 * ms}, times{none}, syscall.ECONNRESET, 0, false, nil},
	}
	for _, test := range tests {
		e, requests := &recordingHandler{end: link.Conn.Close}, 0
		e.data = func(c link.Conn) { requests++; c.Write([]byte("answer")) }
		l := runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.listen("p1:90", e)
			for _, s := range test.steps {
				l.at(s.at, func() { s.fault(l.Net) })
			}
			l.at(3*time.Second, func() {
				again := &recordingHandler{up: link.Conn.Close, end: link.Conn.Close, network: l}
				l.Dial("c1", "p1:90", time.Second, again)
				l.at(5*time.Second, func() {
					if up := len(again.endErrors) == 0; up != test.dialSucceeds {
						t.Errorf("%s: new connection ended with %v, want the opposite result", test.name, again.endErrors)
					}
					e.first.Close() // a connection that fell silent ends only by its own close
				})
			})
			l.at(2900*ms, func() { // the node has closed its end
				if got := append(e.endErrors, nil)[0]; got != test.peerError {
					t.Errorf("%s: the peer's handler received %v, want %v", test.name, got, test.peerError)
				}
			})
			l.dialFromNode("p1:90", func(p *port) {
				var err error
				for i, at := range test.requestsAt {
					time.Sleep(at - l.loop.Now())
					p.Write([]byte("request"))
					p.SetReadDeadline(time.Now().Add(690 * ms))
					took := none
					var n int
					if n, err = p.Read(make([]byte, 9)); n > 0 {
						took = (l.loop.Now() - at).Truncate(ms / 2)
					}
					if took != test.responseTimes[i] {
						t.Errorf("%s: response %d after %v, want %v (read error %v)", test.name, i, took, test.responseTimes[i], err)
					}
				}
				time.Sleep(2500*ms - l.loop.Now())
				if _, err = p.Peek(); test.peekError != nil && !errors.Is(err, test.peekError) {
					t.Errorf("%s: final Peek returned %v, want %v", test.name, err, test.peekError)
				}
			})
		})
		if requests != test.requests {
			t.Errorf("%s: the peer received %d requests, want %d; events %q", test.name, requests, test.requests, l.events)
		}
	}
}

// TestHushNew checks that a connection selected to fall silent does so after one of its requests was delivered and
// before any byte of the response, and that every run selects the same connections.
func TestHushNew(t *testing.T) {
	run := func(before, after int) (silent []string) {
		var mu sync.Mutex
		config := world.Net{Same: figure.Span(ms / 20), Jitter: 0.5, Pieces: 0.5}
		l := runNetwork(t, config, func(l *testNetwork) {
			got := map[link.Conn]string{}
			respond := func(c link.Conn) { c.Write([]byte("answer")) }
			onRequest := func(e *recordingHandler, then func(c link.Conn)) *recordingHandler {
				e.data = func(c link.Conn) {
					got[c] += string(e.received)
					e.received = nil
					if strings.HasSuffix(got[c], "request") {
						then(c)
					}
				}
				return e
			}
			l.listen("p1:90", onRequest(&recordingHandler{}, respond))
			l.listen("p2:90", onRequest(&recordingHandler{}, func(c link.Conn) {
				l.loop.After(5*ms, func() {
					audible := !c.(*end).conn.silent
					if respond(c); audible && c.(*end).conn.silent {
						t.Errorf("%s fell silent only when the response was sent", c.ID())
					}
				})
			}))
			sendRequests := func(to string) {
				l.dialFromNode(to, func(p *port) {
					for l.loop.Now() < time.Second {
						p.Write([]byte("request"))
						p.SetReadDeadline(time.Now().Add(50 * ms))
						if _, err := io.ReadFull(p, make([]byte, 6)); err != nil {
							mu.Lock()
							defer mu.Unlock()
							silent = append(silent, p.id)
							return
						}
						time.Sleep(20 * ms)
					}
				})
			}
			for range before {
				sendRequests("p1:90")
			}
			var stop func()
			l.at(100*ms, func() {
				stop = l.HushNew(0.5, func(host string) bool { return host != "p3" })
				l.listen("p3:90", onRequest(&recordingHandler{end: link.Conn.Close}, respond))
				for range 40 {
					sendRequests("p1:90")
					sendRequests("p2:90")
					sendRequests("p3:90")
				}
			})
			l.at(796*ms, func() {
				for range after {
					sendRequests("p1:90")
				}
			})
			l.at(796*ms+ms/20, func() { stop() }) // before any of these connections has sent a request
			l.at(2*time.Second, func() {
				for c := range got {
					c.Close()
				}
			})
		})
		for _, id := range silent {
			onRequest := strings.Count(l.bytes[id+" arrived false"], "request")
			if got := strings.Count(l.bytes[id+" arrived true"], "answer"); onRequest != got+1 {
				t.Errorf("%s: %d requests and %d responses arrived, want one response less than requests", id, onRequest, got)
			}
		}
		slices.Sort(silent)
		return silent
	}
	first := run(0, 0)
	other := func(id string) bool { return strings.HasPrefix(id, "n1>p3#") }
	if len(first) < 20 || len(first) > 60 || slices.ContainsFunc(first, other) {
		t.Errorf("%d connections fell silent, want 20 to 60 of the 80 to p1 and p2: %v", len(first), first)
	}
	if second := run(0, 20); !slices.Equal(first, second) {
		t.Errorf("the second run silenced other connections: %v, then %v", first, second)
	}
	older := func(id string) bool { return len(id) == 7 && id[:5] == "n1>p1" && id < "n1>p1#6" }
	if third := run(5, 0); slices.ContainsFunc(third, older) {
		t.Errorf("connections older than the fault fell silent: %v", third)
	}
}
