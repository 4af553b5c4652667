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

// teller is an upstream group that tells what it is given.
type teller chan EndpointList

func (l teller) Watch(ctx context.Context, told func(EndpointList)) error {
	for {
		select {
		case g := <-l:
			told(g)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// purse is a fleet's budget for cold peers, and for nothing else.
type purse struct{ most, asked atomic.Int64 }

func (*purse) Admit(int) (bool, time.Duration)               { return true, 0 }
func (*purse) AdmitRetry() bool                              { return true }
func (*purse) Release(int)                                   {}
func (p *purse) AdmitWarmUp(balancer.ServerID, float64) bool { return p.asked.Add(1) <= p.most.Load() }

// TestPeerThatStartsAnew: tries wait for their connections while their peer starts anew, or its half window ends. As many leave
// by then as a cold one may be sent, by this node's part and by the fleet's budget; the others' calls are refused.
func TestPeerThatStartsAnew(t *testing.T) {
	const half = 5 * time.Second // in which a cold peer is sent one request
	for name, c := range map[string]struct {
		was, is     time.Duration // its age at first, and by the list told while tries wait
		addr        string
		calls       int
		wait        time.Duration
		most, asked int64 // of the fleet's budget
		served      int
	}{
		"it goes on":                      {2 * time.Hour, 2 * time.Hour, "a:1", 3, half, 0, 0, 3},
		"it is elsewhere":                 {2 * time.Hour, 2 * time.Hour, "a:2", 3, half, 0, 0, 3},
		"it starts anew":                  {2 * time.Hour, 0, "a:1", 3, 0, 9, 1, 1},
		"elsewhere":                       {2 * time.Hour, 0, "a:2", 3, 0, 9, 1, 1},
		"the fleet's budget has no more":  {2 * time.Hour, 0, "a:1", 3, 0, 0, 1, 0},
		"a cold one in its half window":   {0, 0, "a:1", 1, 0, 1, 1, 1},
		"a cold one behind it":            {0, 0, "a:1", 1, half, 2, 2, 1},
		"behind it, and there is no more": {0, 0, "a:1", 1, half, 1, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list, gate, up, verdicts := make(teller), new(purse), make(chan bool), make(chan Verdict, c.calls)
				gate.most.Store(c.most)
				start := time.Now()
				known, news := listed(7), listed(7)
				known.Endpoints[0].StartedAt = balancer.Time(start.Add(-c.was).UnixNano())
				news.Kind, news.Endpoints[0].Addr = balancer.UpdateDelta, c.addr
				news.Endpoints[0].StartedAt = balancer.Time(start.Add(-c.is).UnixNano())
				set := testSettings()
				set.SlowStart, set.InitialCapacity, set.OverloadFactor, set.OverloadWindow, set.WarmThroughput = time.Hour, 0.5, 2.5, 2*half, 2/half.Seconds()
				r := New(Config{Settings: set, Seed: 1, InitialEndpoints: known, Watcher: list, Admission: gate, Log: slog.New(slog.DiscardHandler),
					Transport: carrier(func(_ context.Context, try Attempt) AttemptResult {
						if <-up; !try.StillValid(time.Now()) {
							return AttemptResult{Result: balancer.NotSent}
						}
						return AttemptResult{Result: balancer.OK}
					})})
				ctx, stop := context.WithCancel(t.Context())
				go r.Run(ctx)
				for range c.calls {
					go func() {
						a, _ := r.Handle(ctx, call(safe, 20*time.Second))
						verdicts <- a.Verdict
					}()
				}
				synctest.Wait()
				list <- news
				time.Sleep(c.wait)
				synctest.Wait()
				close(up)
				got := map[Verdict]int{}
				for range c.calls {
					got[<-verdicts]++
				}
				if got[Served] != c.served || got[Rejected] != c.calls-c.served || gate.asked.Load() != c.asked {
					t.Errorf("%v, and the fleet was asked %d times; want %d served, the others refused, and %d", got,
						gate.asked.Load(), c.served, c.asked)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
