package balancer

import "testing"

// TestFullZoneCrosses: a key whose zone has no room takes other zones' room as
// at a first spill. It guards against idle servers beside refusals when the node
// of another zone has been emptied: after six steps a key got only what held nothing.
func TestFullZoneCrosses(t *testing.T) {
	set := base()
	set.Zones, set.CrossZoneCost, set.Nodes = 2, 0.2, 2
	servers := fleet(12)
	for i := range servers {
		servers[i].Zone = uint8(i % 2)
	}
	g := start(t, set, 1, servers...)
	g.ask(0, 1) // builds the tables
	for _, s := range g.b.servers {
		s.load.limit, s.load.inFlight = 10, 1
		if s.Zone == set.Zone {
			s.load.inFlight = 10
		}
	}
	crossed := 0
	for key := range uint64(200) {
		r := &request{id: RequestID(1000 + key), class: &g.b.classes[0], affinityKey: key + 1, limitShare: 1, deadline: g.now + 1000*ms}
		if s := g.b.selectServer(r); s != nil && s.Zone != set.Zone {
			crossed++
		}
	}
	if crossed < 150 {
		t.Errorf("%d keys of 200 find the other zone's room", crossed)
	}
}
