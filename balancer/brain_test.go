package balancer

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = Time(time.Millisecond)

// base is a fleet's settings with one class of each effect.
func base() Settings {
	return Settings{
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2, Idempotency: Idempotent},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 3, Idempotency: NonIdempotent},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupScope: DedupCell, DedupWindow: 300 * time.Millisecond},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupScope: DedupZone, DedupWindow: time.Second},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: IdempotencyKeyed, DedupScope: DedupFleet, DedupWindow: time.Second},
		},
		Nodes: 2, DrainGrace: 500 * time.Millisecond, InitialCapacity: 0.2, SlowStart: 10 * time.Second, OverloadFactor: 3,
		OverloadWindow: time.Second, MaxAttempts: 4, HealthChecks: true, CancelAttempts: true, Hedging: true, RetryAfter: true,
		MaxRetryAfter: 2 * time.Second,
	}
}

// shot is one attempt as the referee saw it leave.
type shot struct {
	to    ServerID
	at    Time
	up    Time // its connection is: it begins
	cut   Time
	holds Time // as Send had it
	begun bool
	out   bool
	never bool
}

type ticket struct {
	class    int
	key      uint64
	deadline Time
	shots    []shot
	ended    string
}

// wake is a timer that was asked for.
type wake struct {
	at  Time
	ref uint64
}

// referee is a Host that keeps its own books and holds every action against the rules.
type referee struct {
	set      Settings
	now      Time
	open     map[RequestID]*ticket
	order    []RequestID
	list     map[ServerID]Server
	draining map[ServerID]Time
	probes   map[ServerID]int
	probed   int // in all
	watches  int
	wakes    []wake
	logs     []string
	faults   []string
	trace    []string
	after    time.Duration
	late     func(to ServerID) Time // when a connection opened now is up; nil: at once
}

func newReferee(set Settings) *referee {
	return &referee{set: set, open: map[RequestID]*ticket{}, list: map[ServerID]Server{},
		draining: map[ServerID]Time{}, probes: map[ServerID]int{}}
}

func (f *referee) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("at %d ms: ", f.now/ms)+fmt.Sprintf(format, args...))
}

func (f *referee) Send(id RequestID, to ServerID, holds Time) {
	f.trace = append(f.trace, fmt.Sprint("send ", id, to, holds))
	t, s := f.open[id], f.list[to]
	switch {
	case t == nil:
		f.fault("send of unknown request %d", id)
		return
	case t.ended != "":
		f.fault("send of request %d after %s", id, t.ended)
	case s.ID == 0:
		f.fault("send to unlisted server %x", to)
	case s.State != Ready && !(f.set.ServeRemoved && s.State == Removed) && f.now > f.draining[to]+Time(f.set.DrainGrace):
		f.fault("send to server %x, state %d since %d ms", to, s.State, f.draining[to]/ms)
	case len(t.shots) >= f.set.MaxAttempts:
		f.fault("request %d past its attempts", id)
	}
	c := f.set.Classes[t.class]
	for _, a := range t.shots {
		if a.never {
			continue
		}
		from := f.list[a.to]
		same := c.DedupScope == DedupFleet || from.Zone == s.Zone && (c.DedupScope == DedupZone || from.Cell == s.Cell)
		if a.out && !f.set.Hedging {
			f.fault("second copy of request %d", id)
		}
		if c.Idempotency == NonIdempotent || c.Idempotency == IdempotencyKeyed && (!same || f.now > a.at+Time(c.DedupWindow)) {
			f.fault("request %d may run twice", id)
		}
	}
	up := f.now
	if f.late != nil {
		up = f.late(to)
	}
	t.shots = append(t.shots, shot{to: to, at: f.now, up: up, cut: t.deadline, holds: holds, begun: up == f.now, out: true})
}

func (f *referee) Cancel(id RequestID, n int) {
	f.trace = append(f.trace, fmt.Sprint("cancel ", id, n))
	if t := f.open[id]; t == nil || n >= len(t.shots) {
		f.fault("cancel of attempt %d of request %d, never made", n, id)
	}
}

func (f *referee) final(id RequestID, how string) *ticket {
	f.trace = append(f.trace, fmt.Sprint(how, id))
	t := f.open[id]
	if t == nil || t.ended != "" {
		f.fault("%s of request %d, which is not held", how, id)
		return nil
	}
	t.ended = how
	return t
}

func (f *referee) Reject(id RequestID, after time.Duration) {
	f.after = after
	t := f.final(id, "refuse")
	if t == nil {
		return
	}
	c := f.set.Classes[t.class]
	for _, a := range t.shots {
		if !a.never && !(c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.DedupScope == DedupFleet) {
			f.fault("refusal of request %d, which may have run", id)
		}
	}
}

func (f *referee) Fail(id RequestID) { f.final(id, "fail") }
func (f *referee) CheckHealth(to ServerID) {
	f.probes[to]++
	f.probed++
	f.trace = append(f.trace, fmt.Sprint("probe ", to))
}
func (f *referee) Watch() { f.watches++ }
func (f *referee) SetTimer(d time.Duration, ref uint64) {
	f.wakes = append(f.wakes, wake{f.now + Time(d), ref})
	slices.SortStableFunc(f.wakes, func(p, q wake) int { return cmp.Compare(p.at, q.at) })
}
func (f *referee) Log(line string) { f.logs = append(f.logs, line) }

// bout is a Balancer with its referee and a clock.
type bout struct {
	t *testing.T
	*referee
	b    *Balancer
	next RequestID
}

func start(t *testing.T, set Settings, seed uint64, servers ...Server) *bout {
	t.Helper()
	f := newReferee(set)
	f.now = Time(time.Hour)
	b, err := New(set, seed, f.now, f)
	if err != nil {
		t.Fatal(err)
	}
	g := &bout{t, f, b, 1}
	g.view(UpdateCached, servers...)
	return g
}

func (g *bout) view(kind UpdateKind, servers ...Server) {
	note := func(s Server) {
		if s.State != Ready && g.list[s.ID].State == Ready {
			g.draining[s.ID] = g.now
		}
		g.list[s.ID] = s
	}
	if kind == UpdateFull || kind == UpdateCached {
		seen := map[ServerID]bool{}
		for _, s := range servers {
			seen[s.ID] = true
		}
		for id, s := range g.list {
			if s.State = Removed; !seen[id] {
				note(s)
			}
		}
	}
	for _, s := range servers {
		note(s)
	}
	g.b.HandleServers(g.now, kind, servers)
}

