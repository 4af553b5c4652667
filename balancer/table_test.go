package balancer

import (
	"slices"
	"testing"
	"time"
)

// uneven is a node among so many servers of several weights and three zones; those of its own have a part of the others'.
func uneven(servers int, part float64) *Balancer {
	set := base()
	set.Zones, set.CrossZoneCost, set.Nodes = 3, 0.3, 300
	b := &Balancer{settings: set.normalized(), serversByID: map[ServerID]*server{}, now: 1}
	for i := range servers {
		s := &server{capacity: 1 + float64(i%5)/4}
		if s.ID, s.Zone, s.State = ServerID(mix(uint64(i+1))), uint8(i%3), Ready; s.Zone == set.Zone {
			s.capacity *= part
		}
		b.servers = append(b.servers, s)
	}
	slices.SortFunc(b.servers, func(p, q *server) int { return int(p.ID>>1) - int(q.ID>>1) })
	return b
}

// byThePage fills a table as the paper writes it down, with a division for each entry that is looked at.
func byThePage(b *Balancer, size int, in func(*server) bool) []*server {
	table, most := make([]*server, size), 0
	credit, next := map[*server]int{}, map[*server]uint64{}
	for _, s := range b.servers {
		if in(s) {
			most = max(most, s.entry.weight)
		}
	}
	for filled, m := 0, uint64(size); filled < size; {
		for _, s := range b.servers {
			if !in(s) || filled == size {
				continue
			}
			if credit[s] += s.entry.weight; credit[s] < most {
				continue
			}
			credit[s] -= most
			h, j := mix(uint64(s.ID)), next[s]
			for ; table[(h%m+j*((h>>32)%(m-1)+1))%m] != nil; j++ {
			}
			table[(h%m+j*((h>>32)%(m-1)+1))%m], next[s] = s, j+1
			filled++
		}
	}
	return table
}

// TestTableByThePage: the tables are those of the paper, entry by entry, so that all nodes agree on them.
func TestTableByThePage(t *testing.T) {
	for _, servers := range []int{2, 12, 127, 128, 162, 1024} {
		b := uneven(servers, 1)
		b.buildTables()
		b.buildTables() // anew, over what was there
		all := byThePage(b, len(b.tables.all), func(s *server) bool { return s.entry.weight > 0 })
		if !slices.Equal(b.tables.all, all) {
			t.Errorf("%d servers: the table is another", servers)
		}
		if b.tables.zoneKeyShare == 0 {
			continue
		}
		if own := byThePage(b, len(b.tables.zone), func(s *server) bool { return s.entry.weight > 0 && s.Zone == 0 }); !slices.Equal(b.tables.zone, own) {
			t.Errorf("%d servers: the table of the zone is another", servers)
		}
	}
}

// TestTableIsCheap: building both tables takes less time than one takes with a division for each entry that is looked at, also
// where the node's zone has come back cold and little weight is in it. Some ten are looked at for each that is filled, and a
// node with a fifth of a core builds the tables twenty times a second while servers fail or warm up: it did hardly anything
// else. The least of several times counts, in turn, so that what else the machine does strikes both.
func TestTableIsCheap(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector makes each look dear")
	}
	for _, part := range []float64{1, 1. / 16} {
		b := uneven(162, part)
		b.buildTables()
		own, page := time.Hour, time.Hour
		for range 15 {
			begun := time.Now()
			b.buildTables()
			own = min(own, time.Since(begun))
			begun = time.Now()
			byThePage(b, len(b.tables.all), func(s *server) bool { return s.entry.weight > 0 })
			page = min(page, time.Since(begun))
		}
		if t.Logf("part %.2f: both tables %v, one by the page %v", part, own, page); own > page {
			t.Errorf("part %.2f: both tables took %v, one by the page %v", part, own, page)
		}
	}
}

func BenchmarkBuild(bench *testing.B) {
	for name, part := range map[string]float64{"even": 1, "cold": 1. / 16} {
		bench.Run(name, func(bench *testing.B) {
			b := uneven(162, part)
			for bench.Loop() {
				b.buildTables()
			}
		})
	}
}
