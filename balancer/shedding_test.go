package balancer

import (
	"testing"
	"time"
)

// Guards against one tenant's slowness, wherever it runs, narrowing what the others may do; a jam that all
// tenants meet must still make it shed.
func TestSlowTenantDoesNotShedOthers(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{}, {}, {}}
	narrowed := func(slow func(tenant int) bool) bool {
		g := newHarness(t, set, 1, testServers(30)...)
		for i := range 600 {
			lat := 50 * time.Millisecond
			if slow(i % 3) {
				lat = 950 * time.Millisecond
			}
			id := RequestID(i + 1)
			g.b.HandleRequest(g.now, Request{ID: id, Timeout: time.Second, AffinityKey: uint64(i%29 + 1), Tenant: i % 3})
			g.b.HandleOutcome(g.now+Time(lat), Outcome{ID: id, Latency: lat, Result: OK, RequestDone: true})
		}
		g.request(0, 30)
		return g.b.sheddingPressure > 0
	}
	if narrowed(func(tenant int) bool { return tenant == 0 }) {
		t.Error("one slow tenant of three makes the node shed")
	}
	if !narrowed(func(int) bool { return true }) {
		t.Error("a jam of all tenants sheds nothing")
	}
}

// Guards against a slowness of the whole fleet that no single server's limit shows: what is worth least is shed,
// what is worth most is not, and it ends once answers are fast again.
func TestSlowFleetShedsLowestPriority(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight = 20
	g := newHarness(t, set, 1, testServers(30)...)
	refused := func(class int, lat time.Duration) (n int) {
		for range 200 {
			id := g.request(class, uint64(g.nextID%29+1))
			if g.requests[id].answer == "refuse" && len(g.requests[id].attempts) == 0 {
				n++
			}
			g.advance(20*time.Millisecond, lat, alwaysAlive)
		}
		return n
	}
	quick, slow, most, after := refused(0, 50*time.Millisecond), refused(0, 900*time.Millisecond),
		refused(1, 900*time.Millisecond), 0
	refused(0, 50*time.Millisecond)
	if after = refused(0, 50*time.Millisecond); quick > 0 || slow < 20 || most > slow/3 || after > 0 {
		t.Errorf("refused: %d while quick, %d while slow, %d of the most worth, %d after", quick, slow, most, after)
	}
}
