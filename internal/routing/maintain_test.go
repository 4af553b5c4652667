package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// TestSuspendedWhileWaiting: a try that waits for its connection as its peer is
// suspended must not leave, though the decisions sent it off before. The drain
// rule's grace does not count here.
func TestSuspendedWhileWaiting(t *testing.T) {
	waits, open := make(chan *Upstream), make(chan bool)
	known := listed(7)
	known.Endpoints[0].Name = "s-7"
	r := New(Config{Settings: testSettings(), Seed: 1, InitialEndpoints: known, Watcher: still{}, Maintenance: maintenance.New(),
		Log: slog.New(slog.DiscardHandler), Transport: carrier(func(_ context.Context, try Attempt) AttemptResult {
			waits <- try.Upstream
			if <-open; !try.Upstream.MaySend(time.Now(), time.Hour) {
				return AttemptResult{Result: balancer.NotSent}
			}
			return AttemptResult{Result: balancer.OK}
		})})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	answer := make(chan Answer)
	go func() {
		a, _ := r.Handle(t.Context(), Call{ClientRequestID: "9b", Class: unsafe, ReceivedAt: time.Now(), Timeout: 10 * time.Second})
		answer <- a
	}()
	<-waits
	if err := r.Suspend("s-7"); err != nil {
		t.Fatal(err)
	}
	open <- true
	if a := <-answer; a.Verdict != Rejected {
		t.Errorf("%v: the try left for a suspended peer", a.Verdict)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
