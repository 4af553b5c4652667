package balancer

import (
	"fmt"
	"testing"
	"time"
)

// simpleHost is a Host that answers every request after the same latency and passes every health check. It checks no
// rules.
type simpleHost struct {
	b                 *Balancer
	outstanding       []simpleAttempt
	healthChecks      []ServerID
	timers            []simpleTimer
	now               Time
	lastID            RequestID
	healthCheckCounts map[ServerID]int // the number of health checks by server; nil: not counted
}

type simpleAttempt struct {
	id     RequestID
	sentAt Time
	server ServerID
}

type simpleTimer struct {
	at    Time
	timer uint64
}

func (h *simpleHost) Send(id RequestID, to ServerID, _ Time) {
	h.outstanding = append(h.outstanding, simpleAttempt{id, h.now, to})
}

func (h *simpleHost) CheckHealth(to ServerID) { h.healthChecks = append(h.healthChecks, to) }

func (h *simpleHost) Cancel(RequestID, int) {}

func (h *simpleHost) Reject(RequestID, time.Duration) {}

func (h *simpleHost) Fail(RequestID) {}

func (h *simpleHost) Watch() {}

func (h *simpleHost) Log(string) {}

func (h *simpleHost) SetTimer(delay time.Duration, timer uint64) {
	if timer == tickTimer { // all requests are answered in time: no hedge is ever sent
		h.timers = append(h.timers, simpleTimer{h.now + Time(delay), timer})
	}
}

// newSimpleHost starts a Balancer that knows the given number of equal servers.
func newSimpleHost(t testing.TB, servers int) *simpleHost {
	h := &simpleHost{now: Time(time.Hour)}
	var err error
	if h.b, err = New(testSettings(), 1, h.now, h); err != nil {
		t.Fatal(err)
	}
	h.b.HandleServers(h.now, UpdateCached, testServers(servers))
	return h
}

// request passes a request without a tenant to the Balancer.
func (h *simpleHost) request(id RequestID, key uint64) {
	h.b.HandleRequest(h.now, Request{ID: id, AffinityKey: key, Tenant: -1, Timeout: 2 * time.Second})
}

// advance moves the clock forward by d, fires due timers, passes health checks and answers the requests that were sent
// latency ago.
func (h *simpleHost) advance(d, latency time.Duration) {
	h.now += Time(d)
	for len(h.timers) > 0 && h.timers[0].at <= h.now {
		due := h.timers[0]
		h.timers = append(h.timers[:0], h.timers[1:]...)
		h.b.HandleTimer(h.now, due.timer)
	}
	for _, to := range h.healthChecks {
		if h.healthCheckCounts != nil {
			h.healthCheckCounts[to]++
		}
		h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: to, Latency: time.Millisecond, Result: OK})
	}
	h.healthChecks = h.healthChecks[:0]
	n := 0
	for n < len(h.outstanding) && h.now >= h.outstanding[n].sentAt+Time(latency) {
		h.b.HandleOutcome(h.now, Outcome{ID: h.outstanding[n].id, Result: OK, RequestDone: true, Latency: latency})
		n++
	}
	h.outstanding = append(h.outstanding[:0], h.outstanding[n:]...)
}

// TestEvenLoadOverManyServers: the requests of one node are spread evenly over its servers, however many there are, and
// reach all of them. The node sends 2,000 requests a second for 20 s, each with a key of its own. A random choice would
// give the busiest of 1,000 servers some 1.5 times the mean, and the busiest of 5,000 some 2.5 times.
func TestEvenLoadOverManyServers(t *testing.T) {
	for servers, maxOverMean := range map[int]float64{
		12: 1.05, 100: 1.2, 127: 1.3, 128: 1.2, 1000: 1.6, 1023: 1.6, 1024: 1.6, 5000: 1.8,
	} {
		host, sent := newSimpleHost(t, servers), map[ServerID]int{}
		const requests = 40000
		for i := range requests {
			before := len(host.outstanding)
			host.request(RequestID(i+1), mix(uint64(i+1)))
			for _, attempt := range host.outstanding[before:] {
				sent[attempt.server]++
			}
			host.advance(time.Millisecond/2, 20*time.Millisecond)
		}
		busiest, idlest := 0, requests
		for _, s := range testServers(servers) {
			busiest, idlest = max(busiest, sent[s.ID]), min(idlest, sent[s.ID])
		}
		mean := float64(requests) / float64(servers)
		t.Logf("%d servers: busiest %.2f of the mean, idlest %.2f", servers, float64(busiest)/mean, float64(idlest)/mean)
		if float64(busiest) > maxOverMean*mean || idlest == 0 {
			t.Errorf("%d servers: the busiest received %d requests, the mean is %.0f, the idlest received %d",
				servers, busiest, mean, idlest)
		}
	}
}

// BenchmarkManyServers measures a request and its outcome, ticks included, at 2,000 requests a second.
func BenchmarkManyServers(bench *testing.B) {
	for _, servers := range []int{12, 100, 1000, 5000} {
		bench.Run(fmt.Sprint(servers), func(bench *testing.B) {
			host := newSimpleHost(bench, servers)
			for i := range 4000 {
				host.request(RequestID(i+1), mix(uint64(i+1)))
				host.advance(time.Millisecond/2, 20*time.Millisecond)
			}
			for i := 0; bench.Loop(); i++ {
				host.request(RequestID(i+5000), mix(uint64(i+1)))
				host.advance(time.Millisecond/2, 20*time.Millisecond)
			}
		})
	}
}
