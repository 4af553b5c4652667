// Package subsets compares ways in which nodes may choose the peers that they work with. The one that is in use is package
// subset; the others are written here from their published descriptions, for the comparison alone.
package subsets

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/fleet/subset"
)

// Part is a peer of a node's, and which part of the node's work is meant for it.
type Part struct {
	ID   uint64
	Part float64
}

// Way gives every node its peers, of so many copies. Nodes and peers are in order, as all nodes know them.
type Way struct {
	Name, From string
	Assign     func(nodes []string, peers []subset.Server, copies int) map[string][]Part
}

// Ways are all that are compared; the one in use is the last.
func Ways() []Way {
	return []Way{
		{"all", "every node works with every peer", all},
		{"random", "each node draws its peers by itself", random},
		{"deterministic", "rounds of shuffled peers, dealt out by the node's number (Site Reliability Engineering, chapter 20)", dealt},
		{"steady", "the same with places of low discrepancy on a ring, so that little moves (after Rocksteadier, ACM Queue 20/5)", steady},
		{"aperture", "a ring of nodes over a ring of peers, with parts at the edges (deterministic aperture, Twitter 2019)", aperture},
		{"rendezvous", "highest scores with bounded loads, by likes of peers (package subset)", rendezvous},
	}
}

// even gives each peer of a node the same part, by weight.
func even(ids []uint64, weights map[uint64]float64) (parts []Part) {
	sum := 0.0
	for _, id := range ids {
		sum += weights[id]
	}
	for _, id := range ids {
		parts = append(parts, Part{id, weights[id] / sum})
	}
	return parts
}

func weightsOf(peers []subset.Server) map[uint64]float64 {
	w := map[uint64]float64{}
	for _, p := range peers {
		w[p.ID] = p.Weight
	}
	return w
}

func idsOf(peers []subset.Server) (ids []uint64) {
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}

// size is how many peers a node has.
func size(nodes, peers, copies int) int { return min((peers*copies+nodes-1)/nodes, peers) }

func all(nodes []string, peers []subset.Server, _ int) map[string][]Part {
	out := map[string][]Part{}
	for _, n := range nodes {
		out[n] = even(idsOf(peers), weightsOf(peers))
	}
	return out
}

func random(nodes []string, peers []subset.Server, copies int) map[string][]Part {
	out := map[string][]Part{}
	for _, n := range nodes {
		ids := idsOf(peers)
		g := rand.New(rand.NewPCG(xxhash.Sum64String(n), 1))
		g.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		out[n] = even(ids[:size(len(nodes), len(peers), copies)], weightsOf(peers))
	}
	return out
}

// dealt is deterministic subsetting: nodes are numbered, and each round of them deals out a shuffle of the peers.
func dealt(nodes []string, peers []subset.Server, copies int) map[string][]Part {
	out, some := map[string][]Part{}, size(len(nodes), len(peers), copies)
	each := max(len(peers)/some, 1) // nodes to a round
	for i, n := range nodes {
		ids := idsOf(peers)
		g := rand.New(rand.NewPCG(uint64(i/each), 2))
		g.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		from := i % each * some
		out[n] = even(ids[from:min(from+some, len(ids))], weightsOf(peers))
	}
	return out
}

// corput is the van der Corput sequence in base 2: each next place lies far from those before.
func corput(i int) float64 {
	x, part := 0.0, 0.5
	for ; i > 0; i >>= 1 {
		if i&1 == 1 {
			x += part
		}
		part /= 2
	}
	return x
}

// steady puts the nodes of a lot and the peers on a ring, each at the next place of a sequence of low discrepancy; a node takes
// the peers that follow its place. Each lot turns the ring by its own. What comes or goes at the end of the lists moves little.
func steady(nodes []string, peers []subset.Server, copies int) map[string][]Part {
	type at struct {
		place float64
		id    uint64
	}
	out, some := map[string][]Part{}, size(len(nodes), len(peers), copies)
	lot := max(len(peers)/some, 1)
	for i, n := range nodes {
		g := rand.New(rand.NewPCG(uint64(i/lot), 3))
		turn, order := g.Float64(), g.Perm(len(peers))
		ring := make([]at, len(peers))
		for k, p := range peers {
			ring[k] = at{corput(order[k]), p.ID}
		}
		slices.SortFunc(ring, func(a, b at) int { return cmp.Compare(a.place, b.place) })
		own := corput(i%lot) + turn
		own -= float64(int(own))
		from, _ := slices.BinarySearchFunc(ring, own, func(a at, place float64) int { return cmp.Compare(a.place, place) })
		var ids []uint64
		for k := range some {
			ids = append(ids, ring[(from+k)%len(ring)].id)
		}
		out[n] = even(ids, weightsOf(peers))
	}
	return out
}

// aperture lays the nodes evenly on a ring of peers; each covers as long a piece as its part of the copies, and of the peers
// at the ends of it a part.
func aperture(nodes []string, peers []subset.Server, copies int) map[string][]Part {
	out, sum := map[string][]Part{}, 0.0
	ring := slices.Clone(peers)
	slices.SortFunc(ring, func(a, b subset.Server) int { return cmp.Compare(scatter(a.ID), scatter(b.ID)) })
	for _, p := range ring {
		sum += p.Weight
	}
	wide := float64(copies) / float64(len(nodes))
	for i, n := range nodes {
		from := float64(i) / float64(len(nodes))
		at := 0.0
		for _, p := range ring {
			end := at + p.Weight/sum
			for _, turn := range []float64{0, 1} { // the piece may go over the ring's end
				if lap := min(from+wide, end+turn) - max(from, at+turn); lap > 1e-12 {
					out[n] = append(out[n], Part{p.ID, lap / wide})
				}
			}
			at = end
		}
	}
	return out
}

func scatter(id uint64) uint64 { return (id ^ id>>31) * 0x94d049bb133111eb }

func rendezvous(nodes []string, peers []subset.Server, copies int) map[string][]Part {
	var known []subset.Node
	for _, n := range nodes {
		known = append(known, subset.Node{Name: n})
	}
	got := subset.Plan{Copies: copies}.Assign(known, peers)
	if got == nil {
		return all(nodes, peers, copies)
	}
	out, weights := map[string][]Part{}, weightsOf(peers)
	for _, n := range nodes {
		out[n] = even(got[n], weights)
	}
	return out
}
