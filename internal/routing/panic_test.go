package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// panickingEvent is an event of a call whose handling panics, as a fault in a routing decision would.
type panickingEvent struct{ id balancer.RequestID }

func (e panickingEvent) requestID() balancer.RequestID { return e.id }
func (e panickingEvent) handle(*Router)                { panic("decision") }

// TestPanicInDecision checks that the call of an event that panics fails at once and the node continues to run.
func TestPanicInDecision(t *testing.T) {
	sent := make(chan struct{}, 1)
	r := startRouter(t, func(ctx context.Context, attempt Attempt) AttemptResult {
		if attempt.Payload == "first" {
			sent <- struct{}{}
			<-ctx.Done()
			return AttemptResult{Result: balancer.Cancelled}
		}
		return AttemptResult{Result: balancer.OK}
	}, fullList(7))
	first := newCall(idempotentClass, time.Minute)
	first.Payload = "first"
	answers := make(chan Answer)
	go func() {
		answer, _ := r.Handle(t.Context(), first)
		answers <- answer
	}()
	<-sent
	r.post(panickingEvent{1})
	if answer := <-answers; answer.Verdict != Failed {
		t.Errorf("call of the panicking event: got answer %+v, want Failed", answer)
	}
	answer, ok := r.Handle(t.Context(), newCall(idempotentClass, time.Minute))
	if !ok || answer.Verdict != Served || r.counters.Panics.Load() != 1 {
		t.Errorf("next call: got answer %+v, ok %v; want Served after one panic", answer, ok)
	}
}

// callsWithoutAttempt waits until the given number of calls are open and some of them wait for capacity, and returns
// the ids of the waiting calls.
func callsWithoutAttempt(r *Router, all int) []balancer.RequestID {
	pending := make(chan []balancer.RequestID)
	for {
		r.post(inspectEvent(func(r *Router) {
			var ids []balancer.RequestID
			for id, call := range r.calls.byID {
				if len(call.attempts) == 0 {
					ids = append(ids, id)
				}
			}
			if len(r.calls.byID) < all {
				ids = nil
			}
			pending <- ids
		}))
		if ids := <-pending; len(ids) > 0 {
			return ids
		}
	}
}

// TestAbandonedCallsAreNotSent checks that a call whose event panicked while the call waited for capacity is not sent
// once there is capacity. No outcome would be reported for it, so its server would be considered full forever.
func TestAbandonedCallsAreNotSent(t *testing.T) {
	const calls = 12
	sent, release := make(chan bool, 100), make(chan bool)
	r := startRouter(t, func(context.Context, Attempt) AttemptResult {
		sent <- true
		<-release
		return AttemptResult{Result: balancer.OK}
	}, fullList(7))
	answers := make(chan Answer, 100)
	handle := func() {
		answer, _ := r.Handle(t.Context(), newCall(idempotentClass, time.Minute))
		answers <- answer
	}
	for range calls {
		go handle()
	}
	<-sent
	pending := callsWithoutAttempt(r, calls)
	for _, id := range pending {
		r.post(panickingEvent{id})
		if answer := <-answers; answer.Verdict != Failed {
			t.Errorf("waiting call after a panic: got answer %+v, want Failed", answer)
		}
	}
	close(release)
	for range calls - len(pending) {
		<-answers
	}
	handle() // sent to the only server
	if answer := <-answers; answer.Verdict != Served {
		t.Errorf("next call to a server with capacity: got answer %+v, want Served", answer)
	}
}

// panickingComponents is a Transport and a Watcher with methods that panic.
type panickingComponents struct{ watchPanics bool }

func (panickingComponents) RoundTrip(context.Context, Attempt) AttemptResult {
	return AttemptResult{Result: balancer.OK}
}

func (panickingComponents) CheckHealth(context.Context, *Upstream) balancer.Result { panic("probe") }

func (p panickingComponents) Watch(context.Context, func(EndpointList)) error {
	if p.watchPanics {
		panic("watch")
	}
	return nil
}

// TestPanicInHealthCheckOrWatch checks that a panic in a health check counts as a failed check, and that a panic in a
// watch, or its end without an error, counts as a failed watch. Both are started again.
func TestPanicInHealthCheckOrWatch(t *testing.T) {
	for _, watchPanics := range []bool{true, false} {
		r := newRouter(nil, fullList(7))
		r.settings.HealthChecks = true
		r.settings.PollInterval = time.Millisecond
		r.transport = panickingComponents{}
		r.watcher = panickingComponents{watchPanics}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		for r.counters.HealthChecksFailed.Load() == 0 || r.counters.WatchFailures.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		answer, ok := r.Handle(t.Context(), newCall(idempotentClass, time.Second))
		if !ok || answer.Verdict != Served && answer.Verdict != Rejected { // the only server fails its health checks
			t.Errorf("got answer %+v, ok %v; want Served or Rejected", answer, ok)
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
