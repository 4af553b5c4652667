package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/link/direct"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

const way = 10 * time.Millisecond

// recordedEvents records the events that discovery reports, one line each.
type recordedEvents struct {
	event.Observer
	loop  *loop.Loop
	lines []string
	at    []time.Duration
	reach []string
}

func (w *recordedEvents) DiscoveryReachable(node, addr string, served bool) {
	w.reach = append(w.reach, fmt.Sprint(node, addr, " ", served))
}

func (w *recordedEvents) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	w.lines = append(w.lines, fmt.Sprintf("%s %s %v", peer, state, started > 0))
	w.at = append(w.at, w.loop.Now())
}

type lab struct {
	*Registry
	t      *testing.T
	loop   *loop.Loop
	net    *direct.Fabric
	events *recordedEvents
}

var conf = world.Discovery{
	Addr: "reg:80", Spare: "spare:80", Add: figure.Span(4 * time.Second), Notice: figure.Span(2 * time.Second),
	Silent: figure.Span(8 * time.Second), Each: figure.Span(5 * time.Millisecond),
	Patience: figure.Span(time.Second),
}

// run plays against a discovery service that lists p1 to p3.
func run(t *testing.T, c world.Discovery, play func(l *lab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &lab{t: t, loop: loop.New(synctest.Wait)}
		l.net, l.events = direct.New(l.loop, way), &recordedEvents{loop: l.loop}
		peers := []world.Peer{{Name: "p1"}, {Name: "p2"}, {Name: "p3"}, {Name: "p4"}}
		var err error
		if l.Registry, err = New(c, peers, Env{l.loop, l.net, 7, l.events}); err != nil {
			t.Fatal(err)
		}
		for _, p := range peers[:3] {
			l.Started(p.Name, p.Name+":9000", 0, true)
		}
		play(l)
	})
}

func (l *lab) until(at time.Duration) { l.loop.Run(context.Background(), at, nil) }

// asker is a node's connection.
type asker struct {
	l       *lab
	parser  *http1.Parser
	answers []*http1.Message
	at      []time.Duration
	part    int // bytes of an answer that is not whole
	end     error
	c       link.Conn
}

func (l *lab) dial(addr string) *asker {
	a := &asker{l: l, parser: http1.NewResponseParser()}
	a.c = l.net.Dial("n1", addr, time.Second, a)
	return a
}

func (l *lab) get(addr, query string) *asker {
	a := l.dial(addr)
	a.get(query)
	return a
}

func (a *asker) get(query string) {
	a.c.Write([]byte("GET /registry/instances" + query + " HTTP/1.1\r\nHost: x\r\n\r\n"))
}
func (a *asker) Up(link.Conn)               {}
func (a *asker) End(c link.Conn, err error) { a.end = err; c.Close() }
func (a *asker) Data(_ link.Conn, b []byte) {
	a.parser.Feed(b)
	for {
		m, err := a.parser.Next()
		if err != nil {
			a.l.t.Error(err)
		}
		if a.part = a.parser.Buffered(); m == nil {
			return
		}
		a.answers, a.at = append(a.answers, m), append(a.at, a.l.loop.Now())
	}
}

// says is the last answer in short.
func (a *asker) says() string {
	if len(a.answers) == 0 {
		return fmt.Sprintf("none (%v)", a.end)
	}
	m := a.answers[len(a.answers)-1]
	if m.Status != 200 {
		return fmt.Sprint(m.Status)
	}
	var l list
	if err := json.Unmarshal(m.Body, &l); err != nil {
		return "unreadable"
	}
	s := fmt.Sprintf("full=%t", l.Full)
	for _, e := range l.Servers {
		s += fmt.Sprintf(" %s:%s", e.ID, e.State)
	}
	return s
}

