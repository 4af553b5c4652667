package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestTableSharesFollowWeights(t *testing.T) {
	servers := testServers(8)
	servers[3].Weight = 2
	h := newHarness(t, testSettings(), 1, servers...)
	h.b.buildTables()
	before := h.b.tables.all
	count := map[ServerID]int{}
	for _, s := range before {
		count[s.ID]++
	}
	for _, s := range servers {
		want := smallTableSize / 9 * int(s.Weight)
		if got := count[s.ID]; got < want*95/100 || got > want*105/100 {
			t.Errorf("server %d has %d entries, want about %d", s.ID, got, want)
		}
	}
	moved := func() (n int) {
		for i, s := range h.b.tables.all {
			if s != before[i] && before[i].table.weight > 0 {
				n++
			}
		}
		return n
	}
	servers[0].State = Draining
	h.update(UpdateDelta, servers[0])
	h.b.buildTables()
	if n := moved(); n > smallTableSize/5 {
		t.Errorf("%d entries of the other servers moved when one server left", n)
	}
	servers[0].State = Ready
	servers[5].Weight = 1.25
	h.update(UpdateFull, servers...)
	h.b.buildTables()
	if n := moved(); n > smallTableSize/4 {
		t.Errorf("%d entries moved when one weight changed by a quarter", n)
	}
}

// newWeightedBalancer returns a Balancer that knows the given number of servers, of several weights, in three zones.
// The capacity of the servers of its own zone is multiplied by zoneFactor.
func newWeightedBalancer(servers int, zoneFactor float64) *Balancer {
	set := testSettings()
	set.Zones, set.CrossZoneCost, set.Nodes = 3, 0.3, 300
	b := &Balancer{settings: set.normalized(), serversByID: map[ServerID]*server{}, now: 1}
	for i := range servers {
		s := &server{capacity: 1 + float64(i%5)/4}
		if s.ID, s.Zone, s.State = ServerID(mix(uint64(i+1))), uint8(i%3), Ready; s.Zone == set.Zone {
			s.capacity *= zoneFactor
		}
		b.servers = append(b.servers, s)
	}
	slices.SortFunc(b.servers, func(p, q *server) int { return int(p.ID>>1) - int(q.ID>>1) })
	return b
}

// referenceTable fills a table with the algorithm as the Maglev paper states it, with one division for each entry that
// it examines.
func referenceTable(b *Balancer, size int, include func(*server) bool) []*server {
	table, largest := make([]*server, size), 0
	credit, next := map[*server]int{}, map[*server]uint64{}
	for _, s := range b.servers {
		if include(s) {
			largest = max(largest, s.table.weight)
		}
	}
	for filled, m := 0, uint64(size); filled < size; {
		for _, s := range b.servers {
			if !include(s) || filled == size {
				continue
			}
			if credit[s] += s.table.weight; credit[s] < largest {
				continue
			}
			credit[s] -= largest
			h, j := mix(uint64(s.ID)), next[s]
			for ; table[(h%m+j*((h>>32)%(m-1)+1))%m] != nil; j++ {
			}
			table[(h%m+j*((h>>32)%(m-1)+1))%m], next[s] = s, j+1
			filled++
		}
	}
	return table
}

// TestTableMatchesPaper: each entry of the tables is that of the paper's algorithm, so that all nodes have equal
// tables.
func TestTableMatchesPaper(t *testing.T) {
	for _, servers := range []int{2, 12, 127, 128, 162, 1024} {
		b := newWeightedBalancer(servers, 1)
		b.buildTables()
		b.buildTables() // fills the tables again, over the previous entries
		all := referenceTable(b, len(b.tables.all), func(s *server) bool { return s.table.weight > 0 })
		if !slices.Equal(b.tables.all, all) {
			t.Errorf("%d servers: the table differs from the paper's", servers)
		}
		if b.tables.zoneKeyShare == 0 {
			continue
		}
		inZone := func(s *server) bool { return s.table.weight > 0 && s.Zone == 0 }
		if own := referenceTable(b, len(b.tables.zone), inZone); !slices.Equal(b.tables.zone, own) {
			t.Errorf("%d servers: the table of the zone differs from the paper's", servers)
		}
	}
}

// TestTableIsCheap: building both tables takes less time than building one table with a division for each examined
// entry, even if the servers of the node's zone have just restarted and have little weight. It guards against a node
// with a fifth of a processor core that spends most of it on tables while servers fail or warm up. The two builds
// alternate and the shortest of several times counts for each, so that other load on the machine affects both.
func TestTableIsCheap(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector makes each memory access expensive")
	}
	for _, zoneFactor := range []float64{1, 1. / 16} {
		b := newWeightedBalancer(162, zoneFactor)
		b.buildTables()
		both, reference := time.Hour, time.Hour
		for range 15 {
			startedAt := time.Now()
			b.buildTables()
			both = min(both, time.Since(startedAt))
			startedAt = time.Now()
			referenceTable(b, len(b.tables.all), func(s *server) bool { return s.table.weight > 0 })
			reference = min(reference, time.Since(startedAt))
		}
		if t.Logf("zone factor %.2f: both tables %v, one reference table %v", zoneFactor, both, reference); both > reference {
			t.Errorf("zone factor %.2f: both tables took %v, want no more than one reference table: %v",
				zoneFactor, both, reference)
		}
	}
}

func BenchmarkBuild(bench *testing.B) {
	for name, zoneFactor := range map[string]float64{"even": 1, "cold": 1. / 16} {
		bench.Run(name, func(bench *testing.B) {
			b := newWeightedBalancer(162, zoneFactor)
			for bench.Loop() {
				b.buildTables()
			}
		})
	}
}
