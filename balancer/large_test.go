package balancer

import (
	"fmt"
	"testing"
	"time"
)

// plain is a host that answers every request after a time, and every probe at once.
type plain struct {
	b      *Balancer
	out    []plainTry
	probes []ServerID
	wakes  []plainWake
	now    Time
	last   RequestID
	probed map[ServerID]int // nil: nobody counts
}

type plainTry struct {
	id RequestID
	at Time
	to ServerID
}

type plainWake struct {
	at  Time
	ref uint64
}

func (p *plain) Send(id RequestID, to ServerID, _ Time) {
	p.out = append(p.out, plainTry{id, p.now, to})
}
func (p *plain) CheckHealth(to ServerID)         { p.probes = append(p.probes, to) }
func (p *plain) Cancel(RequestID, int)           {}
func (p *plain) Reject(RequestID, time.Duration) {}
func (p *plain) Fail(RequestID)                  {}
func (p *plain) Watch()                          {}
func (p *plain) Log(string)                      {}
func (p *plain) SetTimer(d time.Duration, ref uint64) {
	if ref == tickTimer { // copies of what is answered in time are never sent
		p.wakes = append(p.wakes, plainWake{p.now + Time(d), ref})
	}
}

// plainStart is a node that knows of so many equal servers.
func plainStart(t testing.TB, servers int) *plain {
	p := &plain{now: Time(time.Hour)}
	var err error
	if p.b, err = New(base(), 1, p.now, p); err != nil {
		t.Fatal(err)
	}
	p.b.HandleServers(p.now, UpdateCached, fleet(servers))
	return p
}

// pass lets time go on, and answers what is due.
func (p *plain) pass(d, lat time.Duration) {
	p.now += Time(d)
	for len(p.wakes) > 0 && p.wakes[0].at <= p.now {
		w := p.wakes[0]
		p.wakes = append(p.wakes[:0], p.wakes[1:]...)
		p.b.HandleTimer(p.now, w.ref)
	}
	for _, to := range p.probes {
		if p.probed != nil {
			p.probed[to]++
		}
		p.b.HandleHealthCheck(p.now, HealthCheckResult{Server: to, Latency: time.Millisecond, Result: OK})
	}
	p.probes = p.probes[:0]
	n := 0
	for n < len(p.out) && p.now >= p.out[n].at+Time(lat) {
		p.b.HandleOutcome(p.now, Outcome{ID: p.out[n].id, Result: OK, RequestDone: true, Latency: lat})
		n++
	}
	p.out = append(p.out[:0], p.out[n:]...)
}

// TestManyServers: what one node sends falls evenly on its servers, however many there are, and reaches all of them. 20 s of
// 2,000 requests a second, each with a key of its own: chance alone would give the busiest of 1,000 some 1.5 of the mean, and
// that of 5,000 some 2.5.
func TestManyServers(t *testing.T) {
	for servers, most := range map[int]float64{12: 1.05, 100: 1.2, 127: 1.3, 128: 1.2, 1000: 1.6, 1023: 1.6, 1024: 1.6, 5000: 1.8} {
		p, sent := plainStart(t, servers), map[ServerID]int{}
		const requests = 40000
		for i := range requests {
			n := len(p.out)
			p.b.HandleRequest(p.now, Request{ID: RequestID(i + 1), AffinityKey: mix(uint64(i + 1)), Tenant: -1, Timeout: 2 * time.Second})
			for _, try := range p.out[n:] {
				sent[try.to]++
			}
			p.pass(time.Millisecond/2, 20*time.Millisecond)
		}
		busiest, idlest := 0, requests
		for _, s := range fleet(servers) {
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
			p := plainStart(bench, servers)
			for i := range 4000 {
				p.b.HandleRequest(p.now, Request{ID: RequestID(i + 1), AffinityKey: mix(uint64(i + 1)), Tenant: -1, Timeout: 2 * time.Second})
				p.pass(time.Millisecond/2, 20*time.Millisecond)
			}
			for i := 0; bench.Loop(); i++ {
				p.b.HandleRequest(p.now, Request{ID: RequestID(i + 5000), AffinityKey: mix(uint64(i + 1)), Tenant: -1, Timeout: 2 * time.Second})
				p.pass(time.Millisecond/2, 20*time.Millisecond)
			}
		})
	}
}
