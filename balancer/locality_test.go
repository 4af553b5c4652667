package balancer

import (
	"testing"
	"time"
)

// Keys keep to the zone only where crossing has a price, in a small one as many as it carries without one of its
// servers, and spill from it.
func TestKeysStayInZone(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int // in three zones
		price   float64
		near    bool
		least   int // keys of 300 that stay
		most    int
	}{
		{"large zones", 30, 0.1, true, 299, 300},
		{"no price", 30, 0, false, 50, 150},
		{"cheap", 21, 0.005, false, 50, 150},
		{"four a zone", 12, 0.1, true, 270, 298},
		{"two a zone", 6, 0.1, true, 200, 260},
		{"one a zone", 3, 0.1, false, 50, 150},
	} {
		set := testSettings()
		set.Nodes, set.Zones, set.Zone, set.CrossZoneCost = 300, 3, 1, c.price
		servers := testServers(c.servers)
		for i := range servers {
			servers[i].Zone = uint8(i % 3)
		}
		g := newHarness(t, set, 1, servers...)
		near := 0
		for key := uint64(1); key <= 300; key++ {
			tk := g.requests[g.request(0, key)]
			if g.b.serversByID[tk.attempts[0].server].Zone == 1 {
				near++
			}
			g.advance(20*time.Millisecond, 10*time.Millisecond, alwaysAlive)
		}
		if near < c.least || near > c.most {
			t.Errorf("%s: %d of 300 keys stay", c.name, near)
		}
		if id := g.request(0, 7); c.near { // the zone turns it away: a further attempt may cross
			g.respond(id, 0, Rejected)
			if tk := g.requests[id]; len(tk.attempts) != 2 {
				t.Errorf("%s: %d attempts after a rejection", c.name, len(tk.attempts))
			}
		}
		g.assertNoViolations()
	}
}

// A key whose entries of the zone are full finds an idle server elsewhere, and is not refused for want of looking.
func TestSpillOverLeavesFullZone(t *testing.T) {
	set := testSettings()
	set.Zones, set.CrossZoneCost = 2, 0.1
	g := newHarness(t, set, 1, testServers(12)...)
	for _, s := range g.b.servers {
		if s.Zone == set.Zone {
			s.load.limit, s.load.inFlight = 1, 1
		}
	}
	sent := 0
	for key := uint64(1); key <= 60; key++ {
		id := g.request(0, key)
		for n := range g.requests[id].attempts {
			sent++
			g.respond(id, n, OK)
		}
	}
	if sent < 57 {
		t.Errorf("%d of 60 sent", sent)
	}
	g.assertNoViolations()
}

// TestFullZoneSpillsToOtherZones: a key whose zone has no room takes other zones' room as
// at a first spill. It guards against idle servers beside refusals when the node
// of another zone has been emptied: after six steps a key got only what held nothing.
func TestFullZoneSpillsToOtherZones(t *testing.T) {
	set := testSettings()
	set.Zones, set.CrossZoneCost, set.Nodes = 2, 0.2, 2
	servers := testServers(12)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	g := newHarness(t, set, 1, servers...)
	g.request(0, 1) // builds the tables
	for _, s := range g.b.servers {
		s.load.limit, s.load.inFlight = 10, 1
		if s.Zone == set.Zone {
			s.load.inFlight = 10
		}
	}
	crossed := 0
	for key := range uint64(200) {
		r := &request{
			id: RequestID(1000 + key), class: &g.b.classes[0], affinityKey: key + 1, limitShare: 1,
			deadline: g.now + 1000*ms,
		}
		if s := g.b.selectServer(r); s != nil && s.Zone != set.Zone {
			crossed++
		}
	}
	if crossed < 150 {
		t.Errorf("%d keys of 200 find the other zone's room", crossed)
	}
}