func TestNewsShowsLateAndInOrder(t *testing.T) {
	type do func(l *lab)
	at := func(d time.Duration, f do) func(l *lab) {
		return func(l *lab) { l.loop.At(d, func() { f(l) }) }
	}
	drain, vanish := func(l *lab) { l.Draining("p2") }, func(l *lab) { l.Vanished("p1") }
	back := func(l *lab) { l.Returned("p1") }
	started := func(name string) do { return func(l *lab) { l.Started(name, name+":9000", l.loop.Now(), false) } }
	stopped := func(name string) do { return func(l *lab) { l.Stopped(name) } }
	for _, c := range []struct {
		name   string
		script []func(*lab)
		want   string // what discovery comes to know
		by     time.Duration
	}{
		{"a start", []func(*lab){at(time.Second, started("p4"))}, "p4 Ready true", 5 * time.Second},
		{"a drain", []func(*lab){at(time.Second, drain)}, "p2 Terminating false", 3 * time.Second},
		{"an end", []func(*lab){at(time.Second, stopped("p2"))}, "p2 Gone false", 3 * time.Second},
		{"silence", []func(*lab){at(time.Second, vanish)}, "p1 Gone false", 9 * time.Second},
		{"silence and back", []func(*lab){at(time.Second, vanish), at(15*time.Second, back)},
			"p1 Gone false, p1 Ready false", 19 * time.Second},
		{"silence too short to show", []func(*lab){at(time.Second, vanish),
			at(1001*time.Millisecond, back)}, "", 0},
		{"an end on a silent machine", []func(*lab){at(time.Second, vanish),
			at(15*time.Second, stopped("p1")), at(16*time.Second, back)},
			"p1 Gone false", 9 * time.Second},
		{"a start that an end overtakes", []func(*lab){at(time.Second, started("p4")),
			at(1001*time.Millisecond, stopped("p4"))}, "", 0},
		{"a quick restart", []func(*lab){at(time.Second, stopped("p3")), at(10*time.Second, started("p3"))},
			"p3 Gone false, p3 Ready true", 14 * time.Second},
		{"blind until later", []func(*lab){at(0, func(l *lab) { l.loop.At(9*time.Second, l.Blind()) }),
			at(time.Second, drain), at(5*time.Second, stopped("p2"))},
			"p2 Terminating false, p2 Gone false", 9*time.Second + 10},
		{"delayed", []func(*lab){at(0, func(l *lab) { l.Delay(5) }), at(time.Second, drain)},
			"p2 Terminating false", 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, conf, func(l *lab) {
				for _, f := range c.script {
					f(l)
				}
				l.until(30 * time.Second)
				if got := strings.Join(l.events.lines[3:], ", "); got != c.want {
					t.Fatalf("discovery knows %q, want %q", got, c.want)
				}
				if last := l.events.at[len(l.events.at)-1]; last > c.by {
					t.Errorf("known at %v, want by %v", last, c.by)
				}
			})
		})
	}
}

func TestWatch(t *testing.T) {
	all := "full=true p1:Ready p2:Ready p3:Ready"
	for _, c := range []struct {
		name  string
		query func(v int64) string
		want  string
		at    time.Duration // of the answer, at most 1 ms later
	}{
		{"whole list", func(int64) string { return "" }, all, 45 * time.Millisecond},
		{"a change ends the wait", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=20000", v) },
			"full=false p2:Terminating", 0},
		{"nothing in time", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=100", v) },
			"full=false", 140 * time.Millisecond},
		{"no wait", func(v int64) string { return fmt.Sprintf("?after=%d", v) }, "full=false", 45 * time.Millisecond},
		{"older", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=9000", v-1) },
			"full=false p3:Ready", 45 * time.Millisecond},
		{"too old", func(int64) string { return "?after=1&wait_ms=9000" }, all, 45 * time.Millisecond},
		{"newer than its own", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=9000", v+1) },
			all, 45 * time.Millisecond},
		{"no number", func(int64) string { return "?after=x" }, "400", 40 * time.Millisecond},
		{"no length of time", func(int64) string { return "?after=1&wait_ms=-1" }, "400", 40 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, conf, func(l *lab) {
				a := l.get("reg:80", c.query(l.Version()))
				l.loop.At(2*time.Second, func() { l.Draining("p2") })
				l.until(5 * time.Second)
				if a.says() != c.want {
					t.Fatalf("told %q, want %q", a.says(), c.want)
				}
				want := c.at
				if want == 0 {
					want = l.events.at[3] + way
				}
				if late := a.at[0] - want; late < 0 || late > time.Millisecond {
					t.Errorf("told at %v, want %v", a.at[0], want)
				}
			})
		})
	}
}

func TestCallsInTurn(t *testing.T) {
	c := conf
	c.Each, c.Patience = figure.Span(30*time.Millisecond), figure.Span(100*time.Millisecond)
	run(t, c, func(l *lab) {
		var all []*asker
		for range 6 {
			all = append(all, l.get("reg:80", ""))
		}
		l.until(time.Second)
		for i, a := range all {
			want := i < 4 // the fifth had waited for 120 ms
			if got := a.says() != "503"; got != want {
				t.Errorf("call %d: %s", i, a.says())
			}
			due := 4*way + time.Duration(i+1)*30*time.Millisecond
			if late := a.at[0] - due; want && (late < 0 || late > time.Millisecond) {
				t.Errorf("call %d: answered %v late", i, late)
			}
		}
	})
}

