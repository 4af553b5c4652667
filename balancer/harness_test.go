package balancer

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = Time(time.Millisecond)

// testSettings returns settings with one class of each kind: class 0 is idempotent, class 1 is not, and the classes 2,
// 3 and 4 have idempotency keys that servers of a cell, a zone and the fleet recognise.
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

// sentAttempt is an attempt that the Balancer has sent, as ruleChecker recorded it.
type sentAttempt struct {
	server      ServerID
	sentAt      Time
	connectedAt Time // when its connection is established and its first byte may be sent
	abandonedAt Time // when the host abandons it: at the client's deadline
	validUntil  Time // as passed to Send
	begun       bool // its first byte was sent
	outstanding bool // it has no outcome yet
	neverRan    bool // its outcome proves that it never ran
}

// trackedRequest is a request, as ruleChecker recorded it.
type trackedRequest struct {
	class    int
	key      uint64
	deadline Time
	attempts []sentAttempt
	answer   string // "served", "refuse" (Reject), "fail" (Fail), "hangup" (HandleDisconnect); "": none yet
}

// pendingTimer is a timer that was set and has not expired.
type pendingTimer struct {
	at    Time
	timer uint64
}

// ruleChecker is a Host that keeps its own records of requests and servers and checks every action of the Balancer
// against the rules. A request is sent only to servers that may serve it, at most MaxAttempts times, and repeated only
// where that is harmless. It has exactly one final answer, which is a rejection only if the client may safely retry.
// Only attempts that were sent are cancelled.
type ruleChecker struct {
	settings         Settings
	now              Time
	requests         map[RequestID]*trackedRequest
	openRequests     []RequestID // requests without an answer or with an outstanding attempt, in order of arrival
	servers          map[ServerID]Server
	drainingSince    map[ServerID]Time
	healthChecks     map[ServerID]int
	healthCheckCount int // of all servers
	watchCalls       int
	timers           []pendingTimer
	logs             []string
	violations       []string // descriptions of the rules that were broken
	actions          []string // descriptions of all actions, in order
	lastRetryAfter   time.Duration
	connectedAt      func(to ServerID) Time // when a connection opened now is established; nil: immediately
}

func newRuleChecker(set Settings) *ruleChecker {
	return &ruleChecker{settings: set, requests: map[RequestID]*trackedRequest{}, servers: map[ServerID]Server{},
		drainingSince: map[ServerID]Time{}, healthChecks: map[ServerID]int{}}
}

// addViolation records that a rule was broken.
func (c *ruleChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d ms: ", c.now/ms)+fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id RequestID, to ServerID, validUntil Time) {
	c.actions = append(c.actions, fmt.Sprint("send ", id, to, validUntil))
	tracked, server := c.requests[id], c.servers[to]
	switch {
	case tracked == nil:
		c.addViolation("attempt of unknown request %d", id)
		return
	case tracked.answer != "":
		c.addViolation("attempt of request %d after its final answer: %s", id, tracked.answer)
	case server.ID == 0:
		c.addViolation("attempt at unlisted server %x", to)
	case !c.mayServe(server) && c.now > c.drainingSince[to]+Time(c.settings.DrainGrace):
		c.addViolation("attempt at server %x, which is in state %d since %d ms", to, server.State, c.drainingSince[to]/ms)
	case len(tracked.attempts) >= c.settings.MaxAttempts:
		c.addViolation("request %d is sent more often than MaxAttempts allows", id)
	}
	class := c.settings.Classes[tracked.class]
	for _, a := range tracked.attempts {
		if a.neverRan {
			continue
		}
		earlier := c.servers[a.server]
		sameDuplicates := class.DedupScope == DedupFleet ||
			earlier.Zone == server.Zone && (class.DedupScope == DedupZone || earlier.Cell == server.Cell)
		if a.outstanding && !c.settings.Hedging {
			c.addViolation("request %d has two attempts in flight without hedging", id)
		}
		windowOver := c.now > a.sentAt+Time(class.DedupWindow)
		if class.Idempotency == NonIdempotent || class.Idempotency == IdempotencyKeyed && (!sameDuplicates || windowOver) {
			c.addViolation("request %d may run twice", id)
		}
	}
	connectedAt := c.now
	if c.connectedAt != nil {
		connectedAt = c.connectedAt(to)
	}
	tracked.attempts = append(tracked.attempts, sentAttempt{
		server: to, sentAt: c.now, connectedAt: connectedAt, abandonedAt: tracked.deadline, validUntil: validUntil,
		begun: connectedAt == c.now, outstanding: true,
	})
}

