package balancer

import (
	"testing"
	"time"
)

// TestAside: what stands aside is sent nothing and not probed, also where it is new; back, it is sent its part at once.
func TestAside(t *testing.T) {
	servers := fleet(12)
	aside := func(from, to int) []Server {
		all := fleet(12)
		for i := range all {
			all[i].Suspended = i >= from && i < to
		}
		return all
	}
	p := plainStart(t, 12)
	play := func(requests int) map[ServerID]int {
		sent := map[ServerID]int{}
		for range requests {
			n := len(p.out)
			p.last++
			p.b.HandleRequest(p.now, Request{ID: p.last, AffinityKey: mix(uint64(p.last)), Tenant: -1, Timeout: 2 * time.Second})
			for _, try := range p.out[n:] {
				sent[try.to]++
			}
			p.pass(time.Millisecond/2, 20*time.Millisecond)
		}
		return sent
	}
	play(2000)
	for round, c := range [][2]int{{0, 6}, {6, 12}, {3, 3}} {
		p.b.HandleServers(p.now, UpdateDelta, aside(c[0], c[1]))
		p.probed = map[ServerID]int{}
		sent := play(6000)
		for i, s := range servers {
			out := i >= c[0] && i < c[1]
			if out && (sent[s.ID] > 0 || p.probed[s.ID] > 0) {
				t.Errorf("round %d: server %d stands aside, and is sent %d and probed %d times", round, i, sent[s.ID], p.probed[s.ID])
			}
			if part := 6000 / (12 - (c[1] - c[0])); !out && sent[s.ID] < part*3/4 {
				t.Errorf("round %d: server %d is sent %d of %d", round, i, sent[s.ID], part)
			}
		}
	}
	late := Server{ID: 5, Weight: 1, State: Ready, Suspended: true}
	p.b.HandleServers(p.now, UpdateDelta, []Server{late})
	p.probed = map[ServerID]int{}
	if sent := play(4000); sent[5] > 0 || p.probed[5] > 0 {
		t.Errorf("a new one stands aside, and is sent %d and probed %d times", sent[5], p.probed[5])
	}
	late.Suspended = false
	p.b.HandleServers(p.now, UpdateDelta, []Server{late})
	if sent := play(8000); sent[5] == 0 {
		t.Error("a new one that stood aside is never sent anything")
	}
}
