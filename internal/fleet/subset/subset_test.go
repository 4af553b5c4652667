package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// group returns n servers, spread over some zones and three kinds.
func group(n, zones int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: mix64(uint64(i + 1)), Zone: uint8(i % zones), Kind: uint8(i / zones % 3), Weight: 1})
	}
	return all
}

// nodes returns n nodes, spread over some zones.
func nodes(n, zones int) (all []Node) {
	for i := range n {
		all = append(all, Node{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return all
}

// In random fleets, each server is assigned to the planned number of nodes, at most once to each; the numbers of
// servers per node are near the mean; a node with a large subset has servers of every zone and kind; and the order of
// nodes and servers and duplicates do not change the result.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		names := nodes(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(1, 2).Draw(t, "zones of nodes"))
		servers := group(rapid.IntRange(1, 300).Draw(t, "servers"), zones)
		p := Plan{Copies: rapid.IntRange(1, 10).Draw(t, "copies"), MinServers: rapid.IntRange(0, 60).Draw(t, "minimum")}
		got := p.Assign(names, servers)
		copies := p.copies(len(names), len(servers))
		if got == nil {
			if copies < len(names) {
				t.Fatalf("every node has all servers, with %d copies and %d nodes", copies, len(names))
			}
			return
		}
		nodeCounts, most, least := map[uint64]int{}, 0, len(servers)
		nodesByZone := map[uint64]map[string]int{}
		for _, node := range names {
			n := node.Name
			ids := got[n]
			if !slices.IsSorted(ids) || len(slices.Compact(slices.Clone(ids))) != len(ids) {
				t.Fatalf("the subset of %s is not sorted or has duplicates: %v", n, ids)
			}
			for _, id := range ids {
				nodeCounts[id]++
				if nodesByZone[id] == nil {
					nodesByZone[id] = map[string]int{}
				}
				nodesByZone[id][node.Zone]++
			}
			most, least = max(most, len(ids)), min(least, len(ids))
		}
		for _, server := range servers {
			// The copies of two zones are rounded separately, so their sum may differ by 1.
			if difference := nodeCounts[server.ID] - copies; difference < -1 || difference > 1 {
				t.Fatalf("a server has %d nodes, want %d", nodeCounts[server.ID], copies)
			}
			if !maps.Equal(nodesByZone[server.ID], nodesByZone[servers[0].ID]) {
				t.Fatalf("two servers have %v and %v nodes by zone, want the same",
					nodesByZone[server.ID], nodesByZone[servers[0].ID])
			}
		}
		mean := float64(len(servers)*copies) / float64(len(names))
		zones2 := len(names) >= 2 && names[0].Zone != names[1].Zone
		if float64(most) > 1.3*mean+2 && !zones2 {
			t.Fatalf("a node has %d servers, %.1f in the mean", most, mean)
		}
		if mean >= 30 && float64(least) < 0.5*mean && !zones2 {
			t.Fatalf("a node has %d servers, %.1f in the mean", least, mean)
		}
		strata := map[uint64]stratum{}
		for _, server := range servers {
			strata[server.ID] = stratum{server.Zone, server.Kind}
		}
		for _, node := range names {
			n := node.Name
			has := map[stratum]bool{}
			for _, id := range got[n] {
				has[strata[id]] = true
			}
			if mean >= 80 && len(got[n]) >= 60 && len(has) < zones*3 {
				t.Fatalf("%s has servers of %d strata, want %d, in a subset of %d servers", n, len(has), zones*3, len(got[n]))
			}
		}
		mixed := rapid.Permutation(names).Draw(t, "order")
		twice := append(rapid.Permutation(servers).Draw(t, "order of servers"), servers[0])
		if again := p.Assign(append(mixed, names[0]), twice); !maps.EqualFunc(got, again, slices.Equal) {
			t.Fatal("another order and duplicates change the assignment")
		}
		if subset := p.SubsetOf(names[0].Name, mixed, twice); !slices.Equal(subset, got[names[0].Name]) {
			t.Fatal("SubsetOf differs from the assignment of the same node")
		}
	})
}

// Adding one node or one server moves few servers. The numbers are means over 20 fleets of different sizes, relative to
// the smallest possible number of moves.
func TestFewServersMove(t *testing.T) {
	p := Plan{Copies: 8}
	node, server, rounds := 0.0, 0.0, 0.0
	for n := 20; n < 40; n++ {
		servers := group(10*n, 2)
		before := p.Assign(nodes(n, 1), servers)
		pairs := float64(10 * n * 8)
		node += float64(moves(before, p.Assign(nodes(n+1, 1), servers))) / (pairs / float64(n+1))
		server += float64(moves(p.Assign(nodes(n, 1), slices.Delete(slices.Clone(servers), n, n+1)), before)) / 8
		rounds++
	}
	if node /= rounds; node > 2 {
		t.Errorf("an added node causes %.2f times the minimum of moves, want at most 2", node)
	}
	if server /= rounds; server > 3 {
		t.Errorf("an added server causes %.2f times the minimum of moves, want at most 3", server)
	}
}

// moves returns the number of pairs of a node and a server that are only in the later assignment.
func moves(before, after map[string][]uint64) (n int) {
	for name, ids := range after {
		for _, id := range ids {
			if _, had := slices.BinarySearch(before[name], id); !had {
				n++
			}
		}
	}
	return n
}

func BenchmarkAssign(b *testing.B) {
	for _, c := range [][2]int{{20, 200}, {100, 1000}, {300, 1000}} {
		b.Run(fmt.Sprintf("%d-%d", c[0], c[1]), func(b *testing.B) {
			names, servers := nodes(c[0], 2), group(c[1], 2)
			for b.Loop() {
				Plan{Copies: 8, MinServers: 64}.Assign(names, servers)
			}
		})
	}
}

// Each node has about the mean number of servers of every stratum, so that no stratum is left to a few nodes.
func TestStrataAreEven(t *testing.T) {
	servers, aboveBound, total := group(400, 2), 0, 0
	strata := map[uint64]stratum{}
	for _, server := range servers {
		strata[server.ID] = stratum{server.Zone, server.Kind}
	}
	for n := 16; n < 24; n++ {
		p := Plan{Copies: 8}
		bound := roundUpToStep(stratumSlack * 400 / 6 * 8 / float64(n))
		for _, ids := range p.Assign(nodes(n, 1), servers) {
			counts := map[stratum]int{}
			for _, id := range ids {
				counts[strata[id]]++
			}
			for _, count := range counts {
				if total++; count > bound {
					aboveBound++
				}
			}
		}
	}
	if total < 6*8*16 || aboveBound*14 > total { // 43 of 936 are above the bound; 100 if strata ignored the zone
		t.Errorf("of %d parts of a stratum, %d exceed the bound, want at most a 14th", total, aboveBound)
	}
}

// A node whose total reaches its bound early still has servers of every stratum. Before, n5 had none of the last one.
func TestRoomForEveryStratum(t *testing.T) {
	const zones, kinds = 3, 3
	servers := group(250, zones)
	strata := map[uint64]stratum{}
	for _, server := range servers {
		strata[server.ID] = stratum{server.Zone, server.Kind}
	}
	for name, ids := range (Plan{Copies: 5}).Assign(nodes(12, 1), servers) {
		has := map[stratum]bool{}
		for _, id := range ids {
			has[strata[id]] = true
		}
		if len(has) != zones*kinds {
			t.Errorf("%s has servers of %d strata, want %d, in a subset of %d servers", name, len(has), zones*kinds, len(ids))
		}
	}
}
