package routing

import (
	"context"
	"sync"
	"testing"
	"time"

	"olivebridge/balancer"
)

// resultsInOrder returns the result first for the first attempt and the result later for all others.
func resultsInOrder(first, later balancer.Result) transportFunc {
	var mu sync.Mutex
	attempts := 0
	return func(context.Context, Attempt) AttemptResult {
		mu.Lock()
		defer mu.Unlock()
		attempts++
		if attempts == 1 {
			return AttemptResult{Result: first, Reply: "reply"}
		}
		return AttemptResult{Result: later, Reply: "reply"}
	}
}

func TestVerdictByAttemptResult(t *testing.T) {
	panics := func(context.Context, Attempt) AttemptResult { panic("transport") }
	refused := resultsInOrder(balancer.ConnectFailed, balancer.ConnectFailed)
	two := []balancer.ServerID{7, 8}
	for name, c := range map[string]struct {
		class     int
		transport transportFunc
		servers   []balancer.ServerID
		want      Verdict
		attempts  int64
	}{
		"served":                   {idempotentClass, resultsInOrder(balancer.OK, 0), two, Served, 1},
		"no server":                {nonIdempotentClass, nil, nil, Rejected, 0},
		"idempotent, error":        {idempotentClass, resultsInOrder(balancer.Errored, balancer.OK), two, Served, 2},
		"non-idempotent, error":    {nonIdempotentClass, resultsInOrder(balancer.Errored, balancer.OK), two, Failed, 1},
		"non-idempotent, reset":    {nonIdempotentClass, resultsInOrder(balancer.Reset, balancer.OK), two, Failed, 1},
		"non-idempotent, rejected": {nonIdempotentClass, resultsInOrder(balancer.Rejected, balancer.OK), two, Served, 2},
		"one server refuses":       {nonIdempotentClass, resultsInOrder(balancer.ConnectFailed, balancer.OK), two, Served, 2},
		"every server refuses":     {nonIdempotentClass, refused, two, Rejected, 2},
		"the transport panics":     {nonIdempotentClass, panics, []balancer.ServerID{7}, Failed, 1},
		"no such class":            {9, nil, []balancer.ServerID{7}, Failed, 0},
	} {
		r := startRouter(t, c.transport, fullList(c.servers...))
		answer, ok := r.Handle(t.Context(), newCall(c.class, time.Minute))
		attempts := r.counters.Attempts.Load()
		if !ok || answer.Verdict != c.want || attempts != c.attempts ||
			(answer.Reply == "reply") != (c.want == Served) || (answer.RetryAfter > 0) != (c.want == Rejected) {
			t.Errorf("%s: got %+v, ok %v after %d attempts; want %v after %d", name, answer, ok, attempts, c.want, c.attempts)
		}
	}
}

// TestAttemptPastItsDeadline checks that a call to a server that never replies is answered at the deadline, and that
// the context of its attempt ends with the cause ErrDeadlineExceeded.
func TestAttemptPastItsDeadline(t *testing.T) {
	cause := make(chan error, 1)
	r := startRouter(t, func(ctx context.Context, attempt Attempt) AttemptResult {
		ctx, stop := context.WithDeadlineCause(ctx, attempt.ExpiresAt, ErrDeadlineExceeded)
		defer stop()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return AttemptResult{Result: balancer.TimedOut}
	}, fullList(7))
	call := newCall(nonIdempotentClass, 100*time.Millisecond)
	answer, ok := r.Handle(t.Context(), call)
	elapsed := time.Since(call.ReceivedAt)
	if !ok || answer.Verdict != DeadlineExceeded || elapsed < 90*time.Millisecond {
		t.Errorf("got answer %+v, ok %v after %v; want DeadlineExceeded after at least 90 ms", answer, ok, elapsed)
	}
	if err := <-cause; !sameError(err, ErrDeadlineExceeded) {
		t.Error(err)
	}
}

// TestDisconnectCancelsAttempt checks that the attempt of a call is cancelled when its client disconnects.
func TestDisconnectCancelsAttempt(t *testing.T) {
	ctx, disconnect := context.WithCancel(t.Context())
	cause := make(chan error, 1)
	r := startRouter(t, func(ctx context.Context, _ Attempt) AttemptResult {
		disconnect()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return AttemptResult{Result: balancer.Cancelled}
	}, fullList(7))
	if _, ok := r.Handle(ctx, newCall(idempotentClass, time.Minute)); ok {
		t.Error("Handle returned an answer for a disconnected client")
	}
	if err := <-cause; !sameError(err, ErrCancelled) {
		t.Error(err)
	}
}

// TestOutcomeDisconnectAndDeadlineRace checks that each call ends exactly once and the call table is empty afterwards.
func TestOutcomeDisconnectAndDeadlineRace(t *testing.T) {
	r := startRouter(t, func(_ context.Context, attempt Attempt) AttemptResult {
		attempt.Payload.(context.CancelFunc)()
		return AttemptResult{Result: balancer.OK}
	}, fullList(7, 8, 9))
	var all sync.WaitGroup
	const calls = 300
	for i := range calls {
		all.Go(func() {
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			call := newCall(i%2, time.Duration(1+i%30)*time.Millisecond)
			call.Payload = disconnect
			r.Handle(ctx, call)
		})
	}
	all.Wait()
	c := r.counters
	ends := c.Served.Load() + c.Rejected.Load() + c.Failed.Load() + c.DeadlineExceeded.Load() + c.Disconnected.Load()
	if ends != calls {
		t.Errorf("counted %d ends of %d calls: %v", ends, calls, c)
	}
	open := make(chan int, 1)
	for left := 1; left > 0; left = <-open { // wait for the outcomes of attempts in flight
		r.post(inspectEvent(func(r *Router) { open <- len(r.calls.byID) }))
	}
}
