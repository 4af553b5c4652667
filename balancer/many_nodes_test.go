package balancer

import (
	"testing"
	"time"
)

// largeFleet is a fleet of 60 servers, half in each zone, to which each of 80 nodes sends 20 requests a second.
func largeFleet() (Settings, []Server) {
	set := testSettings()
	set.Nodes, set.Zones, set.CrossZoneCost = 80, 2, 0.17
	servers := testServers(60)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	return set, servers
}

// playNodes plays some of the nodes one after the other, each for d, and returns what each server was sent by all.
// One request in eight is for the hot key.
func playNodes(t *testing.T, nodes int, d time.Duration) (sent map[ServerID]int, all int) {
	t.Helper()
	sent = map[ServerID]int{}
	for n := range nodes {
		set, servers := largeFleet()
		set.Zone = uint8(n % 2)
		g := newHarness(t, set, uint64(n+1), servers...)
		for i := range int(20 * d.Seconds()) {
			key := uint64(1000 + (i*7+n*131)%900)
			if i%8 == 0 {
				key = 7
			}
			id := g.request(0, key)
			for _, a := range g.requests[id].attempts {
				sent[a.server]++
				all++
			}
			g.advance(50*time.Millisecond, 40*time.Millisecond, alwaysAlive)
		}
		g.assertNoViolations()
	}
	return sent, all
}

// TestHotKeyOfManyNodes guards against the sum over nodes: each sends a hot key's server two requests a second,
// which no limit of a node's notices, and 80 of them fill it.
func TestHotKeyOfManyNodes(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 12 * time.Second} {
		sent, all := playNodes(t, 16, d)
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		if mean := float64(all) / 60; float64(most) > 2.5*mean {
			t.Errorf("in %v one server is sent %d, the mean is %.0f", d, most, mean)
		}
	}
}