// mayServe reports whether the endpoint list lets new work go to a server.
func (c *ruleChecker) mayServe(s Server) bool {
	return s.State == Ready || c.settings.ServeRemoved && s.State == Removed
}

func (c *ruleChecker) Cancel(id RequestID, n int) {
	c.actions = append(c.actions, fmt.Sprint("cancel ", id, n))
	if tracked := c.requests[id]; tracked == nil || n >= len(tracked.attempts) {
		c.addViolation("cancellation of attempt %d of request %d, which was never sent", n, id)
	}
}

// recordFinalAnswer records the final answer to a request. It returns nil if the request is unknown or already
// answered.
func (c *ruleChecker) recordFinalAnswer(id RequestID, answer string) *trackedRequest {
	c.actions = append(c.actions, fmt.Sprint(answer, id))
	tracked := c.requests[id]
	if tracked == nil || tracked.answer != "" {
		c.addViolation("%s of request %d, which is unknown or already answered", answer, id)
		return nil
	}
	tracked.answer = answer
	return tracked
}

func (c *ruleChecker) Reject(id RequestID, after time.Duration) {
	c.lastRetryAfter = after
	tracked := c.recordFinalAnswer(id, "refuse")
	if tracked == nil {
		return
	}
	class := c.settings.Classes[tracked.class]
	for _, a := range tracked.attempts {
		harmless := class.Idempotency == Idempotent || class.Idempotency == IdempotencyKeyed && class.DedupScope == DedupFleet
		if !a.neverRan && !harmless {
			c.addViolation("rejection of request %d, which may have run", id)
		}
	}
}

func (c *ruleChecker) Fail(id RequestID) { c.recordFinalAnswer(id, "fail") }

func (c *ruleChecker) CheckHealth(to ServerID) {
	c.healthChecks[to]++
	c.healthCheckCount++
	c.actions = append(c.actions, fmt.Sprint("probe ", to))
}

func (c *ruleChecker) Watch() { c.watchCalls++ }

func (c *ruleChecker) SetTimer(delay time.Duration, timer uint64) {
	c.timers = append(c.timers, pendingTimer{c.now + Time(delay), timer})
	slices.SortStableFunc(c.timers, func(p, q pendingTimer) int { return cmp.Compare(p.at, q.at) })
}

func (c *ruleChecker) Log(line string) { c.logs = append(c.logs, line) }

// harness connects a Balancer to a ruleChecker, with a virtual clock.
type harness struct {
	t *testing.T
	*ruleChecker
	b      *Balancer
	nextID RequestID
}

// newHarness starts a Balancer with the given servers on its cached endpoint list.
func newHarness(t *testing.T, set Settings, seed uint64, servers ...Server) *harness {
	t.Helper()
	checker := newRuleChecker(set)
	checker.now = Time(time.Hour)
	b, err := New(set, seed, checker.now, checker)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t, checker, b, 1}
	h.update(UpdateCached, servers...)
	return h
}

// update passes an update of the endpoint list to the Balancer, and records when servers stopped being ready.
func (h *harness) update(kind UpdateKind, servers ...Server) {
	recordState := func(s Server) {
		if s.State != Ready && h.servers[s.ID].State == Ready {
			h.drainingSince[s.ID] = h.now
		}
		h.servers[s.ID] = s
	}
	if kind == UpdateFull || kind == UpdateCached {
		seen := map[ServerID]bool{}
		for _, s := range servers {
			seen[s.ID] = true
		}
		for id, s := range h.servers {
			if s.State = Removed; !seen[id] {
				recordState(s)
			}
		}
	}
	for _, s := range servers {
		recordState(s)
	}
	h.b.HandleServers(h.now, kind, servers)
}

// request sends the Balancer a request whose client waits for half of the class's deadline, and returns its ID.
func (h *harness) request(class int, key uint64) RequestID {
	id := h.nextID
	h.nextID++
	timeout := h.settings.Classes[class].Deadline / 2
	h.requests[id] = &trackedRequest{class: class, key: key, deadline: h.now + Time(timeout)}
	h.openRequests = append(h.openRequests, id)
	h.b.HandleRequest(h.now, Request{ID: id, Timeout: timeout, AffinityKey: key, Class: class})
	return id
}