func TestPipelinedCallsAndOddOnes(t *testing.T) {
	run(t, conf, func(l *lab) {
		a := l.get("reg:80", "")
		a.get("?after=0")
		a.c.Write([]byte("GET /else HTTP/1.1\r\n\r\n" +
			"POST /registry/instances HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + "no request\r\n\r\n"))
		l.until(time.Second)
		var got []int
		for _, m := range a.answers {
			got = append(got, m.Status)
		}
		if fmt.Sprint(got) != "[200 200 404 405 400]" || a.end == nil {
			t.Errorf("answers %v, end %v", got, a.end)
		}
	})
}

// Each fault must show on the wire, and only while it lasts.
func TestFaults(t *testing.T) {
	broken := func(a *asker) bool { return len(a.answers) == 0 && (a.end == link.ErrReset || a.end == link.ErrEOF) }
	for _, c := range []struct {
		name  string
		fault func(l *lab) (heal func())
		query string
		ok    func(a *asker) bool
	}{
		{"down", func(l *lab) func() { return l.Down() }, "",
			func(a *asker) bool { return errors.Is(a.end, link.ErrRefused) }},
		{"broken", func(l *lab) func() { return l.Break(1) }, "", broken},
		{"broken watch", func(l *lab) func() { return l.Break(1) }, "?after=%d&wait_ms=1000", broken},
		{"stalled", func(l *lab) func() { return l.Stall(1) }, "",
			func(a *asker) bool { return len(a.answers) == 0 && a.end == nil }},
		{"refused", func(l *lab) func() { return l.Refuse(1) }, "",
			func(a *asker) bool { return a.says() == "503" }},
		{"garbled", func(l *lab) func() { return l.Garble(1) }, "",
			func(a *asker) bool { return len(a.answers) == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, conf, func(l *lab) {
				query := c.query
				if query != "" {
					query = fmt.Sprintf(query, l.Version())
				}
				heal := c.fault(l)
				var all []*asker
				for range 12 {
					all = append(all, l.get("reg:80", query))
				}
				l.until(5 * time.Second)
				seen := map[string]bool{}
				for _, a := range all {
					if !c.ok(a) {
						t.Errorf("%s", a.says())
					}
					seen[fmt.Sprint(a.says(), a.part > 0)] = true
				}
				if strings.HasPrefix(c.name, "broken") && len(seen) < 3 {
					t.Errorf("all break alike: %v", seen)
				}
				heal()
				heal()
				if got := fmt.Sprint(l.events.reach); got != "[reg:80 false reg:80 true]" {
					t.Errorf("it tells that it can be reached: %s", got)
				}
				a := l.get("reg:80", "")
				l.until(6 * time.Second)
				if !strings.HasPrefix(a.says(), "full=true") {
					t.Errorf("after it: %s", a.says())
				}
			})
		})
	}
}

func TestGarbledListsCannotBeRead(t *testing.T) {
	draws := figure.Stream(1, "garble")
	for _, servers := range [][]entry{{}, {{ID: "p1", Addr: "p1:1", State: ready}}} {
		for range 200 {
			body := garble(draws, list{41, false, servers})
			var l struct {
				Version *int64   `json:"version"`
				Servers *[]entry `json:"servers"`
			}
			err := json.Unmarshal(body, &l)
			if err == nil && l.Servers != nil && (len(*l.Servers) == 0 || (*l.Servers)[0].ID != "") {
				t.Fatalf("reads as a list: %s", body)
			}
		}
	}
}

func TestDownEndsWatches(t *testing.T) {
	run(t, conf, func(l *lab) {
		var all []*asker
		for range 10 {
			all = append(all, l.get("reg:80", fmt.Sprintf("?after=%d&wait_ms=20000", l.Version())))
		}
		l.until(time.Second)
		l.Draining("p1")
		heal := l.Down()
		l.until(5 * time.Second)
		ends := map[string]int{}
		for _, a := range all {
			ends[fmt.Sprint(a.says(), a.end)]++
		}
		if len(ends) != 2 || len(l.events.lines) != 3 {
			t.Errorf("watches ended %v, and it knows %v", ends, l.events.lines)
		}
		heal()
		if len(l.events.lines) != 4 || l.net.OpenEnds != 0 {
			t.Errorf("back, it knows %v; %d ends open", l.events.lines, l.net.OpenEnds)
		}
	})
}

func TestMove(t *testing.T) {
	renumbered := 0
	run(t, conf, func(l *lab) {
		for i := range 8 {
			here, spare := l.addr, l.conf.Spare
			if here == spare {
				spare = l.conf.Addr
			}
			version, now := l.Version(), l.loop.Now()
			old := l.get(here, fmt.Sprintf("?after=%d&wait_ms=20000", version))
			l.until(now + 100*time.Millisecond)
			if to := l.Move(); to != spare {
				t.Fatalf("moved to %q", to)
			}
			if got := fmt.Sprint(l.events.reach[2*i:]); got != fmt.Sprintf("[%s false %s true]", here, spare) {
				t.Errorf("it tells that it can be reached: %s", got)
			}
			if l.Version() != version {
				renumbered++
				if off := l.Version() - version; off > -900 && off < 900 {
					t.Errorf("versions %d and %d may be taken for one another", version, l.Version())
				}
			}
			late := l.get(here, "")
			l.Started("p4", fmt.Sprintf("p4:%d", 9000+i), l.loop.Now(), true) // news, at the new address alone
			fresh := l.get(spare, fmt.Sprintf("?after=%d", version))
			l.until(now + 1500*time.Millisecond)
			if len(old.answers) > 0 || old.end != nil || late.end != link.ErrRefused {
				t.Errorf("the old address: %s, %s", old.says(), late.says())
			}
			if !strings.Contains(fresh.says(), "p4:Ready") {
				t.Errorf("the new address: %s", fresh.says())
			}
			l.until(now + 1700*time.Millisecond)
			if old.end == nil {
				t.Error("the old address stays")
			}
		}
	})
	if renumbered == 0 || renumbered == 8 {
		t.Errorf("%d of 8 moves changed the numbering", renumbered)
	}
}

func TestKnown(t *testing.T) {
	read := func(b []byte) (l list) {
		if err := json.Unmarshal(b, &l); err != nil || !l.Full {
			t.Fatalf("%s: %v", b, err)
		}
		return l
	}
	run(t, conf, func(l *lab) {
		if now := read(l.Known(false)); len(now.Servers) != 3 || now.Version != l.Version() {
			t.Errorf("at the start: %+v", now)
		}
		if old := read(l.Known(true)); len(old.Servers) >= 3 || len(old.Servers) == 0 || old.Version >= l.Version() {
			t.Errorf("at the start, stale: %+v", old)
		}
		start := l.Version()
		l.Draining("p1")
		l.until(3 * time.Second)
		l.Stopped("p1")
		l.until(20 * time.Second)
		l.Draining("p2")
		l.until(23 * time.Second)
		a := l.get("reg:80", fmt.Sprintf("?after=%d", start))
		l.until(24 * time.Second)
		if want := "full=false p1:Gone p2:Terminating"; a.says() != want { // of each peer the last change only
			t.Errorf("told %q, want %q", a.says(), want)
		}
		now, old := read(l.Known(false)), read(l.Known(true))
		if len(now.Servers) != 2 || now.Servers[0].State != terminating {
			t.Errorf("later: %+v", now)
		}
		if old.Version >= now.Version || old.Servers[len(old.Servers)-1].State != ready {
			t.Errorf("later, stale: %+v", old)
		}
	})
}

// A fault must leave other calls and other peers as they were without it.
func TestFaultsLeaveOtherDrawsAlone(t *testing.T) {
	shown := func(fault func(l *lab)) (got string) {
		run(t, conf, func(l *lab) {
			fault(l)
			l.loop.At(time.Second, func() { l.Draining("p2") })
			l.until(4 * time.Second)
			got = fmt.Sprint(l.events.lines[len(l.events.lines)-1], l.events.at[len(l.events.at)-1].Round(time.Microsecond))
		})
		return got
	}
	plain := shown(func(*lab) {})
	other := shown(func(l *lab) { l.Stopped("p1"); l.Break(0.5); l.get("reg:80", "") })
	if other != plain {
		t.Errorf("p2 shows %q, and among faults %q", plain, other)
	}
}

// What a process does on a silent machine cannot show sooner than the silence.
func TestSilentMachineTellsNothing(t *testing.T) {
	gone := func(more func(l *lab)) (at time.Duration) {
		run(t, conf, func(l *lab) {
			l.Vanished("p1")
			more(l)
			l.until(9 * time.Second)
			if len(l.events.lines) != 4 {
				t.Fatalf("it knows %v", l.events.lines)
			}
			at = l.events.at[3].Round(time.Microsecond)
		})
		return at
	}
	plain := gone(func(*lab) {})
	if at := gone(func(l *lab) { l.Draining("p1"); l.Stopped("p1") }); at != plain {
		t.Errorf("shows at %v, by its silence at %v", at, plain)
	}
}

func TestBadInput(t *testing.T) {
	l := loop.New(nil)
	f := direct.New(l, way)
	twice := []world.Peer{{Name: "p1"}, {Name: "p1"}}
	if _, err := New(conf, twice, Env{Loop: l, Fabric: f}); fmt.Sprint(err) != `discovery: peer "p1": named twice` {
		t.Errorf("twice: %v", err)
	}
	if _, err := f.Listen("reg:80", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := New(conf, nil, Env{Loop: l, Fabric: f}); fmt.Sprint(err) != "discovery: listen reg:80: taken" {
		t.Errorf("taken: %v", err)
	}
}
