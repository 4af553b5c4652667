package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = Time(time.Millisecond)

// testSettings are a fleet's settings with one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 2,
				Idempotency: Idempotent,
			},
			{
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 3,
				Idempotency: NonIdempotent,
			},
			{
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotencyKeyed, DedupScope: DedupCell, DedupWindow: 300 * time.Millisecond,
			},
			{
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotencyKeyed, DedupScope: DedupZone, DedupWindow: time.Second,
			},
			{
				LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1,
				Idempotency: IdempotencyKeyed, DedupScope: DedupFleet, DedupWindow: time.Second,
			},
		},
		Nodes: 2, DrainGrace: 500 * time.Millisecond, InitialCapacity: 0.2, SlowStart: 10 * time.Second, OverloadFactor: 3,
		OverloadWindow: time.Second, MaxAttempts: 4, HealthChecks: true, CancelAttempts: true, Hedging: true,
		RetryAfter:    true,
		MaxRetryAfter: 2 * time.Second,
	}
}

// sentAttempt is one attempt as the ruleChecker saw it leave.
type sentAttempt struct {
	server      ServerID
	sentAt      Time
	connectedAt Time // its connection is: it begins
	abandonedAt Time
	validUntil  Time // as Send had it
	begun       bool
	outstanding bool
	neverRan    bool
}

type trackedRequest struct {
	class    int
	key      uint64
	deadline Time
	attempts []sentAttempt
	answer   string
}

// pendingTimer is a timer that was asked for.
type pendingTimer struct {
	at    Time
	timer uint64
}

// ruleChecker is a Host that keeps its own books and holds every action against the rules.
type ruleChecker struct {
	settings         Settings
	now              Time
	requests         map[RequestID]*trackedRequest
	order            []RequestID
	servers          map[ServerID]Server
	drainingSince    map[ServerID]Time
	healthChecks     map[ServerID]int
	healthCheckCount int // in all
	watchCalls       int
	timers           []pendingTimer
	logs             []string
	violations       []string
	actions          []string
	lastRetryAfter   time.Duration
	connectedAt      func(to ServerID) Time // when a connection opened now is up; nil: at once
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{settings: set, requests: map[RequestID]*trackedRequest{}, servers: map[ServerID]Server{},
		drainingSince: map[ServerID]Time{}, healthChecks: map[ServerID]int{}}
}

func (f *ruleChecker) violation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("at %d ms: ", f.now/ms)+fmt.Sprintf(format, args...))
}

func (f *ruleChecker) Send(id RequestID, to ServerID, validUntil Time) {
	f.actions = append(f.actions, fmt.Sprint("send ", id, to, validUntil))
	t, s := f.requests[id], f.servers[to]
	switch {
	case t == nil:
		f.violation("send of unknown request %d", id)
		return
	case t.answer != "":
		f.violation("send of request %d after %s", id, t.answer)
	case s.ID == 0:
		f.violation("send to unlisted server %x", to)
	case !f.mayServe(s) && f.now > f.drainingSince[to]+Time(f.settings.DrainGrace):
		f.violation("send to server %x, state %d since %d ms", to, s.State, f.drainingSince[to]/ms)
	case len(t.attempts) >= f.settings.MaxAttempts:
		f.violation("request %d past its attempts", id)
	}
	c := f.settings.Classes[t.class]
	for _, a := range t.attempts {
		if a.neverRan {
			continue
		}
		from := f.servers[a.server]
		same := c.DedupScope == DedupFleet ||
			from.Zone == s.Zone && (c.DedupScope == DedupZone || from.Cell == s.Cell)
		if a.outstanding && !f.settings.Hedging {
			f.violation("second copy of request %d", id)
		}
		late := f.now > a.sentAt+Time(c.DedupWindow)
		if c.Idempotency == NonIdempotent || c.Idempotency == IdempotencyKeyed && (!same || late) {
			f.violation("request %d may run twice", id)
		}
	}
	up := f.now
	if f.connectedAt != nil {
		up = f.connectedAt(to)
	}
	t.attempts = append(t.attempts, sentAttempt{
		server: to, sentAt: f.now, connectedAt: up, abandonedAt: t.deadline, validUntil: validUntil,
		begun: up == f.now, outstanding: true,
	})
}

// mayServe reports whether the endpoint list lets new work go to a server.
func (f *ruleChecker) mayServe(s Server) bool {
	return s.State == Ready || f.settings.ServeRemoved && s.State == Removed
}

func (f *ruleChecker) Cancel(id RequestID, n int) {
	f.actions = append(f.actions, fmt.Sprint("cancel ", id, n))
	if t := f.requests[id]; t == nil || n >= len(t.attempts) {
		f.violation("cancel of attempt %d of request %d, never made", n, id)
	}
}

func (f *ruleChecker) finalAnswer(id RequestID, how string) *trackedRequest {
	f.actions = append(f.actions, fmt.Sprint(how, id))
	t := f.requests[id]
	if t == nil || t.answer != "" {
		f.violation("%s of request %d, which is not held", how, id)
		return nil
	}
	t.answer = how
	return t
}

func (f *ruleChecker) Reject(id RequestID, after time.Duration) {
	f.lastRetryAfter = after
	t := f.finalAnswer(id, "refuse")
	if t == nil {
		return
	}
	c := f.settings.Classes[t.class]
	for _, a := range t.attempts {
		harmless := c.Idempotency == Idempotent || c.Idempotency == IdempotencyKeyed && c.DedupScope == DedupFleet
		if !a.neverRan && !harmless {
			f.violation("refusal of request %d, which may have run", id)
		}
	}
}

func (f *ruleChecker) Fail(id RequestID) { f.finalAnswer(id, "fail") }