// respond ends attempt n of a request with a result, unless the attempt has an outcome already.
func (h *harness) respond(id RequestID, n int, result Result) {
	tracked := h.requests[id]
	a := &tracked.attempts[n]
	if !a.outstanding {
		return
	}
	a.outstanding = false
	a.neverRan = result == Rejected || result == ConnectFailed || result == NotSent
	if result == OK && tracked.answer == "" {
		tracked.answer = "served"
	}
	h.b.HandleOutcome(h.now, Outcome{
		ID: id, Attempt: n, Server: a.server, Latency: time.Duration(h.now - a.sentAt), Result: result,
		RequestDone: tracked.answer != "",
	})
}

// advance moves the clock forward by d in steps of 5 ms. In each step it fires the timers that are due, passes health
// checks, answers attempts whose connection was established latency ago and times out attempts at their deadline.
// Servers for which alive returns false answer neither health checks nor attempts.
func (h *harness) advance(d, latency time.Duration, alive func(ServerID) bool) {
	for end := h.now + Time(d); h.now < end; {
		h.now += 5 * ms
		h.fireTimers()
		h.answerHealthChecks(alive)
		for i := 0; i < len(h.openRequests); {
			if h.advanceRequest(h.openRequests[i], latency, alive) {
				h.openRequests = append(h.openRequests[:i], h.openRequests[i+1:]...)
			} else {
				i++
			}
		}
	}
}

// fireTimers calls HandleTimer for the timers that are due.
func (h *harness) fireTimers() {
	for len(h.timers) > 0 && h.timers[0].at <= h.now {
		due := h.timers[0]
		h.timers = h.timers[1:]
		h.b.HandleTimer(h.now, due.timer)
	}
}

// answerHealthChecks passes the outstanding health checks of the servers that are alive.
func (h *harness) answerHealthChecks(alive func(ServerID) bool) {
	for _, s := range h.b.servers {
		if h.healthChecks[s.ID] > 0 && alive(s.ID) {
			h.healthChecks[s.ID] = 0
			h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: s.ID, Latency: time.Millisecond, Result: OK})
		}
	}
}

// advanceRequest begins, answers and times out the attempts of a request, and
// reports whether the request has its answer and no outstanding attempt.
func (h *harness) advanceRequest(id RequestID, latency time.Duration, alive func(ServerID) bool) bool {
	tracked := h.requests[id]
	outstanding := 0
	for n := 0; n < len(tracked.attempts); n++ { // a response may cause a further attempt
		a := &tracked.attempts[n]
		if a.outstanding && !a.begun && h.now >= a.connectedAt {
			h.beginAttempt(id, n)
			a = &tracked.attempts[n]
		}
		switch {
		case !a.outstanding:
		case h.now >= a.connectedAt+Time(latency) && alive(a.server):
			h.respond(id, n, OK)
		case h.now >= a.abandonedAt:
			h.respond(id, n, TimedOut)
		default:
			outstanding++
		}
	}
	if tracked.answer == "" && h.now > tracked.deadline+20*ms {
		h.addViolation("request %d has no answer 20 ms after its deadline", id)
	}
	return tracked.answer != "" && outstanding == 0
}

// beginAttempt begins an attempt whose connection is established. If its decision
// has expired and MayBegin does not confirm it, the attempt ends as NotSent.
func (h *harness) beginAttempt(id RequestID, n int) {
	a := &h.requests[id].attempts[n]
	a.begun = a.validUntil == 0 || h.now < a.validUntil || h.b.MayBegin(h.now, id, n)
	if !a.begun {
		h.respond(id, n, NotSent)
	}
}

// assertNoViolations fails the test with each violation that was recorded.
func (h *harness) assertNoViolations() {
	h.t.Helper()
	for _, violation := range h.violations {
		h.t.Error(violation)
	}
}

func alwaysAlive(ServerID) bool { return true }

// testServers returns n ready servers of equal weight, in cells of three servers and zones of six. Their IDs start at
// 1000 and increase by 7.
func testServers(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{ID: ServerID(1000 + 7*i), Cell: uint16(i / 3), Zone: uint8(i / 6), Weight: 1, State: Ready})
	}
	return out
}
