package balancer

import (
	"fmt"
	"testing"
	"time"
)

// simpleHost is a host that answers every request after a time, and every probe at once.
type simpleHost struct {
	b                 *Balancer
	outstanding       []simpleAttempt
	healthChecks      []ServerID
	timers            []simpleTimer
	now               Time
	lastID            RequestID
	healthCheckCounts map[ServerID]int // nil: nobody counts
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

func (p *simpleHost) Send(id RequestID, to ServerID, _ Time) {
	p.outstanding = append(p.outstanding, simpleAttempt{id, p.now, to})
}

func (p *simpleHost) CheckHealth(to ServerID) { p.healthChecks = append(p.healthChecks, to) }

func (p *simpleHost) Cancel(RequestID, int) {}

func (p *simpleHost) Reject(RequestID, time.Duration) {}

func (p *simpleHost) Fail(RequestID) {}

func (p *simpleHost) Watch() {}

func (p *simpleHost) Log(string) {}

func (p *simpleHost) SetTimer(d time.Duration, ref uint64) {
	if ref == tickTimer { // copies of what is answered in time are never sent
		p.timers = append(p.timers, simpleTimer{p.now + Time(d), ref})
	}
}

// newSimpleHost is a node that knows of so many equal servers.
func newSimpleHost(t testing.TB, servers int) *simpleHost {
	p := &simpleHost{now: Time(time.Hour)}
	var err error
	if p.b, err = New(testSettings(), 1, p.now, p); err != nil {
		t.Fatal(err)
	}
	p.b.HandleServers(p.now, UpdateCached, testServers(servers))
	return p
}

// request hands the node a request of no tenant.
func (p *simpleHost) request(id RequestID, key uint64) {
	p.b.HandleRequest(p.now, Request{ID: id, AffinityKey: key, Tenant: -1, Timeout: 2 * time.Second})
}

// advance lets time go on, and answers what is due.
func (p *simpleHost) advance(d, lat time.Duration) {
	p.now += Time(d)
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		w := p.timers[0]
		p.timers = append(p.timers[:0], p.timers[1:]...)
		p.b.HandleTimer(p.now, w.timer)
	}
	for _, to := range p.healthChecks {
		if p.healthCheckCounts != nil {
			p.healthCheckCounts[to]++
		}
		p.b.HandleHealthCheck(p.now, HealthCheckResult{Server: to, Latency: time.Millisecond, Result: OK})
	}
	p.healthChecks = p.healthChecks[:0]
	n := 0
	for n < len(p.outstanding) && p.now >= p.outstanding[n].sentAt+Time(lat) {
		p.b.HandleOutcome(p.now, Outcome{ID: p.outstanding[n].id, Result: OK, RequestDone: true, Latency: lat})
		n++
	}
	p.outstanding = append(p.outstanding[:0], p.outstanding[n:]...)
}

// TestEvenLoadOverManyServers: what one node sends falls evenly on its servers, however many there are, and reaches all
// of them. 20 s of 2,000 requests a second, each with a key of its own: chance alone would give the busiest of 1,000
// some 1.5 of the mean, and that of 5,000 some 2.5.
func TestEvenLoadOverManyServers(t *testing.T) {
	for servers, most := range map[int]float64{
		12: 1.05, 100: 1.2, 127: 1.3, 128: 1.2, 1000: 1.6, 1023: 1.6, 1024: 1.6, 5000: 1.8,
	} {
		p, sent := newSimpleHost(t, servers), map[ServerID]int{}
		const requests = 40000
		for i := range requests {
			n := len(p.outstanding)
			p.request(RequestID(i+1), mix(uint64(i+1)))
			for _, try := range p.outstanding[n:] {
				sent[try.server]++
			}
			p.advance(time.Millisecond/2, 20*time.Millisecond)
		}
		busiest, idlest := 0, requests
		for _, s := range testServers(servers) {
			busiest, idlest = max(busiest, sent[s.ID]), min(idlest, sent[s.ID])
		}
		mean := float64(requests) / float64(servers)
		t.Logf("%d servers: busiest %.2f of the mean, idlest %.2f", servers, float64(busiest)/mean, float64(idlest)/mean)
		if float64(busiest) > most*mean || idlest == 0 {
			t.Errorf("%d servers: the busiest got %d of a mean of %.0f, the idlest %d", servers, busiest, mean, idlest)
		}
	}
}

// BenchmarkManyServers is a request and its outcome, ticks included, at 2,000 a second.
func BenchmarkManyServers(bench *testing.B) {
	for _, servers := range []int{12, 100, 1000, 5000} {
		bench.Run(fmt.Sprint(servers), func(bench *testing.B) {
			p := newSimpleHost(bench, servers)
			for i := range 4000 {
				p.request(RequestID(i+1), mix(uint64(i+1)))
				p.advance(time.Millisecond/2, 20*time.Millisecond)
			}
			for i := 0; bench.Loop(); i++ {
				p.request(RequestID(i+5000), mix(uint64(i+1)))
				p.advance(time.Millisecond/2, 20*time.Millisecond)
			}
		})
	}
}
