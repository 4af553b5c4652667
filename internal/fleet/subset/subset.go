// Package subset chooses with which servers of a large upstream group a node works, from what all nodes know alike: who
// the nodes are, and who the servers. It uses no I/O, clock or random numbers. docs/CHOICES-DESIGN.md has the methods
// that were compared.
package subset

import (
	"cmp"
	"slices"
)

// Server is an upstream server that can be chosen.
type Server struct {
	ID     uint64 // the same at every node
	Zone   uint8
	Kind   uint8
	Weight float64
}

// Node is a node that chooses.
type Node struct {
	Name string
	Zone string
}

// Plan says how much is chosen. All nodes have the same.
type Plan struct {
	// Copies is how many nodes work with a server: each sees so much less of it, and so many have to fail before nobody
	// knows it.
	Copies int
	// MinServers is the least number of servers that a node works with: below it a subset costs more than it saves.
	MinServers int
}

// SubsetOf returns the servers that a node works with, sorted by ID; nil: all of them. Nodes and servers may come in
// any order, and twice.
func (p Plan) SubsetOf(self string, nodes []Node, servers []Server) []uint64 {
	assignment := p.Assign(nodes, servers)
	if assignment == nil {
		return nil
	}
	return assignment[self]
}

// copies is how many nodes work with each server, among so many; as many as there are nodes: there is nothing to
// choose.
func (p Plan) copies(nodes, servers int) int {
	if nodes == 0 {
		return 0
	}
	atLeast := (p.MinServers*nodes + max(servers, 1) - 1) / max(servers, 1)
	return min(max(p.Copies, atLeast, 1), nodes)
}

// Assign returns the servers of every node; nil: all nodes work with all servers.
//
// It is rendezvous hashing with bounded loads, from the servers' side: each server, in an order fixed by its ID, goes
// to the nodes that score highest with it, as long as they have room among servers of its stratum, and in all. The
// tighter the bounds, the more evenly the load is spread, and the more moves when a node or server comes or goes: see
// loadSlack. The nodes of each zone have their part of the copies: nodes prefer servers of their zone, so the load of a
// server depends on how many of its nodes are near.
func (p Plan) Assign(nodes []Node, servers []Server) map[string][]uint64 {
	zones := namesByZone(nodes)
	count := 0
	for _, names := range zones {
		count += len(names)
	}
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Server) bool { return a.ID == b.ID })
	copies := p.copies(count, len(sorted))
	if copies >= count {
		return nil
	}
	subsets := map[string][]uint64{}
	for _, names := range zones {
		zoneCopies := (copies*len(names) + count/2) / count // rounded
		zoneCopies = min(max(zoneCopies, 1), len(names))
		newAssignment(names, sorted, zoneCopies).run().addTo(subsets)
	}
	for name := range subsets {
		slices.Sort(subsets[name])
	}
	return subsets
}

// namesByZone returns the nodes' names by zone, sorted and without duplicates.
func namesByZone(nodes []Node) map[string][]string {
	zones := map[string][]string{}
	for _, n := range nodes {
		zones[n.Zone] = append(zones[n.Zone], n.Name)
	}
	for zone, names := range zones {
		zones[zone] = slices.Compact(slices.Sorted(slices.Values(names)))
	}
	return zones
}