func (f *ruleChecker) CheckHealth(to ServerID) {
	f.healthChecks[to]++
	f.healthCheckCount++
	f.actions = append(f.actions, fmt.Sprint("probe ", to))
}

func (f *ruleChecker) Watch() { f.watchCalls++ }

func (f *ruleChecker) SetTimer(d time.Duration, ref uint64) {
	f.timers = append(f.timers, pendingTimer{f.now + Time(d), ref})
	slices.SortStableFunc(f.timers, func(p, q pendingTimer) int { return cmp.Compare(p.at, q.at) })
}

func (f *ruleChecker) Log(line string) { f.logs = append(f.logs, line) }

// harness is a Balancer with its ruleChecker and a clock.
type harness struct {
	t *testing.T
	*ruleChecker
	b      *Balancer
	nextID RequestID
}

func newHarness(t *testing.T, set Settings, seed uint64, servers ...Server) *harness {
	t.Helper()
	f := newRuleChecker(set)
	f.now = Time(time.Hour)
	b, err := New(set, seed, f.now, f)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t, f, b, 1}
	g.update(UpdateCached, servers...)
	return g
}

func (g *harness) update(kind UpdateKind, servers ...Server) {
	note := func(s Server) {
		if s.State != Ready && g.servers[s.ID].State == Ready {
			g.drainingSince[s.ID] = g.now
		}
		g.servers[s.ID] = s
	}
	if kind == UpdateFull || kind == UpdateCached {
		seen := map[ServerID]bool{}
		for _, s := range servers {
			seen[s.ID] = true
		}
		for id, s := range g.servers {
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

func (g *harness) request(class int, key uint64) RequestID {
	id := g.nextID
	g.nextID++
	budget := g.settings.Classes[class].Deadline / 2
	g.requests[id] = &trackedRequest{class: class, key: key, deadline: g.now + Time(budget)}
	g.order = append(g.order, id)
	g.b.HandleRequest(g.now, Request{ID: id, Timeout: budget, AffinityKey: key, Class: class})
	return id
}

// respond ends attempt n of a request.
func (g *harness) respond(id RequestID, n int, res Result) {
	t := g.requests[id]
	a := &t.attempts[n]
	if !a.outstanding {
		return
	}
	a.outstanding = false
	a.neverRan = res == Rejected || res == ConnectFailed || res == NotSent
	if res == OK && t.answer == "" {
		t.answer = "served"
	}
	g.b.HandleOutcome(g.now, Outcome{
		ID: id, Attempt: n, Server: a.server, Latency: time.Duration(g.now - a.sentAt), Result: res,
		RequestDone: t.answer != "",
	})
}

// advance moves the clock on by d in steps of 5 ms: timers, time-outs and, by alive, answers after lat and probes.
func (g *harness) advance(d, latency time.Duration, alive func(ServerID) bool) {
	for end := g.now + Time(d); g.now < end; {
		g.now += 5 * ms
		g.fireTimers()
		g.answerHealthChecks(alive)
		for i := 0; i < len(g.order); {
			if g.advanceRequest(g.order[i], latency, alive) {
				g.order = append(g.order[:i], g.order[i+1:]...)
			} else {
				i++
			}
		}
	}
}

// fireTimers calls the timers that are due.
func (g *harness) fireTimers() {
	for len(g.timers) > 0 && g.timers[0].at <= g.now {
		due := g.timers[0]
		g.timers = g.timers[1:]
		g.b.HandleTimer(g.now, due.timer)
	}
}

// answerHealthChecks passes the health checks of the servers that are alive.
func (g *harness) answerHealthChecks(alive func(ServerID) bool) {
	for _, s := range g.b.servers {
		if g.healthChecks[s.ID] > 0 && alive(s.ID) {
			g.healthChecks[s.ID] = 0
			g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: s.ID, Latency: time.Millisecond, Result: OK})
		}
	}
}

// advanceRequest begins, answers and times out the attempts of a request, and
// reports whether it is over.
func (g *harness) advanceRequest(id RequestID, latency time.Duration, alive func(ServerID) bool) bool {
	t := g.requests[id]
	outstanding := 0
	for n := 0; n < len(t.attempts); n++ { // a response may bring a further one
		a := &t.attempts[n]
		if a.outstanding && !a.begun && g.now >= a.connectedAt {
			g.beginAttempt(id, n)
			a = &t.attempts[n]
		}
		switch {
		case !a.outstanding:
		case g.now >= a.connectedAt+Time(latency) && alive(a.server):
			g.respond(id, n, OK)
		case g.now >= a.abandonedAt:
			g.respond(id, n, TimedOut)
		default:
			outstanding++
		}
	}
	if t.answer == "" && g.now > t.deadline+20*ms {
		g.violation("request %d has no answer", id)
	}
	return t.answer != "" && outstanding == 0
}

// beginAttempt lets an attempt begin whose connection is up, if its decision still
// holds.
func (g *harness) beginAttempt(id RequestID, n int) {
	a := &g.requests[id].attempts[n]
	a.begun = a.validUntil == 0 || g.now < a.validUntil || g.b.MayBegin(g.now, id, n)
	if !a.begun {
		g.respond(id, n, NotSent)
	}
}

func (g *harness) assertNoViolations() {
	g.t.Helper()
	for _, f := range g.violations {
		g.t.Error(f)
	}
}

func alwaysAlive(ServerID) bool { return true }

// testServers lists n ready servers in cells of three and zones of six.
func testServers(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: ServerID(1000 + 7*i), Cell: uint16(i / 3), Zone: uint8(i / 6), Weight: 1, State: Ready})
	}
	return out
}
