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

const networkDelay = 10 * time.Millisecond

// recordedEvents records the events that discovery reports, one line each.
type recordedEvents struct {
	event.Observer
	loop         *loop.Loop
	lines        []string
	at           []time.Duration
	reachability []string
}

func (w *recordedEvents) DiscoveryReachable(node, addr string, served bool) {
	w.reachability = append(w.reachability, fmt.Sprint(node, addr, " ", served))
}

func (w *recordedEvents) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	w.lines = append(w.lines, fmt.Sprintf("%s %s %v", peer, state, started > 0))
	w.at = append(w.at, w.loop.Now())
}

type harness struct {
	*Registry
	t      *testing.T
	loop   *loop.Loop
	net    *direct.Fabric
	events *recordedEvents
}

var testConfig = world.Discovery{
	Addr: "reg:80", Spare: "spare:80", Add: figure.Span(4 * time.Second), Notice: figure.Span(2 * time.Second),
	Silent: figure.Span(8 * time.Second), Each: figure.Span(5 * time.Millisecond),
	Patience: figure.Span(time.Second),
}

// withRegistry runs play on a discovery service that lists p1 to p3.
func withRegistry(t *testing.T, c world.Discovery, play func(l *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &harness{t: t, loop: loop.New(synctest.Wait)}
		l.net, l.events = direct.New(l.loop, networkDelay), &recordedEvents{loop: l.loop}
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

func (l *harness) runUntil(at time.Duration) { l.loop.Run(context.Background(), at, nil) }

// nodeClient is a connection of a node to discovery that records the responses.
type nodeClient struct {
	l            *harness
	parser       *http1.Parser
	answers      []*http1.Message
	at           []time.Duration
	partialBytes int // bytes received of an incomplete response
	end          error
	c            link.Conn
}

func (l *harness) dial(addr string) *nodeClient {
	a := &nodeClient{l: l, parser: http1.NewResponseParser()}
	a.c = l.net.Dial("n1", addr, time.Second, a)
	return a
}

func (l *harness) get(addr, query string) *nodeClient {
	a := l.dial(addr)
	a.get(query)
	return a
}

func (a *nodeClient) get(query string) {
	a.c.Write([]byte("GET /registry/instances" + query + " HTTP/1.1\r\nHost: x\r\n\r\n"))
}
func (a *nodeClient) Up(link.Conn)               {}
func (a *nodeClient) End(c link.Conn, err error) { a.end = err; c.Close() }
func (a *nodeClient) Data(_ link.Conn, b []byte) {
	a.parser.Feed(b)
	for {
		m, err := a.parser.Next()
		if err != nil {
			a.l.t.Error(err)
		}
		if a.partialBytes = a.parser.Buffered(); m == nil {
			return
		}
		a.answers, a.at = append(a.answers, m), append(a.at, a.l.loop.Now())
	}
}

// summary describes the last response: its status, or the list's entries and states.
func (a *nodeClient) summary() string {
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

func TestChangesAreListedLateAndInOrder(t *testing.T) {
	type do func(l *harness)
	at := func(d time.Duration, f do) func(l *harness) {
		return func(l *harness) { l.loop.At(d, func() { f(l) }) }
	}
	drain, vanish := func(l *harness) { l.Draining("p2") }, func(l *harness) { l.Vanished("p1") }
	back := func(l *harness) { l.Returned("p1") }
	started := func(name string) do { return func(l *harness) { l.Started(name, name+":9000", l.loop.Now(), false) } }
	stopped := func(name string) do { return func(l *harness) { l.Stopped(name) } }
	for _, c := range []struct {
		name   string
		script []func(*harness)
		want   string // expected PeerListed events
		by     time.Duration
	}{
		{"start", []func(*harness){at(time.Second, started("p4"))}, "p4 Ready true", 5 * time.Second},
		{"drain", []func(*harness){at(time.Second, drain)}, "p2 Terminating false", 3 * time.Second},
		{"stop", []func(*harness){at(time.Second, stopped("p2"))}, "p2 Gone false", 3 * time.Second},
		{"silent machine", []func(*harness){at(time.Second, vanish)}, "p1 Gone false", 9 * time.Second},
		{"silent machine that returns", []func(*harness){at(time.Second, vanish), at(15*time.Second, back)},
			"p1 Gone false, p1 Ready false", 19 * time.Second},
		{"silence too short to be listed", []func(*harness){at(time.Second, vanish),
			at(1001*time.Millisecond, back)}, "", 0},
		{"stop on a silent machine", []func(*harness){at(time.Second, vanish),
			at(15*time.Second, stopped("p1")), at(16*time.Second, back)},
			"p1 Gone false", 9 * time.Second},
		{"start and stop before the start is listed", []func(*harness){at(time.Second, started("p4")),
			at(1001*time.Millisecond, stopped("p4"))}, "", 0},
		{"restart", []func(*harness){at(time.Second, stopped("p3")), at(10*time.Second, started("p3"))},
			"p3 Gone false, p3 Ready true", 14 * time.Second},
		{"blind fault until 9 s", []func(*harness){at(0, func(l *harness) { l.loop.At(9*time.Second, l.Blind()) }),
			at(time.Second, drain), at(5*time.Second, stopped("p2"))},
			"p2 Terminating false, p2 Gone false", 9*time.Second + 10},
		{"delay fault", []func(*harness){at(0, func(l *harness) { l.Delay(5) }), at(time.Second, drain)},
			"p2 Terminating false", 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRegistry(t, testConfig, func(l *harness) {
				for _, f := range c.script {
					f(l)
				}
				l.runUntil(30 * time.Second)
				if got := strings.Join(l.events.lines[3:], ", "); got != c.want {
					t.Fatalf("listed changes %q, want %q", got, c.want)
				}
				if last := l.events.at[len(l.events.at)-1]; last > c.by {
					t.Errorf("last change listed at %v, want %v or earlier", last, c.by)
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
		at    time.Duration // expected time of the response, which may be up to 1 ms later; 0: when the change is listed
	}{
		{"full list", func(int64) string { return "" }, all, 45 * time.Millisecond},
		{"a change ends the wait", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=20000", v) },
			"full=false p2:Terminating", 0},
		{"no change before the wait ends", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=100", v) },
			"full=false", 140 * time.Millisecond},
		{"no wait", func(v int64) string { return fmt.Sprintf("?after=%d", v) }, "full=false", 45 * time.Millisecond},
		{"older version", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=9000", v-1) },
			"full=false p3:Ready", 45 * time.Millisecond},
		{"version too old for changes", func(int64) string { return "?after=1&wait_ms=9000" }, all, 45 * time.Millisecond},
		{"version newer than the list", func(v int64) string { return fmt.Sprintf("?after=%d&wait_ms=9000", v+1) },
			all, 45 * time.Millisecond},
		{"version is not a number", func(int64) string { return "?after=x" }, "400", 40 * time.Millisecond},
		{"negative wait", func(int64) string { return "?after=1&wait_ms=-1" }, "400", 40 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRegistry(t, testConfig, func(l *harness) {
				a := l.get("reg:80", c.query(l.Version()))
				l.loop.At(2*time.Second, func() { l.Draining("p2") })
				l.runUntil(5 * time.Second)
				if a.summary() != c.want {
					t.Fatalf("response %q, want %q", a.summary(), c.want)
				}
				want := c.at
				if want == 0 {
					want = l.events.at[3] + networkDelay
				}
				if late := a.at[0] - want; late < 0 || late > time.Millisecond {
					t.Errorf("response at %v, want %v", a.at[0], want)
				}
			})
		})
	}
}

func TestCallsAreServedInOrder(t *testing.T) {
	c := testConfig
	c.Each, c.Patience = figure.Span(30*time.Millisecond), figure.Span(100*time.Millisecond)
	withRegistry(t, c, func(l *harness) {
		var all []*nodeClient
		for range 6 {
			all = append(all, l.get("reg:80", ""))
		}
		l.runUntil(time.Second)
		for i, a := range all {
			want := i < 4 // the fifth call waits 120 ms, longer than the patience of 100 ms
			if got := a.summary() != "503"; got != want {
				t.Errorf("call %d: unexpected response %s", i, a.summary())
			}
			due := 4*networkDelay + time.Duration(i+1)*30*time.Millisecond
			if late := a.at[0] - due; want && (late < 0 || late > time.Millisecond) {
				t.Errorf("call %d: response %v late, want 0 to 1 ms", i, late)
			}
		}
	})
}

func TestPipelinedAndInvalidCalls(t *testing.T) {
	withRegistry(t, testConfig, func(l *harness) {
		a := l.get("reg:80", "")
		a.get("?after=0")
		a.c.Write([]byte("GET /else HTTP/1.1\r\n\r\n" +
			"POST /registry/instances HTTP/1.1\r\nContent-Length: 0\r\n\r\n" + "no request\r\n\r\n"))
		l.runUntil(time.Second)
		var got []int
		for _, m := range a.answers {
			got = append(got, m.Status)
		}
		if fmt.Sprint(got) != "[200 200 404 405 400]" || a.end == nil {
			t.Errorf("statuses %v, connection end %v; want [200 200 404 405 400] and an end", got, a.end)
		}
	})
}

// Each fault must be visible to clients, and only while it is active.
func TestFaults(t *testing.T) {
	broken := func(a *nodeClient) bool {
		return len(a.answers) == 0 && (errors.Is(a.end, link.ErrReset) || errors.Is(a.end, link.ErrEOF))
	}
	for _, c := range []struct {
		name  string
		fault func(l *harness) (heal func())
		query string
		ok    func(a *nodeClient) bool
	}{
		{"down", func(l *harness) func() { return l.Down() }, "",
			func(a *nodeClient) bool { return errors.Is(a.end, link.ErrRefused) }},
		{"broken", func(l *harness) func() { return l.Break(1) }, "", broken},
		{"broken watch", func(l *harness) func() { return l.Break(1) }, "?after=%d&wait_ms=1000", broken},
		{"stalled", func(l *harness) func() { return l.Stall(1) }, "",
			func(a *nodeClient) bool { return len(a.answers) == 0 && a.end == nil }},
		{"refused", func(l *harness) func() { return l.Refuse(1) }, "",
			func(a *nodeClient) bool { return a.summary() == "503" }},
		{"garbled", func(l *harness) func() { return l.Garble(1) }, "",
			func(a *nodeClient) bool { return len(a.answers) == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRegistry(t, testConfig, func(l *harness) {
				query := c.query
				if query != "" {
					query = fmt.Sprintf(query, l.Version())
				}
				heal := c.fault(l)
				var all []*nodeClient
				for range 12 {
					all = append(all, l.get("reg:80", query))
				}
				l.runUntil(5 * time.Second)
				seen := map[string]bool{}
				for _, a := range all {
					if !c.ok(a) {
						t.Errorf("the fault is not visible in the response: %s", a.summary())
					}
					seen[fmt.Sprint(a.summary(), a.partialBytes > 0)] = true
				}
				if strings.HasPrefix(c.name, "broken") && len(seen) < 3 {
					t.Errorf("connections broke in %v, want at least 3 ways", seen)
				}
				heal()
				heal()
				if got := fmt.Sprint(l.events.reachability); got != "[reg:80 false reg:80 true]" {
					t.Errorf("reported reachability %s, want [reg:80 false reg:80 true]", got)
				}
				a := l.get("reg:80", "")
				l.runUntil(6 * time.Second)
				if !strings.HasPrefix(a.summary(), "full=true") {
					t.Errorf("response after the fault is %s, want a full list", a.summary())
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
				t.Fatalf("the garbled body can be read as a list: %s", body)
			}
		}
	}
}

func TestDownEndsWatches(t *testing.T) {
	withRegistry(t, testConfig, func(l *harness) {
		var all []*nodeClient
		for range 10 {
			all = append(all, l.get("reg:80", fmt.Sprintf("?after=%d&wait_ms=20000", l.Version())))
		}
		l.runUntil(time.Second)
		l.Draining("p1")
		heal := l.Down()
		l.runUntil(5 * time.Second)
		ends := map[string]int{}
		for _, a := range all {
			ends[fmt.Sprint(a.summary(), a.end)]++
		}
		if len(ends) != 2 || len(l.events.lines) != 3 {
			t.Errorf("watches ended in ways %v, want 2; listed changes %v, want 3", ends, l.events.lines)
		}
		heal()
		if len(l.events.lines) != 4 || l.net.OpenEnds != 0 {
			t.Errorf("after heal: listed changes %v, want 4; %d connection ends open, want 0", l.events.lines, l.net.OpenEnds)
		}
	})
}

func TestMove(t *testing.T) {
	renumbered := 0
	withRegistry(t, testConfig, func(l *harness) {
		for i := range 8 {
			here, spare := l.addr, l.config.Spare
			if here == spare {
				spare = l.config.Addr
			}
			version, now := l.Version(), l.loop.Now()
			old := l.get(here, fmt.Sprintf("?after=%d&wait_ms=20000", version))
			l.runUntil(now + 100*time.Millisecond)
			if to := l.Move(); to != spare {
				t.Fatalf("Move returned %q, want the other address", to)
			}
			if got := fmt.Sprint(l.events.reachability[2*i:]); got != fmt.Sprintf("[%s false %s true]", here, spare) {
				t.Errorf("reported reachability %s, want the old address false and the new one true", got)
			}
			if l.Version() != version {
				renumbered++
				if off := l.Version() - version; off > -900 && off < 900 {
					t.Errorf("versions %d and %d of two numberings are too close", version, l.Version())
				}
			}
			late := l.get(here, "")
			l.Started("p4", fmt.Sprintf("p4:%d", 9000+i), l.loop.Now(), true) // a change listed at the new address only
			fresh := l.get(spare, fmt.Sprintf("?after=%d", version))
			l.runUntil(now + 1500*time.Millisecond)
			if len(old.answers) > 0 || old.end != nil || !errors.Is(late.end, link.ErrRefused) {
				t.Errorf("old address: open watch %s, want none; new connection %s, want refused", old.summary(), late.summary())
			}
			if !strings.Contains(fresh.summary(), "p4:Ready") {
				t.Errorf("new address: response %s, want p4:Ready in it", fresh.summary())
			}
			l.runUntil(now + 1700*time.Millisecond)
			if old.end == nil {
				t.Error("connection to the old address is still open after its grace period")
			}
		}
	})
	if renumbered == 0 || renumbered == 8 {
		t.Errorf("%d of 8 moves changed the numbering, want some but not all", renumbered)
	}
}

func TestConfiguredList(t *testing.T) {
	read := func(b []byte) (l list) {
		if err := json.Unmarshal(b, &l); err != nil || !l.Full {
			t.Fatalf("%s: %v", b, err)
		}
		return l
	}
	withRegistry(t, testConfig, func(l *harness) {
		if now := read(l.ConfiguredList(false)); len(now.Servers) != 3 || now.Version != l.Version() {
			t.Errorf("current list at the start: %+v, want 3 servers", now)
		}
		if old := read(l.ConfiguredList(true)); len(old.Servers) >= 3 || len(old.Servers) == 0 || old.Version >= l.Version() {
			t.Errorf("stale list at the start: %+v, want 1 or 2 servers and an older version", old)
		}
		start := l.Version()
		l.Draining("p1")
		l.runUntil(3 * time.Second)
		l.Stopped("p1")
		l.runUntil(20 * time.Second)
		l.Draining("p2")
		l.runUntil(23 * time.Second)
		a := l.get("reg:80", fmt.Sprintf("?after=%d", start))
		l.runUntil(24 * time.Second)
		if want := "full=false p1:Gone p2:Terminating"; a.summary() != want { // only the latest change of each peer
			t.Errorf("response %q, want %q", a.summary(), want)
		}
		now, old := read(l.ConfiguredList(false)), read(l.ConfiguredList(true))
		if len(now.Servers) != 2 || now.Servers[0].State != terminating {
			t.Errorf("current list later: %+v, want 2 servers, the first Terminating", now)
		}
		if old.Version >= now.Version || old.Servers[len(old.Servers)-1].State != ready {
			t.Errorf("stale list later: %+v, want an older version whose last server is Ready", old)
		}
	})
}

// A fault must not change the draws of other calls or other peers.
func TestFaultsLeaveOtherDrawsAlone(t *testing.T) {
	shown := func(fault func(l *harness)) (got string) {
		withRegistry(t, testConfig, func(l *harness) {
			fault(l)
			l.loop.At(time.Second, func() { l.Draining("p2") })
			l.runUntil(4 * time.Second)
			got = fmt.Sprint(l.events.lines[len(l.events.lines)-1], l.events.at[len(l.events.at)-1].Round(time.Microsecond))
		})
		return got
	}
	plain := shown(func(*harness) {})
	other := shown(func(l *harness) { l.Stopped("p1"); l.Break(0.5); l.get("reg:80", "") })
	if other != plain {
		t.Errorf("change of p2 is listed as %q without faults, as %q with faults of others", plain, other)
	}
}

// A change of a process on a silent machine must not be listed before the silence itself.
func TestSilentMachineReportsNothing(t *testing.T) {
	gone := func(more func(l *harness)) (at time.Duration) {
		withRegistry(t, testConfig, func(l *harness) {
			l.Vanished("p1")
			more(l)
			l.runUntil(9 * time.Second)
			if len(l.events.lines) != 4 {
				t.Fatalf("listed changes %v, want 4", l.events.lines)
			}
			at = l.events.at[3].Round(time.Microsecond)
		})
		return at
	}
	plain := gone(func(*harness) {})
	if at := gone(func(l *harness) { l.Draining("p1"); l.Stopped("p1") }); at != plain {
		t.Errorf("listed as gone at %v, want %v as by silence alone", at, plain)
	}
}

func TestBadInput(t *testing.T) {
	l := loop.New(nil)
	f := direct.New(l, networkDelay)
	twice := []world.Peer{{Name: "p1"}, {Name: "p1"}}
	if _, err := New(testConfig, twice, Env{Loop: l, Fabric: f}); fmt.Sprint(err) != `discovery: peer "p1": named twice` {
		t.Errorf("duplicate peer name: unexpected error %v", err)
	}
	if _, err := f.Listen("reg:80", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := New(testConfig, nil, Env{Loop: l, Fabric: f}); fmt.Sprint(err) != "discovery: listen reg:80: taken" {
		t.Errorf("taken address: unexpected error %v", err)
	}
}