func (g *bout) ask(class int, key uint64) RequestID {
	id := g.next
	g.next++
	budget := g.set.Classes[class].Deadline / 2
	g.open[id] = &ticket{class: class, key: key, deadline: g.now + Time(budget)}
	g.order = append(g.order, id)
	g.b.HandleRequest(g.now, Request{ID: id, Timeout: budget, AffinityKey: key, Class: class})
	return id
}

// answer ends attempt n of a request.
func (g *bout) answer(id RequestID, n int, res Result) {
	t := g.open[id]
	a := &t.shots[n]
	if !a.out {
		return
	}
	a.out = false
	a.never = res == Rejected || res == ConnectFailed || res == NotSent
	if res == OK && t.ended == "" {
		t.ended = "served"
	}
	g.b.HandleOutcome(g.now, Outcome{ID: id, Attempt: n, Server: a.to, Latency: time.Duration(g.now - a.at), Result: res,
		RequestDone: t.ended != ""})
}

// pass moves the clock on by d in steps of 5 ms: timers, time-outs and, by alive, answers after lat and probes.
func (g *bout) pass(d, lat time.Duration, alive func(ServerID) bool) {
	for end := g.now + Time(d); g.now < end; {
		g.now += 5 * ms
		for len(g.wakes) > 0 && g.wakes[0].at <= g.now {
			w := g.wakes[0]
			g.wakes = g.wakes[1:]
			g.b.HandleTimer(g.now, w.ref)
		}
		for _, s := range g.b.servers {
			if g.probes[s.ID] > 0 && alive(s.ID) {
				g.probes[s.ID] = 0
				g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: s.ID, Latency: time.Millisecond, Result: OK})
			}
		}
		for i := 0; i < len(g.order); i++ {
			id := g.order[i]
			t := g.open[id]
			out := 0
			for n := 0; n < len(t.shots); n++ {
				a := &t.shots[n]
				if a.out && !a.begun && g.now >= a.up {
					if a.begun = a.holds == 0 || g.now < a.holds || g.b.MayBegin(g.now, id, n); !a.begun {
						g.answer(id, n, NotSent)
					}
				}
				switch {
				case !a.out:
				case g.now >= a.up+Time(lat) && alive(a.to):
					g.answer(id, n, OK)
				case g.now >= a.cut:
					g.answer(id, n, TimedOut)
				default:
					out++
				}
			}
			if t.ended == "" && g.now > t.deadline+20*ms {
				g.fault("request %d has no answer", id)
			}
			if t.ended != "" && out == 0 {
				g.order = append(g.order[:i], g.order[i+1:]...)
				i--
			}
		}
	}
}

func (g *bout) check() {
	g.t.Helper()
	for _, f := range g.faults {
		g.t.Error(f)
	}
}

func always(ServerID) bool { return true }

// fleet lists n ready servers in cells of three and zones of six.
func fleet(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: ServerID(1000 + 7*i), Cell: uint16(i / 3), Zone: uint8(i / 6), Weight: 1, State: Ready})
	}
	return out
}

// TestRulesHold throws long random legal events at the module and holds every action against the rules.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(60) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		set := base()
		set.Hedging = rnd.IntN(2) == 0
		set.ServeRemoved = rnd.IntN(3) == 0
		set.HealthChecks = rnd.IntN(4) > 0
		set.CancelAttempts = rnd.IntN(3) > 0
		set.PollDiscovery = rnd.IntN(2) == 0
		set.PollInterval = 10 * time.Second
		servers := fleet(1 + rnd.IntN(12))
		g := start(t, set, seed, servers...)
		results := []Result{OK, OK, OK, Errored, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent}
		dead := map[ServerID]bool{}
		for range 1500 {
			switch rnd.IntN(12) {
			case 0:
				i := rnd.IntN(len(servers))
				servers[i].State = ServerState(rnd.IntN(3))
				if rnd.IntN(2) == 0 {
					servers[i].StartedAt = g.now - Time(rnd.IntN(int(time.Second)))
				}
				g.view(UpdateDelta, servers[i])
			case 1:
				if rnd.IntN(5) == 0 {
					g.view(UpdateFailed)
				} else {
					g.view(UpdateFull, servers[:1+rnd.IntN(len(servers))]...)
				}
			case 2:
				id := servers[rnd.IntN(len(servers))].ID
				dead[id] = !dead[id]
			case 3:
				for _, id := range g.order {
					if tk := g.open[id]; tk.ended == "" && rnd.IntN(4) == 0 {
						tk.ended = "hangup"
						g.b.HandleDisconnect(g.now, id)
					}
				}
			case 4, 5:
				for _, id := range append([]RequestID(nil), g.order...) {
					for n := 0; n < len(g.open[id].shots); n++ {
						if rnd.IntN(3) == 0 {
							g.answer(id, n, results[rnd.IntN(len(results))])
						}
					}
				}
			case 6:
				g.b.HandleOutcome(g.now, Outcome{ID: g.next + 77, Attempt: rnd.IntN(9), Result: OK})
				g.b.HandleDisconnect(g.now, g.next+78)
				g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: 1, Result: OK})
				g.b.HandleFirstByte(g.now, g.next+79, 0)
			default:
				for range rnd.IntN(20) {
					g.ask(rnd.IntN(len(set.Classes)), uint64(rnd.IntN(40)))
				}
			}
			g.pass(time.Duration(rnd.IntN(120))*time.Millisecond, 60*time.Millisecond, func(s ServerID) bool { return !dead[s] })
		}
		g.pass(5*time.Second, time.Second, func(ServerID) bool { return false })
		if g.check(); len(g.b.requests) > 0 {
			t.Errorf("seed %d: %d requests are still held", seed, len(g.b.requests))
		}
		if t.Failed() {
			return
		}
	}
}

