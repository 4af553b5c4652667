package routing

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// classes of the tests
const (
	safe = iota
	unsafe
)

func testSettings() balancer.Settings {
	class := balancer.Class{LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1, Idempotency: balancer.Idempotent}
	book := class
	book.Idempotency = balancer.NonIdempotent
	return balancer.Settings{
		Classes: []balancer.Class{class, book}, Nodes: 1, SlowStart: time.Second, InitialCapacity: 0.2, OverloadFactor: 3,
		OverloadWindow: time.Second, MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second, CancelAttempts: true,
		DrainGrace: time.Second, PollDiscovery: true, PollInterval: time.Second,
	}
}

// carrier answers each try by a function.
type carrier func(ctx context.Context, t Attempt) AttemptResult

func (c carrier) RoundTrip(ctx context.Context, t Attempt) AttemptResult       { return c(ctx, t) }
func (c carrier) CheckHealth(ctx context.Context, p *Upstream) balancer.Result { return balancer.OK }

// still is an upstream group that never changes.
type still struct{}

func (still) Watch(ctx context.Context, told func(EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

func listed(ids ...balancer.ServerID) EndpointList {
	g := EndpointList{Kind: balancer.UpdateFull, ReceivedAt: time.Now()}
	for _, id := range ids {
		g.Endpoints = append(g.Endpoints, Endpoint{Server: balancer.Server{ID: id, Weight: 1, State: balancer.Ready}, Addr: "a:1"})
	}
	return g
}

// TestReadyAtOnce: a node that starts with a list is ready from its first moment, also where the decisions get no processor yet:
// they take the calls that wait for them.
func TestReadyAtOnce(t *testing.T) {
	gone := listed(7)
	gone.Endpoints[0].State = balancer.Removed
	for name, c := range map[string]struct {
		known EndpointList
		ready bool
	}{"a list": {listed(7), true}, "nobody": {EndpointList{}, false}, "nobody left": {gone, false}} {
		if r := newRouter(nil, c.known); r.Ready() != c.ready {
			t.Errorf("%s: ready %v", name, r.Ready())
		}
	}
}

func newRouter(c carrier, known EndpointList) *Router {
	return New(Config{Settings: testSettings(), Seed: 1, InitialEndpoints: known, Transport: c, Watcher: still{},
		Log: slog.New(slog.DiscardHandler)})
}

// started runs a router until the test ends.
func started(t *testing.T, c carrier, known EndpointList) *Router {
	r := newRouter(c, known)
	ctx, stop := context.WithCancel(t.Context())
	over := make(chan error)
	go func() { over <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-over; err != nil {
			t.Error(err)
		}
	})
	return r
}

func call(class int, budget time.Duration) Call {
	return Call{Class: class, Tenant: -1, ReceivedAt: time.Now(), Timeout: budget, Payload: "as it came"}
}

func TestAnswers(t *testing.T) {
	ends := func(first, later balancer.Result) carrier {
		var mu sync.Mutex
		n := 0
		return func(ctx context.Context, try Attempt) AttemptResult {
			mu.Lock()
			defer mu.Unlock()
			if n++; n == 1 {
				return AttemptResult{Result: first, Reply: "reply"}
			}
			return AttemptResult{Result: later, Reply: "reply"}
		}
	}
	for name, c := range map[string]struct {
		class  int
		answer carrier
		peers  []balancer.ServerID
		want   Verdict
		tries  int64
	}{
		"served":                      {safe, ends(balancer.OK, 0), []balancer.ServerID{7, 8}, Served, 1},
		"no peer":                     {unsafe, nil, nil, Rejected, 0},
		"safe after an error":         {safe, ends(balancer.Errored, balancer.OK), []balancer.ServerID{7, 8}, Served, 2},
		"unsafe after an error":       {unsafe, ends(balancer.Errored, balancer.OK), []balancer.ServerID{7, 8}, Failed, 1},
		"unsafe after a reset":        {unsafe, ends(balancer.Reset, balancer.OK), []balancer.ServerID{7, 8}, Failed, 1},
		"unsafe turned away":          {unsafe, ends(balancer.Rejected, balancer.OK), []balancer.ServerID{7, 8}, Served, 2},
		"unsafe not connected":        {unsafe, ends(balancer.ConnectFailed, balancer.OK), []balancer.ServerID{7, 8}, Served, 2},
		"unsafe, connected nowhere":   {unsafe, ends(balancer.ConnectFailed, balancer.ConnectFailed), []balancer.ServerID{7, 8}, Rejected, 2},
		"a carrier that panics":       {unsafe, func(context.Context, Attempt) AttemptResult { panic("carrier") }, []balancer.ServerID{7}, Failed, 1},
		"a class that does not exist": {9, nil, []balancer.ServerID{7}, Failed, 0},
	} {
		r := started(t, c.answer, listed(c.peers...))
		a, ok := r.Handle(t.Context(), call(c.class, time.Minute))
		if !ok || a.Verdict != c.want || r.count.Attempts.Load() != c.tries || (a.Reply == "reply") != (c.want == Served) ||
			(a.RetryAfter > 0) != (c.want == Rejected) {
			t.Errorf("%s: %+v, %v after %d tries, want %v after %d", name, a, ok, r.count.Attempts.Load(), c.want, c.tries)
		}
	}
}

// TestOverdueTry: a peer that says nothing costs the call its time, no more,
// and the try ends with the cause that tells the carrier why.
func TestOverdueTry(t *testing.T) {
	cause := make(chan error, 1)
	r := started(t, func(ctx context.Context, try Attempt) AttemptResult {
		ctx, stop := context.WithDeadlineCause(ctx, try.ExpiresAt, ErrDeadlineExceeded)
		defer stop()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return AttemptResult{Result: balancer.TimedOut}
	}, listed(7))
	c := call(unsafe, 100*time.Millisecond)
	if a, ok := r.Handle(t.Context(), c); !ok || a.Verdict != DeadlineExceeded || time.Since(c.ReceivedAt) < 90*time.Millisecond {
		t.Errorf("%+v, %v after %v", a, ok, time.Since(c.ReceivedAt))
	}
	if err := <-cause; err != ErrDeadlineExceeded {
		t.Error(err)
	}
}

// TestHangUpCallsOff: when the client goes, its try is called off.
func TestHangUpCallsOff(t *testing.T) {
	ctx, hangUp := context.WithCancel(t.Context())
	cause := make(chan error, 1)
	r := started(t, func(ctx context.Context, try Attempt) AttemptResult {
		hangUp()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return AttemptResult{Result: balancer.Cancelled}
	}, listed(7))
	if _, ok := r.Handle(ctx, call(safe, time.Minute)); ok {
		t.Error("a client that has gone was answered")
	}
	if err := <-cause; err != ErrCancelled {
		t.Error(err)
	}
}

// TestFullQueue: with the queue full a call is turned away well before its
// time is up, whatever its class, for it never ran.
func TestFullQueue(t *testing.T) {
	r := newRouter(nil, listed()) // its decisions never start
	for range queueLength {
		r.events <- &wakeEvent{}
	}
	c := call(unsafe, 200*time.Millisecond)
	if a, ok := r.Handle(t.Context(), c); !ok || a.Verdict != Rejected || time.Since(c.ReceivedAt) > c.Timeout {
		t.Errorf("%+v, %v after %v", a, ok, time.Since(c.ReceivedAt))
	}
}

// TestLostCallIsAnswered: a call that the decisions never answer gets its
// answer all the same, and it promises nothing.
func TestLostCallIsAnswered(t *testing.T) {
	r := newRouter(nil, listed())
	if a, ok := r.Handle(t.Context(), call(safe, 30*time.Millisecond)); !ok || a.Verdict != DeadlineExceeded {
		t.Errorf("%+v, %v", a, ok)
	}
	if r.count.WatchdogAnswers.Load() != 1 {
		t.Error("the guard did not count")
	}
}

// TestGuardBehindAFullQueue: where the decisions hang, the guard's answer waits for nothing, the queue in which its
// hang-up stands last included.
func TestGuardBehindAFullQueue(t *testing.T) {
	r := newRouter(nil, listed())
	c := call(unsafe, 100*time.Millisecond)
	answers := make(chan Answer, 1)
	go func() {
		a, _ := r.Handle(t.Context(), c)
		answers <- a
	}()
	for len(r.events) == 0 { // until it is in
		time.Sleep(time.Millisecond)
	}
	for len(r.events) < queueLength {
		r.events <- &wakeEvent{}
	}
	select {
	case a := <-answers:
		if d := time.Since(c.ReceivedAt); a.Verdict != DeadlineExceeded || d > c.Timeout+50*time.Millisecond {
			t.Errorf("%+v after %v", a, d)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer")
	}
	close(r.stopped)
}

// TestRefusedOnceStopped: what comes once the decisions have ended never ran, and is told when to come back.
func TestRefusedOnceStopped(t *testing.T) {
	r := newRouter(nil, listed())
	close(r.stopped)
	if a, ok := r.Handle(t.Context(), call(unsafe, time.Second)); !ok || a.Verdict != Rejected || a.RetryAfter <= 0 {
		t.Errorf("%+v, %v", a, ok)
	}
}

// TestAnswerBeforeTheWait guards against an answer that is lost because it was
// given before anybody waited for it: the call then hung until its time was up.
func TestAnswerBeforeTheWait(t *testing.T) {
	r := newRouter(nil, listed())
	e := &openCall{Call: call(safe, time.Minute), wait: r.newWait()}
	r.relay(e, Answer{Verdict: Rejected})
	r.relay(e, Answer{Verdict: Served}) // the second of a race counts for nothing
	if a, ok := r.await(t.Context(), e); !ok || a.Verdict != Rejected || len(e.wait.told) != 0 {
		t.Errorf("%+v, %v", a, ok)
	}
}

// faulty is an event that panics over a call, as a fault in a decision would.
type faulty struct{ id balancer.RequestID }

func (f faulty) call() balancer.RequestID { return f.id }
func (f faulty) handle(*Router)           { panic("decision") }

// TestPanicInDecision: the call concerned fails at once, the node goes on.
func TestPanicInDecision(t *testing.T) {
	out := make(chan struct{}, 1)
	r := started(t, func(ctx context.Context, try Attempt) AttemptResult {
		if try.Payload == "first" {
			out <- struct{}{}
			<-ctx.Done()
			return AttemptResult{Result: balancer.Cancelled}
		}
		return AttemptResult{Result: balancer.OK}
	}, listed(7))
	first := call(safe, time.Minute)
	first.Payload = "first"
	got := make(chan Answer)
	go func() {
		a, _ := r.Handle(t.Context(), first)
		got <- a
	}()
	<-out
	r.post(faulty{1})
	if a := <-got; a.Verdict != Failed {
		t.Errorf("the call concerned: %+v", a)
	}
	if a, ok := r.Handle(t.Context(), call(safe, time.Minute)); !ok || a.Verdict != Served || r.count.Panics.Load() != 1 {
		t.Errorf("the next call: %+v, %v", a, ok)
	}
}

// TestAbandonedCallsLeaveTheWait: calls over which the decisions panicked while they waited for room are not sent once
// there is some: nothing would come back, and their peer would seem full for ever.
func TestAbandonedCallsLeaveTheWait(t *testing.T) {
	const wait = 12
	out, release := make(chan bool, 100), make(chan bool)
	r := started(t, func(context.Context, Attempt) AttemptResult {
		out <- true
		<-release
		return AttemptResult{Result: balancer.OK}
	}, listed(7))
	answers := make(chan Answer, 100)
	take := func() {
		a, _ := r.Handle(t.Context(), call(safe, time.Minute))
		answers <- a
	}
	for range wait {
		go take()
	}
	<-out
	open := make(chan []balancer.RequestID)
	for waiting := []balancer.RequestID(nil); ; {
		r.post(look(func(r *Router) {
			var ids []balancer.RequestID
			for id, e := range r.open {
				if len(e.tries) == 0 {
					ids = append(ids, id)
				}
			}
			if len(r.open) < wait {
				ids = nil
			}
			open <- ids
		}))
		if waiting = <-open; len(waiting) > 0 {
			for _, id := range waiting {
				r.post(faulty{id})
				if a := <-answers; a.Verdict != Failed {
					t.Errorf("%+v", a)
				}
			}
			close(release)
			for range wait - len(waiting) {
				<-answers
			}
			break
		}
	}
	take() // on the one peer that there is
	if a := <-answers; a.Verdict != Served {
		t.Errorf("the peer has room, and the next call: %+v", a)
	}
}

// TestRaces lets outcomes, hang-ups and deadlines race; every call ends once
// and the table is empty afterwards.
func TestRaces(t *testing.T) {
	r := started(t, func(ctx context.Context, try Attempt) AttemptResult {
		try.Payload.(context.CancelFunc)()
		return AttemptResult{Result: balancer.OK}
	}, listed(7, 8, 9))
	var all sync.WaitGroup
	const n = 300
	for i := range n {
		all.Go(func() {
			ctx, hangUp := context.WithCancel(context.Background())
			defer hangUp()
			c := call(i%2, time.Duration(1+i%30)*time.Millisecond)
			c.Payload = hangUp
			r.Handle(ctx, c)
		})
	}
	all.Wait()
	k := r.count
	if sum := k.Served.Load() + k.Rejected.Load() + k.Failed.Load() + k.DeadlineExceeded.Load() + k.Disconnected.Load(); sum != n {
		t.Errorf("%d ends of %d calls: %v", sum, n, k)
	}
	open := make(chan int, 1)
	for left := 1; left > 0; left = <-open {
		r.post(look(func(r *Router) { open <- len(r.open) })) // tries still out come back by the carrier's end
	}
}

type look func(*Router)

func (l look) handle(r *Router) { l(r) }

// TestReady: a node that knows no peer must not be sent clients yet.
func TestReady(t *testing.T) {
	lists := make(scripted)
	r := newRouter(nil, listed())
	r.watcher = lists
	go r.Run(t.Context())
	for _, g := range []EndpointList{listed(), listed(7)} {
		lists <- g
		lists <- EndpointList{Kind: balancer.UpdateDelta}
		seen := make(chan bool)
		r.post(look(func(r *Router) { seen <- r.Ready() }))
		if got := <-seen; got != (len(g.Endpoints) > 0) {
			t.Errorf("ready: %v with %d peers", got, len(g.Endpoints))
		}
	}
}

// scripted tells lists as the test sends them, and breaks on an error.
type scripted chan any

func (s scripted) Watch(ctx context.Context, told func(EndpointList)) error {
	for {
		select {
		case x := <-s:
			if err, ok := x.(error); ok {
				return err
			}
			told(x.(EndpointList))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TestGroup: addresses and leaving marks follow the upstream group; a broken
// watch leaves the old list standing and is begun anew.
func TestGroup(t *testing.T) {
	lists := make(scripted)
	r := newRouter(nil, listed(7, 8))
	r.watcher = lists
	go r.Run(t.Context())
	see := func(id balancer.ServerID) (p Upstream) {
		seen := make(chan Upstream)
		r.post(look(func(r *Router) { seen <- *r.peers[id] }))
		return <-seen
	}
	told := func(g EndpointList) {
		lists <- g
		lists <- EndpointList{Kind: balancer.UpdateDelta} // the second is taken once the first is posted
	}
	draining := listed(7)
	draining.Kind = balancer.UpdateDelta
	draining.Endpoints[0].State = balancer.Draining
	told(draining)
	grace, at := time.Second, draining.ReceivedAt
	if p := see(7); !p.MaySend(at, grace) || p.MaySend(at.Add(grace*3/4), grace) {
		t.Error("a draining peer keeps the grace, no longer")
	}
	if p := see(8); !p.MaySend(at.Add(time.Hour), grace) {
		t.Error("a change of one peer moved another")
	}
	lists <- errors.New("broken")
	moved := listed(7)
	moved.Endpoints[0].Addr = "b:2"
	told(moved) // after a back-off of the Balancer's, the watch has begun anew
	if p := see(7); p.Addr != "b:2" || !p.MaySend(at.Add(time.Hour), grace) {
		t.Errorf("moved: %+v", p)
	}
	if p := see(8); p.MaySend(at.Add(time.Hour), grace) {
		t.Error("a peer missing from the whole list stays")
	}
	if r.count.WatchFailures.Load() != 1 {
		t.Error("the broken watch did not count")
	}
}

// TestFollow: another source is asked at once, also while the Balancer waits
// after a failure, and nothing of the old one counts any more.
func TestFollow(t *testing.T) {
	first, second := make(scripted), make(scripted)
	r := newRouter(nil, listed())
	r.watcher = first
	go r.Run(t.Context())
	first <- EndpointList{Kind: balancer.UpdateDelta}
	old := make(chan *watch, 1)
	r.post(look(func(r *Router) { old <- r.watch }))
	left := <-old
	r.ReplaceWatcher(second)
	second <- listed(7) // it runs
	r.post(listEvent{from: left, group: listed(8)})
	r.post(listEvent{from: left, err: errors.New("the old one's end")})
	second <- errors.New("broken")
	third := make(scripted)
	r.ReplaceWatcher(third)
	third <- EndpointList{Kind: balancer.UpdateDelta} // without the pause that a failure brings: the test would hang
	peers := make(chan int)
	r.post(look(func(r *Router) {
		if r.peers[7] == nil {
			t.Error("the new list is not there")
		}
		peers <- len(r.peers)
	}))
	if n := <-peers; n != 1 || r.count.WatchFailures.Load() > 1 {
		t.Errorf("%d peers, %d failures", n, r.count.WatchFailures.Load())
	}
}

// TestSameName: a call whose name is open gets an error and no try, and leaves
// the first alone; the name is free once that has ended, its try included.
func TestSameName(t *testing.T) {
	out, release := make(chan bool, 1), make(chan AttemptResult)
	r := started(t, func(ctx context.Context, try Attempt) AttemptResult {
		out <- true
		return <-release
	}, listed(7))
	named := call(unsafe, time.Minute)
	named.ClientRequestID = "9b"
	got := make(chan bool)
	ctx, hangUp := context.WithCancel(t.Context())
	go func() {
		_, ok := r.Handle(ctx, named)
		got <- ok
	}()
	<-out
	if a, ok := r.Handle(t.Context(), named); !ok || a.Verdict != Duplicate || r.count.Attempts.Load() != 1 {
		t.Errorf("%+v, %v after %d tries", a, ok, r.count.Attempts.Load())
	}
	hangUp() // its try is still out, and may run
	if ok := <-got; ok {
		t.Error("the first was answered")
	}
	if a, _ := r.Handle(t.Context(), named); a.Verdict != Duplicate {
		t.Errorf("while the first's try is out: %+v", a)
	}
	release <- AttemptResult{Result: balancer.Cancelled}
	go func() { release <- AttemptResult{Result: balancer.OK} }()
	for a := (Answer{Verdict: Duplicate}); a.Verdict != Served; { // until the outcome is in
		if a, _ = r.Handle(t.Context(), named); a.Verdict != Served && a.Verdict != Duplicate {
			t.Fatalf("%+v", a)
		}
	}
	names := make(chan int)
	r.post(look(func(r *Router) { names <- len(r.names) }))
	if n := <-names; n != 0 {
		t.Errorf("%d names are kept", n)
	}
}

// TestChurn: a peer that the Balancer has forgotten is not kept either.
func TestChurn(t *testing.T) {
	r := newRouter(nil, listed(7, 8))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := r.Run(ctx); err != nil { // it takes the list, and this test makes the rest
		t.Fatal(err)
	}
	r.learn(listed(8))
	if len(r.peers) != 2 {
		t.Error("a peer that has just left is not known")
	}
	r.balancer.HandleServers(r.now()+balancer.Time(time.Hour), balancer.UpdateDelta, nil)
	r.learn(EndpointList{Kind: balancer.UpdateDelta})
	if len(r.peers) != 1 || r.peers[8] == nil {
		t.Errorf("kept: %v", r.peers)
	}
}

// TestEnd: once Run returns, nothing that it started is left, and no call waits.
func TestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left atomic.Bool
		r := newRouter(func(ctx context.Context, try Attempt) AttemptResult {
			<-ctx.Done()
			time.Sleep(time.Millisecond)
			left.Store(true)
			return AttemptResult{Result: balancer.Cancelled}
		}, listed(7))
		ctx, stop := context.WithCancel(t.Context())
		over := make(chan error)
		go func() { over <- r.Run(ctx) }()
		waits := make(chan bool)
		go func() {
			_, ok := r.Handle(t.Context(), call(safe, time.Minute))
			waits <- ok
		}()
		synctest.Wait()
		if s, err := r.Snapshot(t.Context()); err != nil || s != (Snapshot{Calls: 1, ClientRequestIDs: 1, AttemptsInFlight: 1, Upstreams: 1, Timers: 1, WatchRunning: true}) {
			t.Errorf("%+v, %v", s, err)
		}
		began := time.Now()
		stop()
		if ok := <-waits; ok || time.Since(began) > 0 {
			t.Errorf("answered: %v, after %v", ok, time.Since(began))
		}
		if err := <-over; err != nil || !left.Load() {
			t.Errorf("%v, or a try is left behind", err)
		}
		for e := range r.timers {
			if e.timer.Stop() {
				t.Error("a timer is left")
			}
		}
		if _, err := r.Snapshot(t.Context()); err == nil {
			t.Error("decisions that have ended tell what they hold")
		}
	})
}
