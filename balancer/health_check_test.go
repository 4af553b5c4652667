package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestHealthCounterTransitions(t *testing.T) {
	for _, c := range []struct {
		name    string
		results string // p pass, f fail
		counter int
		up      bool
	}{
		{"first pass decides", "p", 2, true},
		{"first failure decides", "f", 1, false},
		{"saturates above", "ppppppp", 4, true},
		{"one failure from full", "pppf", 3, true},
		{"fall failures from full", "pppfff", 1, false},
		{"saturates below", "pffffff", 0, false},
		{"rise passes from nothing", "pffffpp", 2, true},
		{"one pass from nothing", "pffffp", 1, false},
	} {
		g := newHarness(t, testSettings(), 1, testServers(3)...)
		s := g.b.servers[0]
		for _, r := range c.results {
			s.health.checkSentAt = g.now
			g.b.recordCheck(s, r == 'p')
		}
		if s.health.counter != c.counter || (s.health.ejectedAt == 0) != c.up {
			t.Errorf("%s: counter %d up %v, want %d %v", c.name, s.health.counter, (s.health.ejectedAt == 0), c.counter, c.up)
		}
	}
}

func TestHealthChecksEjectDeadServer(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(4)...)
	g.advance(15*time.Second, 0, func(s ServerID) bool { return s != 1007 })
	for i := range 200 {
		g.request(0, uint64(i+1))
		g.advance(10*time.Millisecond, 5*time.Millisecond, alwaysAlive)
	}
	for id, tk := range g.requests {
		for _, a := range tk.attempts {
			if a.server == 1007 && a.sentAt < Time(time.Hour)+15*Time(time.Second) {
				t.Fatalf("request %d went to the dead server", id)
			}
		}
	}
	g.assertNoViolations()
}

// Guards against probes that fail while work succeeds.
func TestAnswersOutweighFailedHealthChecks(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(4)...)
	for i := range 1500 {
		g.request(0, uint64(i%50+1))
		g.advance(10*time.Millisecond, 5*time.Millisecond, alwaysAlive)
		for _, s := range g.b.servers {
			if i < 200 {
				continue
			}
			s.health.checkSentAt = max(s.health.checkSentAt, g.now-500*ms) // a failure for each
			g.b.recordCheck(s, false)
		}
	}
	for _, s := range g.b.servers {
		if s.health.ejectedAt != 0 {
			t.Errorf("server %d is out, though it answers", s.ID)
		}
	}
}

// Guards against probes that grow as nodes times servers: a node with little traffic sends few, one with
// none still sends some, and servers that it cannot afford to probe stay in on the list's word.
func TestHealthChecksBoundedByTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		every       time.Duration // between requests; 0: none
		price       float64
		least, most int
	}{
		{"no traffic", 0, 0, 8, 20},
		{"little traffic", 400 * time.Millisecond, 0, 15, 30},
		{"dear probes", 400 * time.Millisecond, 0.25, 8, 20},
		{"much traffic", 5 * time.Millisecond, 0, 400, 1300},
	} {
		set := testSettings()
		set.Nodes, set.HealthCheckCost = 500, c.price
		g := newHarness(t, set, 1, testServers(60)...)
		next := g.now + Time(c.every)
		for end := g.now + Time(time.Minute); g.now < end; {
			g.advance(5*time.Millisecond, 20*time.Millisecond, alwaysAlive)
			if c.every > 0 && g.now >= next {
				g.request(0, uint64(g.nextID%50+1))
				next += Time(c.every)
			}
		}
		sent := 0
		for _, line := range g.actions {
			if strings.HasPrefix(line, "probe") {
				sent++
			}
		}
		in := 0
		for _, s := range g.b.servers {
			if s.health.ejectedAt == 0 {
				in++
			}
		}
		if g.assertNoViolations(); sent < c.least || sent > c.most || in != 60 {
			t.Errorf("%s: %d probes in a minute, want %d to %d; %d of 60 servers in", c.name, sent, c.least, c.most, in)
		}
	}
}

// A probe that never left its node says nothing of the server, and the next one is not held up by it.
func TestHealthChecksThatWereNotSent(t *testing.T) {
	g := newHarness(t, testSettings(), 1, testServers(1)...)
	for range 400 { // 20 s
		g.now += 50 * ms
		g.b.checkTokens = maxCheckTokens // as many as may be
		g.b.HandleTimer(g.now, tickTimer)
		for id, n := range g.healthChecks {
			if n > 0 {
				g.healthChecks[id] = 0
				g.b.HandleHealthCheck(g.now, HealthCheckResult{Server: id, Result: NotSent})
			}
		}
	}
	if s := g.b.servers[0]; s.health.ejectedAt != 0 || !s.health.unknown || g.healthCheckCount < 8 {
		t.Errorf("%+v after %d moot probes", s.Server, g.healthCheckCount)
	}
}