// TestRefereeCatches shows that the books of the test above find each broken rule.
func TestRefereeCatches(t *testing.T) {
	for name, foul := range map[string]func(g *bout, pure, unsafe RequestID){
		"two answers":          func(g *bout, p, _ RequestID) { g.Fail(p); g.Fail(p) },
		"send after the end":   func(g *bout, p, _ RequestID) { g.Fail(p); g.Send(p, 1007, 0) },
		"unsafe twice":         func(g *bout, _, u RequestID) { g.Send(u, 1007, 0) },
		"unsafe refused":       func(g *bout, _, u RequestID) { g.Reject(u, 0) },
		"unlisted server":      func(g *bout, p, _ RequestID) { g.Send(p, 5, 0) },
		"cancel of no attempt": func(g *bout, p, _ RequestID) { g.Cancel(p, 4) },
		"late drain": func(g *bout, p, _ RequestID) {
			s := g.list[1007]
			s.State = Draining
			g.view(UpdateDelta, s)
			g.now += Time(time.Second)
			g.Send(p, 1007, 0)
		},
		"no answer": func(g *bout, p, _ RequestID) {
			g.b.requests = map[RequestID]*request{}
			g.pass(3*time.Second, time.Hour, func(ServerID) bool { return false })
		},
	} {
		set := base()
		g := start(t, set, 1, fleet(6)...)
		p, u := g.ask(0, 5), g.ask(1, 6)
		if g.check(); t.Failed() {
			return
		}
		if foul(g, p, u); len(g.faults) == 0 {
			t.Errorf("%s: not caught", name)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		g := start(t, base(), 9, fleet(9)...)
		for i := range 400 {
			g.ask(i%5, uint64(i%30))
			g.pass(20*time.Millisecond, 100*time.Millisecond, func(s ServerID) bool { return s != 1007 })
		}
		return g.trace
	}
	one, two := run(), run()
	if fmt.Sprint(one) != fmt.Sprint(two) || len(one) < 400 {
		t.Fatalf("runs differ or are empty: %d and %d actions", len(one), len(two))
	}
}

func TestCounter(t *testing.T) {
	for _, c := range []struct {
		name    string
		results string // p pass, f fail
		counter int
		up      bool
	}{
		{"first pass decides", "p", 2, true},
		{"first failure decides", "f", 1, false},
		{"saturates above", "ppppppp", 4, true},
		{"one failure from full", "pppf", 3, true},
		{"fall failures from full", "pppfff", 1, false},
		{"saturates below", "pffffff", 0, false},
		{"rise passes from nothing", "pffffpp", 2, true},
		{"one pass from nothing", "pffffp", 1, false},
	} {
		g := start(t, base(), 1, fleet(3)...)
		s := g.b.servers[0]
		for _, r := range c.results {
			s.health.checkSentAt = g.now
			g.b.recordCheck(s, r == 'p')
		}
		if s.health.counter != c.counter || (s.health.ejectedAt == 0) != c.up {
			t.Errorf("%s: counter %d up %v, want %d %v", c.name, s.health.counter, (s.health.ejectedAt == 0), c.counter, c.up)
		}
	}
}

func TestProbesEjectADeadServer(t *testing.T) {
	g := start(t, base(), 1, fleet(4)...)
	g.pass(15*time.Second, 0, func(s ServerID) bool { return s != 1007 })
	for i := range 200 {
		g.ask(0, uint64(i+1))
		g.pass(10*time.Millisecond, 5*time.Millisecond, always)
	}
	for id, tk := range g.open {
		for _, a := range tk.shots {
			if a.to == 1007 && a.at < Time(time.Hour)+15*Time(time.Second) {
				t.Fatalf("request %d went to the dead server", id)
			}
		}
	}
	g.check()
}

// Guards against probes that fail while work succeeds.
func TestWorkKeepsUpWhatProbesFail(t *testing.T) {
	g := start(t, base(), 1, fleet(4)...)
	for i := range 1500 {
		g.ask(0, uint64(i%50+1))
		g.pass(10*time.Millisecond, 5*time.Millisecond, always)
		for _, s := range g.b.servers {
			if i < 200 {
				continue
			}
			s.health.checkSentAt = max(s.health.checkSentAt, g.now-500*ms) // a failure for each
			g.b.recordCheck(s, false)
		}
	}
	for _, s := range g.b.servers {
		if s.health.ejectedAt != 0 {
			t.Errorf("server %d is out, though it answers", s.ID)
		}
	}
}

// Guards against servers that pass probes and answer no work.
func TestSilentServerIsSuspected(t *testing.T) {
	g := start(t, base(), 1, fleet(6)...)
	hang := func(s ServerID) bool { return s != 1007 }
	late := 0
	for i := range 600 {
		id := g.ask(0, uint64(i%60+1))
		g.pass(10*time.Millisecond, 20*time.Millisecond, hang)
		if tk := g.open[id]; i > 300 && len(tk.shots) > 0 && tk.shots[0].to == 1007 {
			late++
		}
		if g.probes[1007] > 0 { // its probes pass all the same
			g.probes[1007] = 0
			g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: 1007, Result: OK})
		}
	}
	if late > 3 {
		t.Errorf("%d requests went to a silent server after 3 s", late)
	}
	g.check()
}

// Guards against an emptied table when all servers do badly at once.
func TestAllBadKeepsTheTable(t *testing.T) {
	g := start(t, base(), 1, fleet(6)...)
	for i := range 600 {
		id := g.ask(0, uint64(i+1))
		g.pass(5*time.Millisecond, time.Hour, func(ServerID) bool { return false })
		if tk := g.open[id]; len(tk.shots) > 0 {
			g.answer(id, 0, Errored)
		}
		for _, s := range g.b.servers {
			g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: s.ID, Result: OK})
		}
	}
	in := 0
	for _, s := range g.b.servers {
		if s.health.ejectedAt == 0 {
			in++
		}
	}
	if in < 3 {
		t.Errorf("only %d of 6 servers are in the table", in)
	}
}

func TestTableShares(t *testing.T) {
	servers := fleet(8)
	servers[3].Weight = 2
	g := start(t, base(), 1, servers...)
	g.b.buildTables()
	before := g.b.tables.all
	count := map[ServerID]int{}
	for _, s := range before {
		count[s.ID]++
	}
	for _, s := range servers {
		want := smallTableSize / 9 * int(s.Weight)
		if got := count[s.ID]; got < want*95/100 || got > want*105/100 {
			t.Errorf("server %d has %d entries, want about %d", s.ID, got, want)
		}
	}
	moved := func() (n int) {
		for i, s := range g.b.tables.all {
			if s != before[i] && before[i].entry.weight > 0 {
				n++
			}
		}
		return n
	}
	servers[0].State = Draining
	g.view(UpdateDelta, servers[0])
	g.b.buildTables()
	if n := moved(); n > smallTableSize/5 {
		t.Errorf("%d entries of the other servers moved when one left", n)
	}
	servers[0].State = Ready
	servers[5].Weight = 1.25
	g.view(UpdateFull, servers...)
	g.b.buildTables()
	if n := moved(); n > smallTableSize/4 {
		t.Errorf("%d entries moved when one weight changed by a quarter", n)
	}
}

