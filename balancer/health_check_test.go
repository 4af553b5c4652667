package balancer

import (
	"strings"
	"testing"
	"time"
)

func TestHealthCounterTransitions(t *testing.T) {
	for _, c := range []struct {
		name    string
		results string // p: passed, f: failed
		counter int
		up      bool
	}{
		{"first pass decides", "p", 2, true},
		{"first failure decides", "f", 1, false},
		{"counter saturates at the maximum", "ppppppp", 4, true},
		{"one failure from the maximum", "pppf", 3, true},
		{"fallThreshold failures from the maximum", "pppfff", 1, false},
		{"counter saturates at zero", "pffffff", 0, false},
		{"riseThreshold passes from zero", "pffffpp", 2, true},
		{"one pass from zero", "pffffp", 1, false},
	} {
		h := newHarness(t, testSettings(), 1, testServers(3)...)
		s := h.b.servers[0]
		for _, r := range c.results {
			s.health.checkSentAt = h.now
			h.b.recordCheck(s, r == 'p')
		}
		if s.health.counter != c.counter || (s.health.ejectedAt == 0) != c.up {
			t.Errorf("%s: counter %d and up %v, want %d and %v",
				c.name, s.health.counter, (s.health.ejectedAt == 0), c.counter, c.up)
		}
	}
}

func TestHealthChecksEjectDeadServer(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(4)...)
	h.advance(15*time.Second, 0, func(s ServerID) bool { return s != 1007 })
	for i := range 200 {
		h.request(0, uint64(i+1))
		h.advance(10*time.Millisecond, 5*time.Millisecond, alwaysAlive)
	}
	for id, tracked := range h.requests {
		for _, a := range tracked.attempts {
			if a.server == 1007 && a.sentAt < Time(time.Hour)+15*Time(time.Second) {
				t.Fatalf("request %d was sent to the dead server", id)
			}
		}
	}
	h.assertNoViolations()
}

// TestAnswersOutweighFailedHealthChecks guards against the ejection of servers that fail health checks but answer
// requests.
func TestAnswersOutweighFailedHealthChecks(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(4)...)
	for i := range 1500 {
		h.request(0, uint64(i%50+1))
		h.advance(10*time.Millisecond, 5*time.Millisecond, alwaysAlive)
		for _, s := range h.b.servers {
			if i < 200 {
				continue
			}
			s.health.checkSentAt = max(s.health.checkSentAt, h.now-500*ms) // a check that was sent at most 500 ms ago fails
			h.b.recordCheck(s, false)
		}
	}
	for _, s := range h.b.servers {
		if s.health.ejectedAt != 0 {
			t.Errorf("server %d is ejected, although it answers requests", s.ID)
		}
	}
}

// TestHealthChecksBoundedByTraffic guards against a number of health checks that grows with the number of nodes times
// the number of servers. A node with little traffic sends few checks, a node without traffic still sends some, and
// servers that the budget does not cover stay in the lookup tables because the endpoint list shows them as ready.
func TestHealthChecksBoundedByTraffic(t *testing.T) {
	for _, c := range []struct {
		name        string
		interval    time.Duration // between requests; 0: no requests
		cost        float64       // Settings.HealthCheckCost
		least, most int           // health checks in a minute
	}{
		{"no traffic", 0, 0, 8, 20},
		{"little traffic", 400 * time.Millisecond, 0, 15, 30},
		{"expensive checks", 400 * time.Millisecond, 0.25, 8, 20},
		{"much traffic", 5 * time.Millisecond, 0, 400, 1300},
	} {
		set := testSettings()
		set.Nodes, set.HealthCheckCost = 500, c.cost
		h := newHarness(t, set, 1, testServers(60)...)
		nextRequestAt := h.now + Time(c.interval)
		for end := h.now + Time(time.Minute); h.now < end; {
			h.advance(5*time.Millisecond, 20*time.Millisecond, alwaysAlive)
			if c.interval > 0 && h.now >= nextRequestAt {
				h.request(0, uint64(h.nextID%50+1))
				nextRequestAt += Time(c.interval)
			}
		}
		sent := 0
		for _, action := range h.actions {
			if strings.HasPrefix(action, "probe") {
				sent++
			}
		}
		members := 0
		for _, s := range h.b.servers {
			if s.health.ejectedAt == 0 {
				members++
			}
		}
		if h.assertNoViolations(); sent < c.least || sent > c.most || members != 60 {
			t.Errorf("%s: %d health checks in a minute, want %d to %d; %d of 60 servers in the lookup tables",
				c.name, sent, c.least, c.most, members)
		}
	}
}

// TestUnsentHealthChecks: a health check that never left its node is no evidence about the server and does not
// delay the next check.
func TestUnsentHealthChecks(t *testing.T) {
	h := newHarness(t, testSettings(), 1, testServers(1)...)
	for range 400 { // 20 s of virtual time
		h.now += 50 * ms
		h.b.checkTokens = maxCheckTokens // the budget does not limit the checks
		h.b.HandleTimer(h.now, tickTimer)
		for id, n := range h.healthChecks {
			if n > 0 {
				h.healthChecks[id] = 0
				h.b.HandleHealthCheck(h.now, HealthCheckResult{Server: id, Result: NotSent})
			}
		}
	}
	if s := h.b.servers[0]; s.health.ejectedAt != 0 || !s.health.unknown || h.healthCheckCount < 8 {
		t.Errorf("server %+v after %d unsent health checks, want it unknown and not ejected after 8 or more",
			s.Server, h.healthCheckCount)
	}
}
