package balancer

import (
	"testing"
	"time"
)

// TestSlowTenantDoesNotShedOthers guards against load shedding for all tenants because the requests of one tenant are
// slow on every server. An overload that affects all tenants still causes load shedding.
func TestSlowTenantDoesNotShedOthers(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{}, {}, {}}
	sheds := func(slow func(tenant int) bool) bool {
		h := newHarness(t, set, 1, testServers(30)...)
		for i := range 600 {
			latency := 50 * time.Millisecond
			if slow(i % 3) {
				latency = 950 * time.Millisecond
			}
			id := RequestID(i + 1)
			h.b.HandleRequest(h.now, Request{ID: id, Timeout: time.Second, AffinityKey: uint64(i%29 + 1), Tenant: i % 3})
			h.b.HandleOutcome(h.now+Time(latency), Outcome{ID: id, Latency: latency, Result: OK, RequestDone: true})
		}
		h.request(0, 30)
		return h.b.sheddingPressure > 0
	}
	if sheds(func(tenant int) bool { return tenant == 0 }) {
		t.Error("the node sheds requests because one of three tenants is slow")
	}
	if !sheds(func(int) bool { return true }) {
		t.Error("the node sheds no requests although all tenants are slow")
	}
}

// TestSlowFleetShedsLowestPriority guards against slowness of the whole fleet that no concurrency limit of a single
// server shows. Requests of the lowest priority weight are shed, far fewer of the highest are, and shedding ends once
// answers are fast again.
func TestSlowFleetShedsLowestPriority(t *testing.T) {
	set := testSettings()
	set.Classes[1].PriorityWeight = 20
	h := newHarness(t, set, 1, testServers(30)...)
	rejected := func(class int, latency time.Duration) (n int) {
		for range 200 {
			id := h.request(class, uint64(h.nextID%29+1))
			if h.requests[id].answer == "refuse" && len(h.requests[id].attempts) == 0 {
				n++
			}
			h.advance(20*time.Millisecond, latency, alwaysAlive)
		}
		return n
	}
	fast, slow, highest, after := rejected(0, 50*time.Millisecond), rejected(0, 900*time.Millisecond),
		rejected(1, 900*time.Millisecond), 0
	rejected(0, 50*time.Millisecond)
	if after = rejected(0, 50*time.Millisecond); fast > 0 || slow < 20 || highest > slow/3 || after > 0 {
		t.Errorf("rejected requests: %d while fast, %d while slow, %d of the highest weight while slow, %d after",
			fast, slow, highest, after)
	}
}