// Guards against probes that grow as nodes times servers: a node with little traffic sends few, one with
// none still sends some, and servers that it cannot afford to probe stay in on the list's word.
func TestProbesAreBoundedByTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		every       time.Duration // between requests; 0: none
		price       float64
		least, most int
	}{
		{"no traffic", 0, 0, 8, 20},
		{"little traffic", 400 * time.Millisecond, 0, 15, 30},
		{"dear probes", 400 * time.Millisecond, 0.25, 8, 20},
		{"much traffic", 5 * time.Millisecond, 0, 400, 1300},
	} {
		set := base()
		set.Nodes, set.HealthCheckCost = 500, c.price
		g := start(t, set, 1, fleet(60)...)
		next := g.now + Time(c.every)
		for end := g.now + Time(time.Minute); g.now < end; {
			g.pass(5*time.Millisecond, 20*time.Millisecond, always)
			if c.every > 0 && g.now >= next {
				g.ask(0, uint64(g.next%50+1))
				next += Time(c.every)
			}
		}
		sent := 0
		for _, line := range g.trace {
			if strings.HasPrefix(line, "probe") {
				sent++
			}
		}
		in := 0
		for _, s := range g.b.servers {
			if s.health.ejectedAt == 0 {
				in++
			}
		}
		if g.check(); sent < c.least || sent > c.most || in != 60 {
			t.Errorf("%s: %d probes in a minute, want %d to %d; %d of 60 servers in", c.name, sent, c.least, c.most, in)
		}
	}
}

// Guards against a request that kills whatever runs it: one whose connection broke goes no further, and its
// client is asked to stay away for long. A failed connection, which proves that it never ran, is no such sign.
func TestAResetIsNotSpread(t *testing.T) {
	for _, c := range []struct {
		result Result
		shots  int
		ended  string
	}{{Reset, 1, "refuse"}, {ConnectFailed, 2, ""}, {Errored, 2, ""}} {
		g := start(t, base(), 1, fleet(6)...)
		id := g.ask(0, 5)
		g.answer(id, 0, c.result)
		if tk := g.open[id]; len(tk.shots) != c.shots || tk.ended != c.ended {
			t.Errorf("after result %d: %d attempts, ended %q", c.result, len(tk.shots), tk.ended)
		}
		if c.result == Reset && g.after != g.set.MaxRetryAfter {
			t.Errorf("advice to come back after %v", g.after)
		}
	}
}

// Guards against one tenant's slowness, wherever it runs, narrowing what the others may do; a jam that all
// tenants meet must still make it shed.
func TestATenantsOwnSlownessIsNoJam(t *testing.T) {
	set := base()
	set.Tenants = []Tenant{{}, {}, {}}
	narrowed := func(slow func(tenant int) bool) bool {
		g := start(t, set, 1, fleet(30)...)
		for i := range 600 {
			lat := 50 * time.Millisecond
			if slow(i % 3) {
				lat = 950 * time.Millisecond
			}
			id := RequestID(i + 1)
			g.b.HandleRequest(g.now, Request{ID: id, Timeout: time.Second, AffinityKey: uint64(i%29 + 1), Tenant: i % 3})
			g.b.HandleOutcome(g.now+Time(lat), Outcome{ID: id, Latency: lat, Result: OK, RequestDone: true})
		}
		g.ask(0, 30)
		return g.b.sheddingPressure > 0
	}
	if narrowed(func(tenant int) bool { return tenant == 0 }) {
		t.Error("one slow tenant of three makes the node shed")
	}
	if !narrowed(func(int) bool { return true }) {
		t.Error("a jam of all tenants sheds nothing")
	}
}

// Guards against the sum over many nodes: each may send a cold server far less than one request at a time.
func TestColdBudgetOverManyNodes(t *testing.T) {
	for _, nodes := range []int{10, 200} {
		set := base()
		set.Nodes = nodes
		sent := 0
		for seed := range uint64(nodes) {
			g := start(t, set, seed, fleet(3)...)
			g.b.warmThroughput = 40.0 / float64(nodes) // forty requests of a quarter second's work a second, over all
			s := g.b.serversByID[1007]
			s.StartedAt, s.load.limit = g.now, 1000
			for range 100 {
				g.b.now += 10 * ms
				r := &request{class: &g.b.classes[0], work: 0.25}
				if g.b.admitsSlowStart(s, r) {
					s.slowStart.spent += g.b.slowStartCost(r)
					sent++
				}
			}
		}
		// A window of one second touches three halves: well under the multiple, of a quarter of ten, in quarters.
		if most := int(0.8 * 3 * 0.25 * 10 / 0.25); sent < 4 || sent > most {
			t.Errorf("%d nodes send %d requests in a fall window, want 4 to %d", nodes, sent, most)
		}
	}
}

// Keys keep to the zone only where crossing has a price, in a small one as many as it carries without one of its
// servers, and spill from it.
func TestZoneFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int // in three zones
		price   float64
		near    bool
		least   int // keys of 300 that stay
		most    int
	}{{"large zones", 30, 0.1, true, 299, 300}, {"no price", 30, 0, false, 50, 150}, {"cheap", 21, 0.005, false, 50, 150},
		{"four a zone", 12, 0.1, true, 270, 298}, {"two a zone", 6, 0.1, true, 200, 260}, {"one a zone", 3, 0.1, false, 50, 150}} {
		set := base()
		set.Nodes, set.Zones, set.Zone, set.CrossZoneCost = 300, 3, 1, c.price
		servers := fleet(c.servers)
		for i := range servers {
			servers[i].Zone = uint8(i % 3)
		}
		g := start(t, set, 1, servers...)
		near := 0
		for key := uint64(1); key <= 300; key++ {
			tk := g.open[g.ask(0, key)]
			if g.b.serversByID[tk.shots[0].to].Zone == 1 {
				near++
			}
			g.pass(20*time.Millisecond, 10*time.Millisecond, always)
		}
		if near < c.least || near > c.most {
			t.Errorf("%s: %d of 300 keys stay", c.name, near)
		}
		if id := g.ask(0, 7); c.near { // the zone turns it away: a further attempt may cross
			g.answer(id, 0, Rejected)
			if tk := g.open[id]; len(tk.shots) != 2 {
				t.Errorf("%s: %d attempts after a rejection", c.name, len(tk.shots))
			}
		}
		g.check()
	}
}

// A key whose entries of the zone are full finds an idle server elsewhere, and is not refused for want of looking.
func TestSpillLeavesAFullZone(t *testing.T) {
	set := base()
	set.Zones, set.CrossZoneCost = 2, 0.1
	g := start(t, set, 1, fleet(12)...)
	for _, s := range g.b.servers {
		if s.Zone == set.Zone {
			s.load.limit, s.load.inFlight = 1, 1
		}
	}
	sent := 0
	for key := uint64(1); key <= 60; key++ {
		id := g.ask(0, key)
		for n := range g.open[id].shots {
			sent++
			g.answer(id, n, OK)
		}
	}
	if sent < 57 {
		t.Errorf("%d of 60 sent", sent)
	}
	g.check()
}

