// Package subset computes the servers of a large upstream group that a node uses. The result depends only on the lists
// of nodes and servers, which are the same on all nodes: the package uses no I/O, clock or random numbers.
// docs/CHOICES-DESIGN.md compares the methods.
package subset

import (
	"cmp"
	"slices"
)

// Server is an upstream server that can be in a subset.
type Server struct {
	ID     uint64 // the same on every node
	Zone   uint8
	Kind   uint8
	Weight float64
}

// Node is a node that uses a subset of the servers.
type Node struct {
	Name string
	Zone string
}

// Plan configures the size of the subsets. It must be the same on all nodes.
type Plan struct {
	// Copies is the number of nodes that use each server. The larger it is, the smaller the part of a server's load that
	// each node observes, and the more nodes must fail before no node knows the server.
	Copies int
	// MinServers is the minimum number of servers that a node uses. A smaller subset costs more than it saves.
	MinServers int
}

// SubsetOf returns the sorted IDs of the servers that a node uses; nil: all servers. Nodes and servers may be in any
// order and contain duplicates.
func (p Plan) SubsetOf(self string, nodes []Node, servers []Server) []uint64 {
	assignment := p.Assign(nodes, servers)
	if assignment == nil {
		return nil
	}
	return assignment[self]
}

// copies returns the number of nodes that use each server, for the given numbers of nodes and servers. If it equals the
// number of nodes, every node uses every server.
func (p Plan) copies(nodes, servers int) int {
	if nodes == 0 {
		return 0
	}
	minCopies := (p.MinServers*nodes + max(servers, 1) - 1) / max(servers, 1)
	return min(max(p.Copies, minCopies, 1), nodes)
}

// Assign returns the sorted IDs of the servers that each node uses, by name of the node; nil: all nodes use all
// servers.
//
// The method is rendezvous hashing with bounded loads: each server, in the order of a hash of its ID, is assigned to
// the nodes with the highest scores whose number of servers is below the bound, both for the server's stratum and in
// total. Tighter bounds spread the load more evenly, but move more servers when a node or server is added or removed;
// see loadSlack. The copies of a server are divided among the zones in proportion to their nodes: nodes prefer servers
// of their own zone, so a server's load depends on the number of its nodes in the same zone.
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
		zoneCopies := (copies*len(names) + count/2) / count // rounded to the nearest integer
		zoneCopies = min(max(zoneCopies, 1), len(names))
		newAssignment(names, sorted, zoneCopies).run().addTo(subsets)
	}
	for name := range subsets {
		slices.Sort(subsets[name])
	}
	return subsets
}

// namesByZone returns the names of the nodes by zone, sorted and without duplicates.
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
