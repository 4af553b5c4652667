package routing

import (
	"context"
	"testing"
	"time"

	"olivebridge/balancer"
)

// panickingEvent is an event that panics over a call, as a fault in a decision would.
type panickingEvent struct{ id balancer.RequestID }

func (e panickingEvent) requestID() balancer.RequestID { return e.id }
func (e panickingEvent) handle(*Router)                { panic("decision") }

// TestPanicInDecision: the call concerned fails at once, and the node goes on.
func TestPanicInDecision(t *testing.T) {
	sent := make(chan struct{}, 1)
	r := startRouter(t, func(ctx context.Context, attempt Attempt) AttemptResult {
		if attempt.Payload == "first" {
			sent <- struct{}{}
			<-ctx.Done()
			return AttemptResult{Result: balancer.Cancelled}
		}
		return AttemptResult{Result: balancer.OK}
	}, listed(7))
	first := newCall(safe, time.Minute)
	first.Payload = "first"
	answers := make(chan Answer)
	go func() {
		answer, _ := r.Handle(t.Context(), first)
		answers <- answer
	}()
	<-sent
	r.post(panickingEvent{1})
	if answer := <-answers; answer.Verdict != Failed {
		t.Errorf("the call concerned: %+v", answer)
	}
	answer, ok := r.Handle(t.Context(), newCall(safe, time.Minute))
	if !ok || answer.Verdict != Served || r.counters.Panics.Load() != 1 {
		t.Errorf("the next call: %+v, %v", answer, ok)
	}
}

// callsWithoutAttempt are the open calls that wait for capacity, once all calls are open.
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

// TestAbandonedCallsAreNotSent: calls over which the decisions panicked while they waited for capacity are not sent
// once there is some. No outcome would come back, and their server would seem full for ever.
func TestAbandonedCallsAreNotSent(t *testing.T) {
	const calls = 12
	sent, release := make(chan bool, 100), make(chan bool)
	r := startRouter(t, func(context.Context, Attempt) AttemptResult {
		sent <- true
		<-release
		return AttemptResult{Result: balancer.OK}
	}, listed(7))
	answers := make(chan Answer, 100)
	handle := func() {
		answer, _ := r.Handle(t.Context(), newCall(safe, time.Minute))
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
			t.Errorf("%+v", answer)
		}
	}
	close(release)
	for range calls - len(pending) {
		<-answers
	}
	handle() // at the one server that there is
	if answer := <-answers; answer.Verdict != Served {
		t.Errorf("the server has capacity, and the next call: %+v", answer)
	}
}

// faultyParts is a Transport and a Watcher with faults of the program in them.
type faultyParts struct{ watchPanics bool }

func (faultyParts) RoundTrip(context.Context, Attempt) AttemptResult {
	return AttemptResult{Result: balancer.OK}
}

func (faultyParts) CheckHealth(context.Context, *Upstream) balancer.Result { panic("probe") }

func (p faultyParts) Watch(context.Context, func(EndpointList)) error {
	if p.watchPanics {
		panic("watch")
	}
	return nil
}

// TestPanicInHealthCheckOrWatch: a fault in a health check or in the watch is a check that failed and a watch that
// ended, and so is a watch that ends without an error. Both are begun again.
func TestPanicInHealthCheckOrWatch(t *testing.T) {
	for _, watchPanics := range []bool{true, false} {
		r := newRouter(nil, listed(7))
		r.settings.HealthChecks = true
		r.settings.PollInterval = time.Millisecond
		r.transport = faultyParts{}
		r.watcher = faultyParts{watchPanics}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		for r.counters.HealthChecksFailed.Load() == 0 || r.counters.WatchFailures.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		answer, ok := r.Handle(t.Context(), newCall(safe, time.Second))
		if !ok || answer.Verdict != Served && answer.Verdict != Rejected { // its one server fails health checks
			t.Errorf("%+v, %v", answer, ok)
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