// A server that turned a request away, as those do that drain, gets nothing new for an aim.
func TestTurnedAwayRests(t *testing.T) {
	g := start(t, base(), 1, fleet(1)...)
	g.answer(g.ask(0, 7), 0, Rejected)
	for i, want := range []int{0, 0, 1} {
		id := g.ask(1, 7)
		if n := len(g.open[id].shots); n != want {
			t.Errorf("%d: sent %d times, want %d", i, n, want)
		}
		g.pass(600*time.Millisecond, time.Millisecond, always)
	}
	g.check()
}

// It rests for no longer than a server that is Down, however long the class's aim: one full queue met by each of a
// few servers in turn would leave nothing for any class.
func TestTurnedAwayIsTriedAgain(t *testing.T) {
	set := base()
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = time.Minute, 2*time.Minute
	g := start(t, set, 1, fleet(1)...)
	g.answer(g.ask(0, 7), 0, Rejected)
	g.pass(checkIntervalDown, time.Millisecond, always)
	if n := len(g.open[g.ask(1, 7)].shots); n != 1 {
		t.Errorf("sent %d times, want 1", n)
	}
	g.check()
}

// However slow its answers, one of the largest servers keeps room for two, and any for one.
func TestLeastLimit(t *testing.T) {
	servers := fleet(2)
	servers[0].Weight = 1.5
	g := start(t, base(), 1, servers...)
	g.ask(0, 7) // the table is built
	for i, want := range []float64{minLargestLimit, 1} {
		s := g.b.serversByID[servers[i].ID]
		for range 20 {
			g.now += 300 * ms
			g.b.now = g.now
			g.b.reduceLimit(s, 0.5, time.Second)
		}
		if s.load.limit != want {
			t.Errorf("server of weight %v: limit %v, want %v", s.capacity, s.load.limit, want)
		}
	}
}

// An attempt that much later ones overtook is stuck alone: it fills no limit, its end is no sign of a jam, and a
// harmless request goes to another server while it can still be served in time.
func TestOvertaken(t *testing.T) {
	for class, want := range []int{2, 1} { // Pure, SideEffect
		g := start(t, base(), 1, fleet(2)...)
		g.b.retryTokens = 9
		stuck := g.ask(class, 7)
		s := g.b.serversByID[g.open[stuck].shots[0].to]
		for range 16 {
			g.now += 50 * ms
			id := g.ask(class, 7)
			g.now += 5 * ms
			g.answer(id, 0, OK)
		}
		if s.load.inFlight != 1 {
			t.Fatalf("class %d: %d in flight", class, s.load.inFlight)
		}
		g.b.HandleTimer(g.now, tickTimer)
		if s.load.inFlight != 0 {
			t.Errorf("class %d: %d in flight of none", class, s.load.inFlight)
		}
		if slices.Contains(g.trace, fmt.Sprint("cancel ", stuck, 0)) != (want == 2) {
			t.Errorf("class %d: not called off", class)
		}
		before, median := s.load.limit, g.b.medianWait
		g.answer(stuck, 0, map[int]Result{2: Cancelled, 1: TimedOut}[want])
		if g.b.overtakenShare <= 0 {
			t.Errorf("class %d: none counted as overtaken", class)
		}
		if n := len(g.open[stuck].shots); n != want || s.load.limit != before || g.b.medianWait > median || s.load.inFlight < 0 {
			t.Errorf("class %d: %d attempts, want %d; limit %v -> %v", class, n, want, before, s.load.limit)
		}
		g.check()
	}
}

// Where answers get lost, a request of a harmless class goes out a second time after half its aim, as long as
// copies are in hand. The attempt that was not answered is left out, to show whether it is overtaken.
func TestSecondCopy(t *testing.T) {
	for name, c := range map[string]struct {
		class  int
		copies float64
		allow  bool
		want   int
	}{
		"pure":        {0, 1, true, 2},
		"unsafe":      {1, 1, true, 1},
		"none lost":   {0, 0, true, 1},
		"not allowed": {0, 1, false, 1},
	} {
		set := base()
		set.Hedging = c.allow
		g := start(t, set, 1, fleet(6)...)
		g.b.hedgeTokens = c.copies
		id := g.ask(c.class, 7)
		g.pass(490*time.Millisecond, time.Hour, always)
		if len(g.open[id].shots) != 1 {
			t.Errorf("%s: sent twice before half its aim", name)
		}
		g.pass(20*time.Millisecond, time.Hour, always)
		shots := g.open[id].shots
		if len(shots) != c.want || len(shots) == 2 && shots[0].to == shots[1].to || g.b.hedgeTokens >= 1 != (c.want == 1 && c.copies == 1) {
			t.Errorf("%s: sent to %v, %v copies in hand", name, shots, g.b.hedgeTokens)
		}
		if g.answer(id, len(shots)-1, OK); slices.Contains(g.trace, fmt.Sprint("cancel ", id, 0)) {
			t.Errorf("%s: called off at the answer", name)
		}
		if gone := g.ask(0, 8); c.want == 2 {
			g.b.hedgeTokens = 1
			g.b.HandleTimer(g.now, firstHedgeTimer+uint64(gone))
			g.open[gone].ended = "hangup"
			g.b.HandleDisconnect(g.now, gone)
			for n := range 2 {
				if !slices.Contains(g.trace, fmt.Sprint("cancel ", gone, n)) {
					t.Errorf("attempt %d goes on after its client has left", n)
				}
			}
		}
		g.check()
	}
}

// Where answers get lost, an attempt that is late fills no limit, and its time-out says nothing of its server.
func TestLateWhereAnswersGetLost(t *testing.T) {
	for _, hush := range []float64{0, 0.1} {
		set := base()
		set.Classes[1].LatencyObjective = 200 * time.Millisecond
		g := start(t, set, 1, fleet(6)...)
		g.b.overtakenShare = hush
		id := g.ask(1, 7)
		s := g.b.serversByID[g.open[id].shots[0].to]
		g.pass(300*time.Millisecond, time.Hour, always)
		if held := s.load.inFlight == 1; held != (hush == 0) {
			t.Errorf("%v overtaken: %d in flight", hush, s.load.inFlight)
		}
		limit := s.load.limit
		if g.answer(id, 0, TimedOut); (s.load.limit == limit) != (hush > 0) || s.load.inFlight != 0 {
			t.Errorf("%v overtaken: limit %v -> %v, %d in flight", hush, limit, s.load.limit, s.load.inFlight)
		}
		g.check()
	}
}

