package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// newStreamedCall returns a call whose body is received at a time, counted from now.
func newStreamedCall(class int, timeout, receivedIn time.Duration) Call {
	received := make(chan time.Time, 1)
	time.AfterFunc(receivedIn, func() { received <- time.Now() })
	call := newCall(class, timeout)
	call.StreamsBody = true
	call.BodyReceived = received
	return call
}

// TestStreamedCallEndsInTime: the timeout of a streamed call counts from the receipt of its body, not from its sending.
// It ends an attempt that still connects or whose server takes nothing, and the call is answered even if the event loop
// hangs.
func TestStreamedCallEndsInTime(t *testing.T) {
	const timeout, receivedIn = 2 * time.Second, 3 * time.Second
	hang := func(result balancer.Result) transportFunc {
		return func(ctx context.Context, _ Attempt) AttemptResult {
			<-ctx.Done()
			if !sameError(ctx.Err(), ErrDeadlineExceeded) {
				t.Errorf("the attempt ends with %v, want %v", ctx.Err(), ErrDeadlineExceeded)
			}
			return AttemptResult{Result: result}
		}
	}
	sendLate := func(ctx context.Context, attempt Attempt) AttemptResult {
		time.Sleep(receivedIn + timeout/2)
		attempt.OnBodySent()
		return hang(balancer.TimedOut)(ctx, attempt)
	}
	for name, c := range map[string]struct {
		transport transportFunc
		class     int
		want      Verdict
	}{
		"connection late":            {hang(balancer.NotSent), nonIdempotentClass, Rejected},
		"server takes nothing":       {hang(balancer.ConnectFailed), nonIdempotentClass, Rejected},
		"body sent late":             {sendLate, nonIdempotentClass, DeadlineExceeded},
		"event loop hangs, watchdog": {nil, nonIdempotentClass, DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(c.transport, fullList(1))
				if c.transport != nil {
					ctx, stop := context.WithCancel(t.Context())
					ended := make(chan error)
					go func() { ended <- r.Run(ctx) }()
					defer func() {
						stop()
						<-ended
					}()
				} else {
					defer close(r.stopped)
				}
				begun := time.Now()
				answer, ok := r.Handle(t.Context(), newStreamedCall(c.class, timeout, receivedIn))
				elapsed := time.Since(begun)
				if !ok || answer.Verdict != c.want || elapsed < receivedIn+timeout-answerMargin ||
					elapsed > receivedIn+timeout+streamedWatchdogDelay {
					t.Errorf("answer %+v, ok %v after %v, want %v after %v", answer, ok, elapsed, c.want, receivedIn+timeout)
				}
			})
		})
	}
}

// TestStreamedCallWithoutReceipt: a streamed call whose body is not received yet has no deadline for its answer.
func TestStreamedCallWithoutReceipt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const served = 10 * time.Second
		r := newRouter(func(_ context.Context, attempt Attempt) AttemptResult {
			time.Sleep(served)
			return AttemptResult{Result: balancer.OK, Reply: "reply"}
		}, fullList(1))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		answer, ok := r.Handle(t.Context(), newStreamedCall(nonIdempotentClass, time.Second, time.Minute))
		if !ok || answer.Verdict != Served {
			t.Errorf("answer %+v, ok %v, want Served", answer, ok)
		}
		stop()
		<-ended
	})
}
