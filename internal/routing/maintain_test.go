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
	waits, open := make(chan *Peer), make(chan bool)
	known := listed(7)
	known.Entries[0].Name = "s-7"
	r := New(Config{Settings: testSettings(), Seed: 1, Known: known, Watcher: still{}, Servers: maintenance.New(),
		Log: slog.New(slog.DiscardHandler), Carrier: carrier(func(_ context.Context, try Try) TryResult {
			waits <- try.Peer
			if <-open; !try.Peer.OpenFor(time.Now(), time.Hour) {
				return TryResult{Result: balancer.NotSent}
			}
			return TryResult{Result: balancer.OK}
		})})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	answer := make(chan Answer)
	go func() {
		a, _ := r.Take(t.Context(), Call{Name: "9b", Class: unsafe, Arrived: time.Now(), Budget: 10 * time.Second})
		answer <- a
	}()
	<-waits
	if err := r.Suspend("s-7"); err != nil {
		t.Fatal(err)
	}
	open <- true
	if a := <-answer; a.Verdict != Reject {
		t.Errorf("%v: the try left for a suspended peer", a.Verdict)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