// Changed settings hold from the next decision on; what was learnt stays, and so do the lists' lengths.
func TestSet(t *testing.T) {
	set := base()
	g := start(t, set, 1, fleet(3)...)
	lat := g.b.classes[0].meanLatency
	set.MaxAttempts, set.Nodes = 1, 0
	set.Classes = slices.Clone(set.Classes)
	set.Classes[0].PriorityWeight = 99
	if err := g.b.UpdateSettings(g.now, set); err != nil || g.b.settings.Nodes != 1 || g.b.classes[0].PriorityWeight != 99 || g.b.classes[0].meanLatency != lat {
		t.Errorf("%v, %+v", err, g.b.classes[0])
	}
	id := g.ask(0, 7)
	if g.answer(id, 0, Rejected); len(g.open[id].shots) != 1 {
		t.Errorf("%d attempts of one allowed", len(g.open[id].shots))
	}
	set.Classes = set.Classes[1:]
	if err := g.b.UpdateSettings(g.now, set); err == nil || len(g.b.settings.Classes) != len(g.b.classes) {
		t.Error("a class fewer was taken")
	}
}

// A request in hand keeps what its class allowed as it came, whatever settings say by the time of its outcome: else a
// reload would let it run twice, or refuse what may have run.
func TestRequestsKeepTheirEffect(t *testing.T) {
	const safe, unsafe, everywhere = 0, 1, 4
	for name, c := range map[string]struct{ class, as, shots int }{
		"a side effect that turns safe":    {unsafe, safe, 1},
		"a token of all that turns safe":   {everywhere, safe, 1}, // a class without a window leaves it none
		"a safe one that turns unsafe":     {safe, unsafe, 2},
		"a token of a cell that turns all": {2, everywhere, 1}, // alone in its cell
	} {
		servers := fleet(2)
		servers[1].Cell = 9
		g := start(t, base(), 1, servers...)
		id := g.ask(c.class, 7)
		was, set := g.set.Classes[c.class], base()
		set.Classes[c.class] = set.Classes[c.as]
		if err := g.b.UpdateSettings(g.now, set); err != nil {
			t.Fatal(err)
		}
		g.answer(id, 0, Errored) // it may have run
		if n := len(g.open[id].shots); n != c.shots {
			t.Errorf("%s: %d attempts, want %d", name, n, c.shots)
		}
		if may := was.Idempotency == Idempotent || was.Idempotency == IdempotencyKeyed && was.DedupScope == DedupFleet; c.shots == 1 && !may && g.open[id].ended != "fail" {
			t.Errorf("%s: it ended by %q", name, g.open[id].ended)
		}
		g.check()
	}
}

// A request in hand keeps its class's window, too: whoever got its first attempt may drop repeats for as long only. One
// that settings have shortened meanwhile holds at once.
func TestRequestsKeepTheirWindow(t *testing.T) {
	const everywhere = 4
	for _, c := range []struct {
		was, is, wait Time
		shots         int
	}{
		{300 * ms, 300 * ms, 200 * ms, 2}, {300 * ms, 300 * ms, 400 * ms, 1},
		{300 * ms, 600 * ms, 200 * ms, 2}, {300 * ms, 600 * ms, 400 * ms, 1},
		{600 * ms, 300 * ms, 200 * ms, 2}, {600 * ms, 300 * ms, 400 * ms, 1},
	} {
		before, after := base(), base()
		before.Classes[everywhere].DedupWindow, after.Classes[everywhere].DedupWindow = time.Duration(c.was), time.Duration(c.is)
		g := start(t, before, 1, fleet(2)...)
		id := g.ask(everywhere, 7)
		if err := g.b.UpdateSettings(g.now, after); err != nil {
			t.Fatal(err)
		}
		g.now += c.wait
		g.answer(id, 0, Errored) // it may have run
		if n := len(g.open[id].shots); n != c.shots {
			t.Errorf("%d ms, then %d ms: %d attempts after %d ms, want %d", c.was/ms, c.is/ms, n, c.wait/ms, c.shots)
		}
	}
}

// A probe that never left its node says nothing of the server, and the next one is not held up by it.
func TestMootProbes(t *testing.T) {
	g := start(t, base(), 1, fleet(1)...)
	for range 400 { // 20 s
		g.now += 50 * ms
		g.b.checkTokens = maxCheckTokens // as many as may be
		g.b.HandleTimer(g.now, tickTimer)
		for id, n := range g.probes {
			if n > 0 {
				g.probes[id] = 0
				g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: id, Result: NotSent})
			}
		}
	}
	if s := g.b.servers[0]; s.health.ejectedAt != 0 || !s.health.unknown || g.probed < 8 {
		t.Errorf("%+v after %d moot probes", s.Server, g.probed)
	}
}

// Servers are replaced all day: those that have gone are forgotten in time, not before their work is back.
func TestForget(t *testing.T) {
	g := start(t, base(), 1, fleet(1)...)
	busy := g.ask(0, 7)
	for i := range 100 {
		next := fleet(1)
		next[0].ID += ServerID(i + 1)
		g.now += Time(10 * time.Second)
		g.b.HandleServers(g.now, UpdateFull, next)
	}
	if n := len(g.b.servers); n > 10 || n != len(g.b.serversByID) {
		t.Errorf("%d servers are remembered, %d by id", n, len(g.b.serversByID))
	}
	if first := g.open[busy].shots[0].to; !g.b.Knows(first) {
		t.Error("a server with work out is forgotten")
	}
}

// A node's part of a quota may be far under one request a second: it is saved up, and still a limit.
func TestQuotaOfManyNodes(t *testing.T) {
	set := base()
	set.Nodes, set.Tenants = 500, []Tenant{{Quota: 100}}
	g := start(t, set, 1, fleet(3)...)
	for every, want := range map[time.Duration]int{6 * time.Second: 0, time.Second: 79} {
		over := 0
		for range 100 {
			g.b.now += Time(every)
			if g.b.exceedsQuota(&g.b.tenants[0]) {
				over++
			}
		}
		if over < want-2 || over > want+2 {
			t.Errorf("one request in %v against a part of one in 5 s: %d of 100 over, want %d", every, over, want)
		}
	}
}

