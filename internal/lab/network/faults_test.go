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

// What comes of a node's exchanges with a peer, each begun at an instant on one
// connection, while faults come and go.
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
	const none = -time.Millisecond // no answer
	type times = []time.Duration
	tests := []struct {
		name  string
		steps []step
		asks  times
		took  times // until the answer
		err   error // of the last read
		heard int   // requests that came
		fresh bool  // a new connection works at 3 s
		ended error // what the peer hears last
	}{
		{"none", nil, times{100 * ms, 200 * ms}, times{2 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"cut and healed within a second", []step{{90 * ms, cut}, {600 * ms, healed}},
			times{100 * ms, 700 * ms}, times{502 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"cut for longer", []step{{90 * ms, cut}, {1200 * ms, healed}},
			times{100 * ms, 2000 * ms}, times{none, none}, syscall.EAGAIN, 0, true, nil},
		{"cut for long, little lost", []step{{90 * ms, cut}, {1200 * ms, healed}},
			times{600 * ms}, times{602 * ms}, nil, 1, true, link.ErrEOF},
		{"cut elsewhere", []step{{90 * ms, func(n *Net) { n.Cut(hostIs("n1"), hostIs("p2")) }}},
			times{100 * ms}, times{2 * ms}, nil, 1, true, link.ErrEOF},
		{"cut as the answer comes", []step{{101*ms + ms/2, cut}, {400 * ms, healed}},
			times{100 * ms}, times{301 * ms}, nil, 1, true, link.ErrEOF},
		{"vanished", []step{{90 * ms, vanish("p1")}},
			times{100 * ms}, times{none}, syscall.EAGAIN, 0, false, nil},
		{"vanishes as the request comes", []step{{100*ms + ms/2, vanish("p1")}},
			times{100 * ms}, times{none}, syscall.EAGAIN, 0, false, nil},
		{"vanished and back", []step{{90 * ms, vanish("p1")}, {200 * ms, back("p1")}},
			times{100 * ms, 400 * ms}, times{none, none}, syscall.ECONNRESET, 0, true, link.ErrReset},
		{"vanished unseen", []step{{90 * ms, vanish("n1")}, {200 * ms, back("n1")}},
			times{400 * ms}, times{none}, syscall.ECONNRESET, 0, true, link.ErrReset},
		{"hushed", []step{{150 * ms, func(n *Net) { n.Hush(anyHost) }}},
			times{100 * ms, 200 * ms, 800 * ms}, times{2 * ms, none, none}, syscall.EAGAIN, 1, true, nil},
		{"others hushed", []step{{50 * ms, func(n *Net) { n.Hush(hostIs("n1>p1#2")) }}},
			times{100 * ms}, times{2 * ms}, nil, 1, true, link.ErrEOF},
		{"slow", []step{{90 * ms, func(n *Net) { heal = n.Slow(3, hostIs("p1"), anyHost) }}, {200 * ms, healed}},
			times{100 * ms, 300 * ms}, times{6 * ms, 2 * ms}, nil, 2, true, link.ErrEOF},
		{"killed between request and answer", []step{{101*ms + ms/2, kill}},
			times{100 * ms}, times{2 * ms}, syscall.ECONNRESET, 1, false, nil},
		{"killed before the request", []step{{100*ms + ms/2, kill}},
			times{100 * ms}, times{none}, syscall.ECONNRESET, 0, false, nil},
	}
	for _, test := range tests {
		e, heard := &recordingHandler{end: link.Conn.Close}, 0
		e.data = func(c link.Conn) { heard++; c.Write([]byte("answer")) }
		l := runNetwork(t, world.Net{}, func(l *testNetwork) {
			l.listen("p1:90", e)
			for _, s := range test.steps {
				l.at(s.at, func() { s.fault(l.Net) })
			}
			l.at(3*time.Second, func() {
				again := &recordingHandler{up: link.Conn.Close, end: link.Conn.Close, l: l}
				l.Dial("c1", "p1:90", time.Second, again)
				l.at(5*time.Second, func() {
					if up := len(again.endErrors) == 0; up != test.fresh {
						t.Errorf("%s: a new connection: %v", test.name, again.endErrors)
					}
					e.first.Close() // what fell silent
				})
			})
			l.at(2900*ms, func() { // the node has left
				if got := append(e.endErrors, nil)[0]; got != test.ended {
					t.Errorf("%s: the peer heard %v, want %v", test.name, got, test.ended)
				}
			})
			l.dialFromNode("p1:90", func(p *port) {
				var err error
				for i, at := range test.asks {
					time.Sleep(at - l.loop.Now())
					p.Write([]byte("request"))
					p.SetReadDeadline(time.Now().Add(690 * ms))
					took := none
					var n int
					if n, err = p.Read(make([]byte, 9)); n > 0 {
						took = (l.loop.Now() - at).Truncate(ms / 2)
					}
					if took != test.took[i] {
						t.Errorf("%s: answer %d after %v, not %v (%v)", test.name, i, took, test.took[i], err)
					}
				}
				time.Sleep(2500*ms - l.loop.Now())
				if _, err = p.Peek(); test.err != nil && !errors.Is(err, test.err) {
					t.Errorf("%s: in the end %v, want %v", test.name, err, test.err)
				}
			})
		})
		if heard != test.heard {
			t.Errorf("%s: the peer heard %d requests, want %d; %q", test.name, heard, test.heard, l.events)
		}
	}
}

// A connection that is to fall silent does so with one of its requests delivered
// and no byte of the answer; which ones do is the same each time.
func TestHushNew(t *testing.T) {
	run := func(before, after int) (silent []string) {
		var mu sync.Mutex
		near := world.Net{Same: figure.Span(ms / 20), Jitter: 0.5, Pieces: 0.5}
		l := runNetwork(t, near, func(l *testNetwork) {
			got := map[link.Conn]string{}
			answers := func(c link.Conn) { c.Write([]byte("answer")) }
			asked := func(e *recordingHandler, then func(c link.Conn)) *recordingHandler {
				e.data = func(c link.Conn) {
					got[c] += string(e.received)
					e.received = nil
					if strings.HasSuffix(got[c], "request") {
						then(c)
					}
				}
				return e
			}
			l.listen("p1:90", asked(&recordingHandler{}, answers))
			l.listen("p2:90", asked(&recordingHandler{}, func(c link.Conn) {
				l.loop.After(5*ms, func() {
					loud := !c.(*end).conn.silent
					if answers(c); loud && c.(*end).conn.silent {
						t.Errorf("%s fell silent only as the answer left", c.ID())
					}
				})
			}))
			ask := func(to string) {
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
				ask("p1:90")
			}
			var stop func()
			l.at(100*ms, func() {
				stop = l.HushNew(0.5, func(host string) bool { return host != "p3" })
				l.listen("p3:90", asked(&recordingHandler{end: link.Conn.Close}, answers))
				for range 40 {
					ask("p1:90")
					ask("p2:90")
					ask("p3:90")
				}
			})
			l.at(796*ms, func() {
				for range after {
					ask("p1:90")
				}
			})
			l.at(796*ms+ms/20, func() { stop() }) // before any of these has asked
			l.at(2*time.Second, func() {
				for c := range got {
					c.Close()
				}
			})
		})
		for _, id := range silent {
			asked := strings.Count(l.bytes[id+" arrived false"], "request")
			if got := strings.Count(l.bytes[id+" arrived true"], "answer"); asked != got+1 {
				t.Errorf("%s: %d requests came, %d answers", id, asked, got)
			}
		}
		slices.Sort(silent)
		return silent
	}
	first := run(0, 0)
	other := func(id string) bool { return strings.HasPrefix(id, "n1>p3#") }
	if len(first) < 20 || len(first) > 60 || slices.ContainsFunc(first, other) {
		t.Errorf("%d of 80 fell silent: %v", len(first), first)
	}
	if second := run(0, 20); !slices.Equal(first, second) {
		t.Errorf("others fell silent: %v, then %v", first, second)
	}
	older := func(id string) bool { return len(id) == 7 && id[:5] == "n1>p1" && id < "n1>p1#6" }
	if third := run(5, 0); slices.ContainsFunc(third, older) {
		t.Errorf("older ones fell silent: %v", third)
	}
}
