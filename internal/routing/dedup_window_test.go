package routing

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// settingsWithDedupWindow returns settings with a class of keyed calls, whose idempotency keys servers remember for
// window.
func settingsWithDedupWindow(window time.Duration) balancer.Settings {
	settings := testSettings()
	class := &settings.Classes[idempotentClass]
	class.Idempotency = balancer.IdempotencyKeyed
	class.DedupScope = balancer.DedupFleet
	class.DedupWindow = window
	return settings
}

// TestDedupWindowAcrossReload checks that a retry must start within the deduplication window that the class had when
// the call arrived, or within the new window if a reload during the first attempt shortened it.
func TestDedupWindowAcrossReload(t *testing.T) {
	for _, c := range []struct{ before, after, want time.Duration }{
		{time.Second, time.Second, time.Second},
		{time.Second, time.Minute, time.Second},
		{time.Minute, time.Second, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			first, retry := make(chan bool), make(chan time.Time, 1)
			transport := func(_ context.Context, attempt Attempt) AttemptResult {
				if attempt.Number > 0 {
					retry <- attempt.StartBefore
					return AttemptResult{Result: balancer.OK}
				}
				first <- true
				<-first
				return AttemptResult{Result: balancer.Errored}
			}
			r := New(Config{
				Settings:         settingsWithDedupWindow(c.before),
				Seed:             1,
				InitialEndpoints: fullList(7, 8),
				Transport:        transportFunc(transport),
				Watcher:          idleWatcher{},
				Log:              slog.New(slog.DiscardHandler),
			})
			ctx, stop := context.WithCancel(t.Context())
			go r.Run(ctx)
			begun := time.Now()
			go r.Handle(ctx, newCall(idempotentClass, 10*time.Second))
			<-first
			r.UpdateSettings(settingsWithDedupWindow(c.after))
			synctest.Wait()
			first <- true
			startBefore := <-retry
			if window := startBefore.Sub(begun); window != c.want {
				t.Errorf("window %v, after reload %v: retry may start within %v, want %v", c.before, c.after, window, c.want)
			}
			stop()
			synctest.Wait()
		})
	}
}