func TestRampAndColdBudget(t *testing.T) {
	set := base()
	servers := fleet(5)
	g := start(t, set, 1, servers...)
	load := func(d time.Duration) {
		for end := g.now + Time(d); g.now < end; {
			for range 2 {
				g.ask(0, uint64(g.next%97+1))
			}
			g.pass(10*time.Millisecond, 20*time.Millisecond, always)
		}
	}
	load(5 * time.Second)
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.view(UpdateDelta, cold)
	load(8 * time.Second)
	per := 200.0 / 5 // requests a second that a warm server carries
	var sends []Time
	for _, id := range keys(g.open) {
		for _, a := range g.open[id].shots {
			if a.to == cold.ID {
				sends = append(sends, a.at)
			}
		}
	}
	if len(sends) == 0 {
		t.Fatal("the new server got nothing")
	}
	for i := range sends {
		n := 0
		for _, s := range sends[i:] {
			if s < sends[i]+Time(set.OverloadWindow) {
				n++
			}
		}
		age := float64(sends[i]-cold.StartedAt) / float64(set.SlowStart)
		if most := set.OverloadFactor * (set.InitialCapacity + (1-set.InitialCapacity)*age) * per * set.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends in a window from %.2f of the warm-up, %.0f allowed", n, age, most)
		}
	}
	g.check()
}

