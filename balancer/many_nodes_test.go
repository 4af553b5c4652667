package balancer

import (
	"testing"
	"time"
)

// largeFleet returns the settings and servers of a fleet of 80 nodes, of which each sends 20 requests a second, and 60
// servers, half of them in each of two zones.
func largeFleet() (Settings, []Server) {
	set := testSettings()
	set.Nodes, set.Zones, set.CrossZoneCost = 80, 2, 0.17
	servers := testServers(60)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	return set, servers
}

// runNodes runs some of the nodes of largeFleet one after the other, each for d, and returns the number of attempts
// that they sent to each server and in total. One request in eight has the same key, the hot key.
func runNodes(t *testing.T, nodes int, d time.Duration) (sent map[ServerID]int, all int) {
	t.Helper()
	sent = map[ServerID]int{}
	for n := range nodes {
		set, servers := largeFleet()
		set.Zone = uint8(n % 2)
		h := newHarness(t, set, uint64(n+1), servers...)
		for i := range int(20 * d.Seconds()) {
			key := uint64(1000 + (i*7+n*131)%900)
			if i%8 == 0 {
				key = 7
			}
			id := h.request(0, key)
			for _, a := range h.requests[id].attempts {
				sent[a.server]++
				all++
			}
			h.advance(50*time.Millisecond, 40*time.Millisecond, alwaysAlive)
		}
		h.assertNoViolations()
	}
	return sent, all
}

// TestHotKeyOfManyNodes guards against an overload that no single node can see: each node sends two requests a second
// to the server of a hot key, which is below every limit of the node, but 80 nodes together fill the server.
func TestHotKeyOfManyNodes(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 12 * time.Second} {
		sent, all := runNodes(t, 16, d)
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		if mean := float64(all) / 60; float64(most) > 2.5*mean {
			t.Errorf("within %v the busiest server received %d attempts, the mean is %.0f; want at most 2.5 times the mean",
				d, most, mean)
		}
	}
}
