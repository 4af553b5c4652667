package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSlack is the maximum number of servers of a node, as a multiple of the mean. A maximum of the mean plus one
	// server would keep the load within a fiftieth of the mean, but move five times as many servers as necessary when a
	// node or server is added or removed.
	loadSlack = 1.02
	// stratumSlack is the maximum number of servers of a node in one stratum, as a multiple of the mean of the stratum.
	stratumSlack = 1.1
	// reservedFraction is the part of a node's mean number of servers in the following strata for which it keeps room.
	// Without any, a node that reaches its total early has no server of the last stratum. More would spread the load more
	// evenly, but move servers of fleets that have no such node.
	reservedFraction = 0.1
	// stepGrowth is the ratio of consecutive steps in roundUpToStep.
	stepGrowth = 1.1
	// stepTolerance is the amount by which rounding errors may make a step too large.
	stepTolerance = 1e-9
)

// stratum identifies the servers with the same zone and kind. The subset of each node has a part of every stratum.
type stratum struct{ zone, kind uint8 }

// assignment is an assignment of servers to the nodes of one zone.
type assignment struct {
	copies        int      // number of nodes per server
	names         []string // names of the nodes
	servers       []Server
	scores        []uint64 // score of each node with the server that is being assigned
	loads         []int    // number of servers assigned to each node so far
	missingCopies []int    // number of nodes that each server still needs
	assigned      []bool   // whether a server is assigned to a node, at node*len(servers)+server
}

// newAssignment returns an assignment in which no server is assigned yet.
func newAssignment(names []string, servers []Server, copies int) *assignment {
	a := &assignment{
		copies:        copies,
		names:         names,
		servers:       servers,
		scores:        make([]uint64, len(names)),
		loads:         make([]int, len(names)),
		missingCopies: make([]int, len(servers)),
		assigned:      make([]bool, len(names)*len(servers)),
	}
	for i := range servers {
		a.missingCopies[i] = copies
	}
	return a
}

// run assigns each server to copies nodes, stratum by stratum. In each stratum, it first respects both bounds and keeps
// room for the following strata, then only the bounds, then only the bound on a node's total, and finally no bound.
func (a *assignment) run() *assignment {
	unbounded := len(a.servers)
	maxLoad := roundUpToStep(a.mean(len(a.servers)) * loadSlack)
	following := len(a.servers) // number of servers in the strata after the current one
	for _, stratumServers := range a.strata() {
		following -= len(stratumServers)
		slices.SortFunc(stratumServers, func(i, j int) int {
			return cmp.Or(cmp.Compare(mix64(a.servers[i].ID), mix64(a.servers[j].ID)), cmp.Compare(i, j))
		})
		stratumLoads := make([]int, len(a.names))
		maxStratumLoad := roundUpToStep(a.mean(len(stratumServers)) * stratumSlack)
		reserved := int(a.mean(following) * reservedFraction)
		a.assign(stratumServers, stratumLoads, maxStratumLoad, maxLoad-reserved)
		a.assign(stratumServers, stratumLoads, maxStratumLoad, maxLoad)
		a.assign(stratumServers, stratumLoads, unbounded, maxLoad)
		a.assign(stratumServers, stratumLoads, unbounded, unbounded)
	}
	return a
}

// mean returns the mean number of servers per node if the given number of servers is assigned to copies nodes each.
func (a *assignment) mean(servers int) float64 {
	return float64(servers*a.copies) / float64(len(a.names))
}

// strata returns the indices in servers of the servers of each stratum. The strata are sorted by zone and kind.
func (a *assignment) strata() [][]int {
	indices := map[stratum][]int{}
	for i, server := range a.servers {
		s := stratum{server.Zone, server.Kind}
		indices[s] = append(indices[s], i)
	}
	order := slices.SortedFunc(maps.Keys(indices), func(x, y stratum) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.kind, y.kind))
	})
	var strata [][]int
	for _, s := range order {
		strata = append(strata, indices[s])
	}
	return strata
}

// assign assigns the servers with the given indices, in this order, each to the nodes with the highest scores that are
// below both bounds, until it has enough nodes. stratumLoads is the number of servers of the stratum on each node.
func (a *assignment) assign(indices, stratumLoads []int, maxStratumLoad, maxLoad int) {
	order := make([]int, len(a.names))
	for _, server := range indices {
		if a.missingCopies[server] == 0 {
			continue
		}
		a.orderNodes(order, a.servers[server].ID)
		for _, node := range order {
			if a.missingCopies[server] == 0 {
				break
			}
			assigned := &a.assigned[node*len(a.servers)+server]
			if stratumLoads[node] < maxStratumLoad && a.loads[node] < maxLoad && !*assigned {
				*assigned = true
				stratumLoads[node]++
				a.loads[node]++
				a.missingCopies[server]--
			}
		}
	}
}

// orderNodes fills order with the indices of the nodes, sorted by descending score with the server of the given ID.
func (a *assignment) orderNodes(order []int, server uint64) {
	for node, name := range a.names {
		order[node] = node
		a.scores[node] = mix64(server ^ xxhash.Sum64String(name))
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(-cmp.Compare(a.scores[x], a.scores[y]), cmp.Compare(x, y))
	})
}

// addTo adds the IDs of the servers assigned to each node to the subsets, by name of the node.
func (a *assignment) addTo(subsets map[string][]uint64) {
	for node, name := range a.names {
		for i, server := range a.servers {
			if a.assigned[node*len(a.servers)+i] {
				subsets[name] = append(subsets[name], server.ID)
			}
		}
	}
}

// roundUpToStep rounds x up to the next power of stepGrowth, and that to an integer. Bounds that followed the number of
// nodes or servers exactly would change whenever one is added or removed, and every node at its bound would gain or
// lose servers. The power is computed by multiplication only, which gives the same result on every machine.
func roundUpToStep(x float64) int {
	step := 1.0
	for step < x {
		step *= stepGrowth
	}
	return int(math.Ceil(step - stepTolerance))
}

// mix64 is the finaliser of the splitmix64 generator, used as a hash of x.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
