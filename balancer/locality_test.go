package balancer

import (
	"testing"
	"time"
)

// TestKeysStayInZone: keys stay in the node's zone only where crossing zones has a cost. In a small zone, only as many
// stay as it can serve after the loss of one server. A key may leave its zone on a retry.
func TestKeysStayInZone(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int // in all three zones
		cost    float64
		local   bool // whether keys stay in the zone
		least   int  // keys of 300 that stay
		most    int
	}{
		{"large zones", 30, 0.1, true, 299, 300},
		{"no cost", 30, 0, false, 50, 150},
		{"low cost", 21, 0.005, false, 50, 150},
		{"four servers a zone", 12, 0.1, true, 270, 298},
		{"two servers a zone", 6, 0.1, true, 200, 260},
		{"one server a zone", 3, 0.1, false, 50, 150},
	} {
		set := testSettings()
		set.Nodes, set.Zones, set.Zone, set.CrossZoneCost = 300, 3, 1, c.cost
		servers := testServers(c.servers)
		for i := range servers {
			servers[i].Zone = uint8(i % 3)
		}
		h := newHarness(t, set, 1, servers...)
		stayed := 0
		for key := uint64(1); key <= 300; key++ {
			tracked := h.requests[h.request(0, key)]
			if h.b.serversByID[tracked.attempts[0].server].Zone == 1 {
				stayed++
			}
			h.advance(20*time.Millisecond, 10*time.Millisecond, alwaysAlive)
		}
		if stayed < c.least || stayed > c.most {
			t.Errorf("%s: %d of 300 keys stay in the zone", c.name, stayed)
		}
		if id := h.request(0, 7); c.local { // after a rejection in the zone, a retry may leave it
			h.respond(id, 0, Rejected)
			if tracked := h.requests[id]; len(tracked.attempts) != 2 {
				t.Errorf("%s: %d attempts after a rejection, want 2", c.name, len(tracked.attempts))
			}
		}
		h.assertNoViolations()
	}
}

// TestSpillOverLeavesFullZone: if the servers of the zone that a key maps to are at their concurrency limit, the search
// goes on to an idle server of another zone. It does not end with a rejection before it has reached one.
func TestSpillOverLeavesFullZone(t *testing.T) {
	set := testSettings()
	set.Zones, set.CrossZoneCost = 2, 0.1
	h := newHarness(t, set, 1, testServers(12)...)
	for _, s := range h.b.servers {
		if s.Zone == set.Zone {
			s.load.limit, s.load.inFlight = 1, 1
		}
	}
	sent := 0
	for key := uint64(1); key <= 60; key++ {
		id := h.request(0, key)
		for n := range h.requests[id].attempts {
			sent++
			h.respond(id, n, OK)
		}
	}
	if sent < 57 {
		t.Errorf("%d of 60 requests sent, want 57 or more", sent)
	}
	h.assertNoViolations()
}

// TestFullZoneSpillsToOtherZones: a key whose zone has no capacity may use as much of the limits in other zones as on a
// first spill. It guards against rejections beside idle servers when the node of another zone has lost its traffic:
// after six spills within its zone, the key only fitted servers with nothing in flight.
func TestFullZoneSpillsToOtherZones(t *testing.T) {
	set := testSettings()
	set.Zones, set.CrossZoneCost, set.Nodes = 2, 0.2, 2
	servers := testServers(12)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	h := newHarness(t, set, 1, servers...)
	h.request(0, 1) // builds the tables
	for _, s := range h.b.servers {
		s.load.limit, s.load.inFlight = 10, 1
		if s.Zone == set.Zone {
			s.load.inFlight = 10
		}
	}
	crossed := 0
	for key := range uint64(200) {
		r := &request{
			id: RequestID(1000 + key), class: &h.b.classes[0], affinityKey: key + 1, limitShare: 1,
			deadline: h.now + 1000*ms,
		}
		if s := h.b.selectServer(r); s != nil && s.Zone != set.Zone {
			crossed++
		}
	}
	if crossed < 150 {
		t.Errorf("%d keys of 200 are sent to the other zone, want 150 or more", crossed)
	}
}
