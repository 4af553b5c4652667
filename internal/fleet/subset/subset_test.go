package subset

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func group(n, zones int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: scramble(uint64(i + 1)), Zone: uint8(i % zones), Kind: uint8(i / zones % 3), Weight: 1})
	}
	return all
}

func nodes(n, zones int) (all []Node) {
	for i := range n {
		all = append(all, Node{fmt.Sprint("n", i), fmt.Sprint("z", i%zones)})
	}
	return all
}

// Whatever the fleet: each server has as many nodes as the plan says, each of them once; a node with room for one of
// each has servers of every zone and kind; and the order of nodes and servers does not matter.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		names := nodes(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(1, 2).Draw(t, "zones of nodes"))
		servers := group(rapid.IntRange(1, 300).Draw(t, "peers"), zones)
		p := Plan{Copies: rapid.IntRange(1, 10).Draw(t, "copies"), MinServers: rapid.IntRange(0, 60).Draw(t, "least")}
		got := p.Assign(names, servers)
		copies := p.copies(len(names), len(servers))
		if got == nil {
			if copies < len(names) {
				t.Fatalf("all, with %d copies among %d nodes", copies, len(names))
			}
			return
		}
		times, most, least := map[uint64]int{}, 0, len(servers)
		near := map[uint64]map[string]int{}
		for _, node := range names {
			n := node.Name
			ids := got[n]
			if !slices.IsSorted(ids) || len(slices.Compact(slices.Clone(ids))) != len(ids) {
				t.Fatalf("%s: %v", n, ids)
			}
			for _, id := range ids {
				times[id]++
				if near[id] == nil {
					near[id] = map[string]int{}
				}
				near[id][node.Zone]++
			}
			most, least = max(most, len(ids)), min(least, len(ids))
		}
		for _, one := range servers {
			if off := times[one.ID] - copies; off < -1 || off > 1 { // its parts of two zones are rounded
				t.Fatalf("a server has %d nodes of %d", times[one.ID], copies)
			}
			if !maps.Equal(near[one.ID], near[servers[0].ID]) {
				t.Fatalf("servers have %v and %v nodes of each zone", near[one.ID], near[servers[0].ID])
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
		for _, one := range servers {
			strata[one.ID] = stratum{one.Zone, one.Kind}
		}
		for _, node := range names {
			n := node.Name
			has := map[stratum]bool{}
			for _, id := range got[n] {
				has[strata[id]] = true
			}
			if mean >= 80 && len(got[n]) >= 60 && len(has) < zones*3 {
				t.Fatalf("%s has %d strata of %d, of %d servers", n, len(has), zones*3, len(got[n]))
			}
		}
		mixed := rapid.Permutation(names).Draw(t, "order")
		twice := append(rapid.Permutation(servers).Draw(t, "order of peers"), servers[0])
		if again := p.Assign(append(mixed, names[0]), twice); !maps.EqualFunc(got, again, slices.Equal) {
			t.Fatal("the order changes something")
		}
		if one := p.SubsetOf(names[0].Name, mixed, twice); !slices.Equal(one, got[names[0].Name]) {
			t.Fatal("one node alone sees it otherwise")
		}
	})
}

// One node or server more or less moves few others, over 20 fleets of different sizes.
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
		t.Errorf("a node more moves %.2f of the least", node)
	}
	if server /= rounds; server > 3 {
		t.Errorf("a server more moves %.2f of the least", server)
	}
}

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

// Each node has its part of every zone and kind, so that none of them belongs to a few nodes.
func TestStrataAreEven(t *testing.T) {
	servers, beyond, all := group(400, 2), 0, 0
	of := map[uint64]stratum{}
	for _, p := range servers {
		of[p.ID] = stratum{p.Zone, p.Kind}
	}
	for n := 16; n < 24; n++ {
		p := Plan{Copies: 8}
		room := roundUpToStep(stratumSlack * 400 / 6 * 8 / float64(n))
		for _, ids := range p.Assign(nodes(n, 1), servers) {
			has := map[stratum]int{}
			for _, id := range ids {
				has[of[id]]++
			}
			for _, k := range has {
				if all++; k > room {
					beyond++
				}
			}
		}
	}
	if all < 6*8*16 || beyond*14 > all { // 43 of 936; 100 where zones are forgotten
		t.Errorf("of %d parts of a zone and kind, %d are beyond a node's room", all, beyond)
	}
}
