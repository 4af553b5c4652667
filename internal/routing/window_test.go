package routing

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// TestWindowOverAReload: a further try must begin within the window that its call's class had as it came, whatever a reload
// while the first was out has made of it, and within a shorter one of the reload's.
func TestWindowOverAReload(t *testing.T) {
	for _, c := range []struct{ was, is, want time.Duration }{
		{time.Second, time.Second, time.Second},
		{time.Second, time.Minute, time.Second},
		{time.Minute, time.Second, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			settings := func(window time.Duration) balancer.Settings {
				set := testSettings()
				set.Classes[safe].Idempotency, set.Classes[safe].DedupScope, set.Classes[safe].DedupWindow = balancer.IdempotencyKeyed, balancer.DedupFleet, window
				return set
			}
			out, further := make(chan bool), make(chan time.Time, 1)
			r := New(Config{Settings: settings(c.was), Seed: 1, InitialEndpoints: listed(7, 8), Watcher: still{},
				Log: slog.New(slog.DiscardHandler),
				Transport: carrier(func(_ context.Context, try Attempt) AttemptResult {
					if try.Number > 0 {
						further <- try.StartBefore
						return AttemptResult{Result: balancer.OK}
					}
					out <- true
					<-out
					return AttemptResult{Result: balancer.Errored}
				})})
			ctx, stop := context.WithCancel(t.Context())
			go r.Run(ctx)
			begun := time.Now()
			go r.Handle(ctx, call(safe, 10*time.Second))
			<-out
			r.UpdateSettings(settings(c.is))
			synctest.Wait()
			out <- true
			if by := <-further; by.Sub(begun) != c.want {
				t.Errorf("%v, then %v: it must begin within %v, want %v", c.was, c.is, by.Sub(begun), c.want)
			}
			stop()
			synctest.Wait()
		})
	}
}
