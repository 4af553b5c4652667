package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// TestSuspendWhileAttemptWaits checks that an attempt is not sent if operators suspend its server while the attempt
// waits for its connection. The grace period of the drain rule does not apply to a suspension.
func TestSuspendWhileAttemptWaits(t *testing.T) {
	waiting, connected := make(chan *Upstream), make(chan bool)
	initial := fullList(7)
	initial.Endpoints[0].Name = "s-7"
	transport := func(_ context.Context, attempt Attempt) AttemptResult {
		waiting <- attempt.Upstream
		<-connected
		if !attempt.Upstream.MaySend(time.Now(), time.Hour) {
			return AttemptResult{Result: balancer.NotSent}
		}
		return AttemptResult{Result: balancer.OK}
	}
	r := New(Config{
		Settings:         testSettings(),
		Seed:             1,
		InitialEndpoints: initial,
		Transport:        transportFunc(transport),
		Watcher:          idleWatcher{},
		Maintenance:      maintenance.New(),
		Log:              slog.New(slog.DiscardHandler),
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	answers := make(chan Answer)
	go func() {
		call := Call{ClientRequestID: "9b", Class: nonIdempotentClass, ReceivedAt: time.Now(), Timeout: 10 * time.Second}
		answer, _ := r.Handle(t.Context(), call)
		answers <- answer
	}()
	<-waiting
	if err := r.Suspend("s-7"); err != nil {
		t.Fatal(err)
	}
	connected <- true
	if answer := <-answers; answer.Verdict != Rejected {
		t.Errorf("got verdict %v, want Rejected: the attempt was sent to a suspended server", answer.Verdict)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