// Guards against a burst of one key at a server that has just started.
func TestColdBudgetHoldsAgainstAHotKey(t *testing.T) {
	set := base()
	set.OverloadWindow, set.OverloadFactor = time.Second, 3
	g := start(t, set, 1, fleet(2)...)
	for range 300 {
		for range 2 {
			g.ask(0, uint64(g.next%97+1))
		}
		g.pass(10*time.Millisecond, 20*time.Millisecond, always)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.view(UpdateDelta, cold)
	g.pass(5*time.Second, 20*time.Millisecond, always)
	s := g.b.serversByID[cold.ID]
	s.load.limit = 1000 // so that only the budget can hold
	cold.StartedAt = g.now
	s.StartedAt = g.now
	g.b.buildTables()
	key := uint64(1)
	for g.b.tables.all[mix(key)%smallTableSize] != s {
		key++
	}
	sent := 0
	for range 400 {
		if tk := g.open[g.ask(0, key)]; len(tk.shots) > 0 && tk.shots[0].to == cold.ID {
			sent++
		}
	}
	if most := int(set.OverloadFactor * set.InitialCapacity * 100); sent == 0 || sent > most {
		t.Errorf("a burst of %d went to a cold server, at most %d allowed", sent, most)
	}
}

// Guards against servers that stay silent where no attempt may be cut short.
func TestSilenceShowsBeforeATimeOut(t *testing.T) {
	set := base()
	set.HealthChecks = false
	set.Classes[1].Deadline = time.Minute
	g := start(t, set, 1, fleet(6)...)
	for range 150 {
		g.ask(1, uint64(g.next%60+1))
		g.pass(10*time.Millisecond, 20*time.Millisecond, always)
	}
	for range 400 {
		g.ask(1, uint64(g.next%60+1))
		g.pass(10*time.Millisecond, 20*time.Millisecond, func(s ServerID) bool { return s != 1007 })
	}
	if g.b.serversByID[1007].health.ejectedAt == 0 {
		t.Error("silent for 4 s, and still in the table")
	}
}

// Guards against a slowness of the whole fleet that no single server's limit shows: what is worth least is shed,
// what is worth most is not, and it ends once answers are fast again.
func TestSlowFleetShedsTheLeastWorth(t *testing.T) {
	set := base()
	set.Classes[1].PriorityWeight = 20
	g := start(t, set, 1, fleet(30)...)
	refused := func(class int, lat time.Duration) (n int) {
		for range 200 {
			id := g.ask(class, uint64(g.next%29+1))
			if g.open[id].ended == "refuse" && len(g.open[id].shots) == 0 {
				n++
			}
			g.pass(20*time.Millisecond, lat, always)
		}
		return n
	}
	quick, slow, most, after := refused(0, 50*time.Millisecond), refused(0, 900*time.Millisecond),
		refused(1, 900*time.Millisecond), 0
	refused(0, 50*time.Millisecond)
	if after = refused(0, 50*time.Millisecond); quick > 0 || slow < 20 || most > slow/3 || after > 0 {
		t.Errorf("refused: %d while quick, %d while slow, %d of the most worth, %d after", quick, slow, most, after)
	}
}

// Guards against wrong hints: a small purse lets the smallest through, which say least of the true work.
func TestColdServerIsNotPickedBySmallHints(t *testing.T) {
	g := start(t, base(), 1, fleet(3)...)
	hint := func(d time.Duration, key uint64) RequestID {
		id := g.next
		g.next++
		g.open[id] = &ticket{class: 0, deadline: g.now + Time(time.Second)}
		g.order = append(g.order, id)
		g.b.HandleRequest(g.now, Request{ID: id, Timeout: time.Second, AffinityKey: key, ExpectedWork: d})
		return id
	}
	for i := range 600 {
		hint(100*time.Millisecond, uint64(i%50+1))
		g.pass(10*time.Millisecond, 20*time.Millisecond, always)
	}
	cold := Server{ID: 5000, Weight: 1, State: Ready, StartedAt: g.now}
	g.view(UpdateDelta, cold)
	g.pass(2*time.Second, 20*time.Millisecond, always)
	s := g.b.serversByID[cold.ID]
	s.load.limit, s.StartedAt = 1000, g.now
	g.b.buildTables()
	sent := 0
	for key := uint64(1); key < 4000; key++ {
		if g.b.tables.all[mix(key)%smallTableSize] == s {
			if tk := g.open[hint(time.Millisecond, key)]; len(tk.shots) > 0 && tk.shots[0].to == cold.ID {
				sent++
			}
		}
	}
	if most := int(g.set.OverloadFactor * g.set.InitialCapacity * 100 / 3); sent == 0 || sent > most {
		t.Errorf("%d requests with small hints went to a cold server at once, at most %d allowed", sent, most)
	}
}

func keys(m map[RequestID]*ticket) (out []RequestID) {
	for id := RequestID(1); int(id) <= len(m); id++ {
		out = append(out, id)
	}
	return out
}

func TestNoneUpIsRefusedAtOnce(t *testing.T) {
	g := start(t, base(), 1)
	for class := range g.set.Classes {
		id := g.ask(class, 3)
		if g.open[id].ended != "refuse" || g.after <= 0 {
			t.Errorf("class %d: %q with advice %v", class, g.open[id].ended, g.after)
		}
	}
	g.check()
}

func TestListMustBeAskedFor(t *testing.T) {
	set := base()
	set.PollDiscovery, set.PollInterval = true, 8*time.Second
	g := start(t, set, 1, fleet(3)...)
	if g.watches != 1 {
		t.Fatalf("%d calls at the start", g.watches)
	}
	calls := 1
	for range 20 {
		g.view(UpdateFailed)
		g.pass(8*time.Second, 0, always)
		if g.watches == calls {
			t.Fatal("no further call within ask_every")
		}
		if g.watches > calls+1 {
			t.Fatalf("%d calls for one failure", g.watches-calls)
		}
		calls = g.watches
	}
	g.view(UpdateFull, fleet(3)...)
	g.pass(30*time.Second, 0, always)
	if g.watches != calls {
		t.Error("called while the watch holds")
	}
}

// TestAskedAgainSoon: however often calls fail and whatever the settings say, discovery is asked again soon enough
// that what it tells then is taken in 6 s after it could be reached, with 3 s left for the call; and not at once.
func TestAskedAgainSoon(t *testing.T) {
	for _, every := range []time.Duration{0, time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Hour} {
		set := base()
		set.PollDiscovery, set.PollInterval = true, every
		for seed := range uint64(5) {
			g := start(t, set, seed, fleet(3)...)
			for fails := range 30 {
				g.view(UpdateFailed)
				failed, calls := g.now, g.watches
				for g.watches == calls && g.now < failed+Time(time.Minute) {
					g.pass(tickInterval, 0, always)
				}
				if d := time.Duration(g.now - failed); d < 700*time.Millisecond || d > 3*time.Second-2*tickInterval {
					t.Fatalf("ask_every %v: asked again %v after failure %d", every, d, fails+1)
				}
			}
		}
	}
}

func TestRestarts(t *testing.T) {
	servers := fleet(4)
	g := start(t, base(), 1, servers...) // a node with nothing but its last list serves at once
	if id := g.ask(0, 1); len(g.open[id].shots) != 1 {
		t.Fatal("a restarted node does not serve from its cached list")
	}
	g.pass(5*time.Second, 5*time.Millisecond, always)
	s := g.b.serversByID[servers[1].ID]
	servers[1].StartedAt = g.now
	g.view(UpdateFull, servers...)
	if s.health.ejectedAt == 0 {
		t.Error("a restarted server is Up before its first probe")
	}
	g.pass(time.Second, 5*time.Millisecond, always)
	if w := g.b.warmth(s); !(s.health.ejectedAt == 0) || w >= 0.5 || w < g.set.InitialCapacity {
		t.Errorf("a restarted server after a good probe: up %v, warm %.2f", (s.health.ejectedAt == 0), w)
	}
	g.pass(12*time.Second, 5*time.Millisecond, always)
	if w := g.b.warmth(s); w != 1 {
		t.Errorf("warm %.2f after the whole warm-up", w)
	}
	g.check()
}

func TestDroppedStay(t *testing.T) {
	for _, stay := range []bool{false, true} {
		for _, first := range []ServerState{Removed, Draining} {
			set := base()
			set.ServeRemoved = stay
			g := start(t, set, 1, fleet(1)...)
			s := fleet(1)[0]
			s.State = first
			g.view(UpdateDelta, s)
			s.State = Removed
			g.view(UpdateDelta, s)
			g.now += 5 * ms
			sent := len(g.open[g.ask(0, 1)].shots) > 0
			if want := stay && first == Removed; sent != want {
				t.Errorf("stay %v, listed %d first: sent %v", stay, first, sent)
			}
		}
	}
}

func TestOddFigures(t *testing.T) {
	nan := float32(0)
	nan /= nan
	g := start(t, base(), 1, Server{ID: 1, State: Ready, Weight: nan}, Server{ID: 2, State: Ready, Weight: -3},
		Server{ID: 3, State: Ready})
	g.ask(0, 0)
	g.b.HandleRequest(g.now, Request{ID: 900, Class: 99})
	g.open[901] = &ticket{}
	g.b.HandleRequest(g.now, Request{ID: 901, Timeout: -time.Second})
	if g.open[901].ended == "" && len(g.open[901].shots) == 0 {
		t.Error("a request past its deadline is held")
	}
	if _, err := New(Settings{}, 1, 0, g); err == nil {
		t.Error("settings without classes were taken")
	}
}

// A request is one allocation: its own record.
func TestRequestPathAllocatesOnce(t *testing.T) {
	set := base()
	b, err := New(set, 1, 1000, idle{})
	if err != nil {
		t.Fatal(err)
	}
	now := Time(2000)
	b.HandleServers(now, UpdateCached, fleet(10))
	id := RequestID(0)
	step := func() {
		id++
		now += 5 * ms
		b.HandleRequest(now, Request{ID: id, Timeout: time.Second, AffinityKey: uint64(id % 100)})
		b.HandleOutcome(now+ms, Outcome{ID: id, Latency: 50 * time.Millisecond, Result: OK, RequestDone: true})
	}
	for range 1000 {
		step()
	}
	if n := testing.AllocsPerRun(1000, step); n > 1 {
		t.Errorf("%v allocations a request", n)
	}
}

// idle is a Host that does nothing.
type idle struct{}

func (idle) Send(RequestID, ServerID, Time)  {}
func (idle) Cancel(RequestID, int)           {}
func (idle) Reject(RequestID, time.Duration) {}
func (idle) Fail(RequestID)                  {}
func (idle) CheckHealth(ServerID)            {}
func (idle) Watch()                          {}
func (idle) SetTimer(time.Duration, uint64)  {}
func (idle) Log(string)                      {}

// sources parses the package's files but for its tests.
func sources(t *testing.T) []*ast.File {
	t.Helper()
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var files []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestLogLinesAreOnThePage keeps the package's log lines and the on-call page in step.
func TestLogLinesAreOnThePage(t *testing.T) {
	page := readPage(t, "../docs/ONCALL.md")
	found := 0
	for _, file := range sources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || method.Sel.Name != "logf" {
				return true
			}
			found++
			line, ok := call.Args[0].(*ast.BasicLit)
			if !ok {
				t.Errorf("a log line that is not a literal, in %s", file.Name)
				return true
			}
			if text, err := strconv.Unquote(line.Value); err != nil || !strings.Contains(page, text) {
				t.Errorf("log line %s is not on the on-call page", line.Value)
			}
			return true
		})
	}
	if found == 0 {
		t.Fatal("no log line found")
	}
}

// TestConstantsAreOnThePage keeps the package's constants and the capacity page in step.
func TestConstantsAreOnThePage(t *testing.T) {
	page := readPage(t, "../docs/CAPACITY.md")
	found := 0
	for _, file := range sources(t) {
		for _, decl := range file.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				for _, name := range spec.(*ast.ValueSpec).Names {
					if name.IsExported() {
						continue // an enumeration, documented where it stands
					}
					found++
					if !strings.Contains(page, "`"+name.Name+"`") {
						t.Errorf("constant %s is not on the capacity page", name.Name)
					}
				}
			}
		}
	}
	if found == 0 {
		t.Fatal("no constant found")
	}
}
