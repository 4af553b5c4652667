package balancer

import (
	"testing"
	"time"
)

// TestQuotaOfManyNodes: a node's share of a quota may be far below one request a second. It accumulates to one request
// and still limits the tenant.
func TestQuotaOfManyNodes(t *testing.T) {
	set := testSettings()
	set.Nodes, set.Tenants = 500, []Tenant{{Quota: 100}}
	h := newHarness(t, set, 1, testServers(3)...)
	for interval, want := range map[time.Duration]int{6 * time.Second: 0, time.Second: 79} {
		over := 0
		for range 100 {
			h.b.now += Time(interval)
			if h.b.chargeQuota(&h.b.tenants[0]) {
				over++
			}
		}
		if over < want-2 || over > want+2 {
			t.Errorf("one request every %v, with a quota of one every 5 s: %d of 100 requests beyond the quota, want about %d",
				interval, over, want)
		}
	}
}
