package routing

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/balancer"
)

// warmUpBudget is an AdmissionControl with a limited warm-up budget and no other limits.
type warmUpBudget struct {
	limit atomic.Int64 // number of attempts admitted
	asked atomic.Int64
}

func (*warmUpBudget) Admit(int) (bool, time.Duration) { return true, 0 }
func (*warmUpBudget) AdmitRetry() bool                { return true }
func (*warmUpBudget) Release(int)                     {}
func (b *warmUpBudget) AdmitWarmUp(balancer.ServerID, float64) bool {
	return b.asked.Add(1) <= b.limit.Load()
}

// halfWindow is half of the overload window. A server that has just started is sent one request in it.
const halfWindow = 5 * time.Second

// restartCase describes an endpoint list that arrives while attempts wait for their connections.
type restartCase struct {
	ageBefore time.Duration // age of the server in the first list
	ageAfter  time.Duration // age of the server in the second list
	addrAfter string
	calls     int
	wait      time.Duration // time from the second list to the connections
	limit     int64         // number of attempts that the budget admits
	asked     int64         // expected number of requests to the budget
	served    int
}

// TestServerRestartsWhileAttemptsWait checks attempts that wait for their connections while their server restarts, or
// while half of its overload window ends. Only as many are sent as this node's share and the fleet's budget allow for a
// server in slow start; the other calls are rejected.
func TestServerRestartsWhileAttemptsWait(t *testing.T) {
	for name, c := range map[string]restartCase{
		"no restart":                             {2 * time.Hour, 2 * time.Hour, "a:1", 3, halfWindow, 0, 0, 3},
		"another address":                        {2 * time.Hour, 2 * time.Hour, "a:2", 3, halfWindow, 0, 0, 3},
		"restart":                                {2 * time.Hour, 0, "a:1", 3, 0, 9, 1, 1},
		"restart at another address":             {2 * time.Hour, 0, "a:2", 3, 0, 9, 1, 1},
		"restart, the fleet budget is exhausted": {2 * time.Hour, 0, "a:1", 3, 0, 0, 1, 0},
		"warming up, within the half window":     {0, 0, "a:1", 1, 0, 1, 1, 1},
		"warming up, after the half window":      {0, 0, "a:1", 1, halfWindow, 2, 2, 1},
		"after it, the budget is exhausted":      {0, 0, "a:1", 1, halfWindow, 1, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, c.run)
		})
	}
}

func (c restartCase) run(t *testing.T) {
	lists, budget, connected := make(scriptedWatcher), new(warmUpBudget), make(chan bool)
	budget.limit.Store(c.limit)
	start := time.Now()
	before := fullList(7)
	before.Endpoints[0].StartedAt = balancer.Time(start.Add(-c.ageBefore).UnixNano())
	after := fullList(7)
	after.Kind = balancer.UpdateDelta
	after.Endpoints[0].Addr = c.addrAfter
	after.Endpoints[0].StartedAt = balancer.Time(start.Add(-c.ageAfter).UnixNano())
	transport := func(_ context.Context, attempt Attempt) AttemptResult {
		<-connected
		if !attempt.StillValid(time.Now()) {
			return AttemptResult{Result: balancer.NotSent}
		}
		return AttemptResult{Result: balancer.OK}
	}
	r := New(Config{
		Settings:         settingsWithSlowStart(),
		Seed:             1,
		InitialEndpoints: before,
		Transport:        transportFunc(transport),
		Watcher:          lists,
		Admission:        budget,
		Log:              slog.New(slog.DiscardHandler),
	})
	ctx, stop := context.WithCancel(t.Context())
	go r.Run(ctx)
	verdicts := make(chan Verdict, c.calls)
	for range c.calls {
		go func() {
			answer, _ := r.Handle(ctx, newCall(idempotentClass, 20*time.Second))
			verdicts <- answer.Verdict
		}()
	}
	synctest.Wait()
	lists <- after
	time.Sleep(c.wait)
	synctest.Wait()
	close(connected)
	got := map[Verdict]int{}
	for range c.calls {
		got[<-verdicts]++
	}
	if got[Served] != c.served || got[Rejected] != c.calls-c.served || budget.asked.Load() != c.asked {
		t.Errorf("got verdicts %v and %d requests to the budget; want %d served, the others rejected, and %d requests",
			got, budget.asked.Load(), c.served, c.asked)
	}
	stop()
	synctest.Wait()
}

// settingsWithSlowStart returns settings with which a server that has just started is sent one request in halfWindow.
func settingsWithSlowStart() balancer.Settings {
	settings := testSettings()
	settings.SlowStart = time.Hour
	settings.InitialCapacity = 0.5
	settings.OverloadFactor = 2.5
	settings.OverloadWindow = 2 * halfWindow
	settings.WarmThroughput = 2 / halfWindow.Seconds()
	return settings
}
