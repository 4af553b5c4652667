package balancer

import (
	"testing"
	"time"
)

// A node's part of a quota may be far under one request a second: it is saved up, and still a limit.
func TestQuotaOfManyNodes(t *testing.T) {
	set := testSettings()
	set.Nodes, set.Tenants = 500, []Tenant{{Quota: 100}}
	g := newHarness(t, set, 1, testServers(3)...)
	for every, want := range map[time.Duration]int{6 * time.Second: 0, time.Second: 79} {
		over := 0
		for range 100 {
			g.b.now += Time(every)
			if g.b.chargeQuota(&g.b.tenants[0]) {
				over++
			}
		}
		if over < want-2 || over > want+2 {
			t.Errorf("one request in %v against a part of one in 5 s: %d of 100 over, want %d", every, over, want)
		}
	}
}
