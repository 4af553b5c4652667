// Package subsets compares strategies by which nodes choose the subset of servers that they send to. Nodes use the
// strategy of package subset; the others are implemented here from their published descriptions, only for the
// comparison.
package subsets

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/fleet/subset"
)

// ServerShare is a server of a node's subset and the share of the node's load that it receives.
type ServerShare struct {
	ID    uint64
	Share float64
}

// Strategy assigns to every node its subset of the servers such that each server has about copies nodes. Assign takes
// nodes and servers (peers) in the order that all nodes agree on. Source describes the strategy and where it is
// published.
type Strategy struct {
	Name, Source string
	Assign       func(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare
}

// Strategies returns the strategies that are compared. The last one is the one that nodes use.
func Strategies() []Strategy {
	return []Strategy{
		{"all", "every node sends to every server", assignAll},
		{"random", "each node chooses its servers at random, independently of the others", assignRandom},
		{"deterministic", "rounds of shuffled servers, by the node's number (Site Reliability Engineering, chapter 20)",
			assignDeterministic},
		{"steady", "rounds with low-discrepancy positions on a ring, to move few pairs (after Rocksteadier, ACM Queue 20/5)",
			assignLowDiscrepancy},
		{"aperture", "a ring of nodes over a ring of servers, shares at the edges (deterministic aperture, Twitter 2019)",
			assignAperture},
		{"rendezvous", "highest scores with bounded loads, by similar servers (package subset)", assignRendezvous},
	}
}

// weightedShares splits the load of a node over the servers with the given ids in proportion to their weights.
func weightedShares(ids []uint64, weights map[uint64]float64) (parts []ServerShare) {
	sum := 0.0
	for _, id := range ids {
		sum += weights[id]
	}
	for _, id := range ids {
		parts = append(parts, ServerShare{id, weights[id] / sum})
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

// subsetSize returns the number of servers per node such that each server has at least copies nodes, up to all servers.
func subsetSize(nodes, peers, nodesPerServer int) int {
	return min((peers*nodesPerServer+nodes-1)/nodes, peers)
}

func assignAll(nodes []string, peers []subset.Server, _ int) map[string][]ServerShare {
	out := map[string][]ServerShare{}
	for _, n := range nodes {
		out[n] = weightedShares(idsOf(peers), weightsOf(peers))
	}
	return out
}

func assignRandom(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare {
	out := map[string][]ServerShare{}
	for _, n := range nodes {
		ids := idsOf(peers)
		g := rand.New(rand.NewPCG(xxhash.Sum64String(n), 1))
		g.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		out[n] = weightedShares(ids[:subsetSize(len(nodes), len(peers), copies)], weightsOf(peers))
	}
	return out
}

// assignDeterministic implements deterministic subsetting: nodes are numbered, and the nodes of each round share one
// shuffle of the servers, each taking the next servers of it.
func assignDeterministic(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare {
	out, count := map[string][]ServerShare{}, subsetSize(len(nodes), len(peers), copies)
	nodesPerRound := max(len(peers)/count, 1) // nodes that share one shuffle
	for i, n := range nodes {
		ids := idsOf(peers)
		g := rand.New(rand.NewPCG(uint64(i/nodesPerRound), 2))
		g.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
		from := i % nodesPerRound * count
		out[n] = weightedShares(ids[from:min(from+count, len(ids))], weightsOf(peers))
	}
	return out
}

// vanDerCorput returns element i of the van der Corput sequence in base 2: each new element lies far from the earlier
// ones.
func vanDerCorput(i int) float64 {
	x, part := 0.0, 0.5
	for ; i > 0; i >>= 1 {
		if i&1 == 1 {
			x += part
		}
		part /= 2
	}
	return x
}

// assignLowDiscrepancy places the nodes of a round and the servers on a ring, each at the next position of a
// low-discrepancy sequence. A node is assigned the servers that follow its position. Each round rotates the ring by
// its own random angle and permutes the servers. Adding or removing an element at the end of the lists moves few
// assignments.
func assignLowDiscrepancy(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare {
	type at struct {
		place float64
		id    uint64
	}
	out, count := map[string][]ServerShare{}, subsetSize(len(nodes), len(peers), copies)
	nodesPerRound := max(len(peers)/count, 1)
	for i, n := range nodes {
		g := rand.New(rand.NewPCG(uint64(i/nodesPerRound), 3))
		rotation, order := g.Float64(), g.Perm(len(peers))
		ring := make([]at, len(peers))
		for k, p := range peers {
			ring[k] = at{vanDerCorput(order[k]), p.ID}
		}
		slices.SortFunc(ring, func(a, b at) int { return cmp.Compare(a.place, b.place) })
		nodePosition := vanDerCorput(i%nodesPerRound) + rotation
		nodePosition -= float64(int(nodePosition))
		first, _ := slices.BinarySearchFunc(ring, nodePosition,
			func(a at, place float64) int { return cmp.Compare(a.place, place) })
		var ids []uint64
		for k := range count {
			ids = append(ids, ring[(first+k)%len(ring)].id)
		}
		out[n] = weightedShares(ids, weightsOf(peers))
	}
	return out
}

// assignAperture places the nodes evenly on a ring on which each server covers an arc by weight. Each node covers an
// arc of copies/nodes of the ring and is assigned the servers that the arc overlaps, each with the share of the
// overlap.
func assignAperture(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare {
	out, sum := map[string][]ServerShare{}, 0.0
	ring := slices.Clone(peers)
	slices.SortFunc(ring, func(a, b subset.Server) int { return cmp.Compare(mixBits(a.ID), mixBits(b.ID)) })
	for _, p := range ring {
		sum += p.Weight
	}
	width := float64(copies) / float64(len(nodes))
	for i, n := range nodes {
		from := float64(i) / float64(len(nodes))
		at := 0.0
		for _, p := range ring {
			end := at + p.Weight/sum
			for _, wrap := range []float64{0, 1} { // the arc may wrap around the end of the ring
				if overlap := min(from+width, end+wrap) - max(from, at+wrap); overlap > 1e-12 {
					out[n] = append(out[n], ServerShare{p.ID, overlap / width})
				}
			}
			at = end
		}
	}
	return out
}

// mixBits scrambles a server id, so that the order of the servers on the ring is independent of the order of their ids.
func mixBits(id uint64) uint64 { return (id ^ id>>31) * 0x94d049bb133111eb }

func assignRendezvous(nodes []string, peers []subset.Server, copies int) map[string][]ServerShare {
	var known []subset.Node
	for _, n := range nodes {
		known = append(known, subset.Node{Name: n})
	}
	assignment := subset.Plan{Copies: copies}.Assign(known, peers)
	if assignment == nil {
		return assignAll(nodes, peers, copies)
	}
	out, weights := map[string][]ServerShare{}, weightsOf(peers)
	for _, n := range nodes {
		out[n] = weightedShares(assignment[n], weights)
	}
	return out
}
