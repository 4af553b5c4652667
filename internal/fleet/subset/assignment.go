package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadSlack bounds a node's servers, as a part of the mean. A bound of one server more than the mean would spread the
	// load within a fiftieth of it, and move five times as many servers as have to.
	loadSlack = 1.02
	// stratumSlack bounds a node's servers of one stratum, as a part of their mean.
	stratumSlack = 1.1
	// stepGrowth is the factor between the numbers that bounds are rounded up to.
	stepGrowth = 1.1
	// stepTolerance is by how much a step may be too large for rounding.
	stepTolerance = 1e-9
)

// stratum is servers that are alike: every node's subset has a part of each.
type stratum struct{ zone, kind uint8 }

// assignment gives servers to the nodes of one zone.
type assignment struct {
	copies  int // nodes of each server
	names   []string
	servers []Server
	scores  []uint64 // of the nodes with one server
	loads   []int    // servers of each node so far
	missing []int    // nodes that each server still needs
	given   []bool   // by node, then server
}

func newAssignment(names []string, servers []Server, copies int) *assignment {
	a := &assignment{
		copies:  copies,
		names:   names,
		servers: servers,
		scores:  make([]uint64, len(names)),
		loads:   make([]int, len(names)),
		missing: make([]int, len(servers)),
		given:   make([]bool, len(names)*len(servers)),
	}
	for i := range servers {
		a.missing[i] = copies
	}
	return a
}

// run gives each server to as many nodes as it needs, one stratum after the other: first within the bounds, then beyond
// that of the stratum, and last beyond both.
func (a *assignment) run() *assignment {
	unbounded := len(a.servers)
	maxLoad := roundUpToStep(a.mean(len(a.servers)) * loadSlack)
	for _, members := range a.strata() {
		slices.SortFunc(members, func(i, j int) int {
			return cmp.Or(cmp.Compare(scramble(a.servers[i].ID), scramble(a.servers[j].ID)), cmp.Compare(i, j))
		})
		stratumLoads := make([]int, len(a.names))
		maxStratumLoad := roundUpToStep(a.mean(len(members)) * stratumSlack)
		a.give(members, stratumLoads, maxStratumLoad, maxLoad)
		a.give(members, stratumLoads, unbounded, maxLoad)
		a.give(members, stratumLoads, unbounded, unbounded)
	}
	return a
}

// mean is how many of some servers a node has in the mean.
func (a *assignment) mean(servers int) float64 {
	return float64(servers*a.copies) / float64(len(a.names))
}

// strata returns the servers of each stratum, by their place in the list, in the order of the strata.
func (a *assignment) strata() [][]int {
	members := map[stratum][]int{}
	for i, server := range a.servers {
		s := stratum{server.Zone, server.Kind}
		members[s] = append(members[s], i)
	}
	order := slices.SortedFunc(maps.Keys(members), func(x, y stratum) int {
		return cmp.Or(cmp.Compare(x.zone, y.zone), cmp.Compare(x.kind, y.kind))
	})
	var strata [][]int
	for _, s := range order {
		strata = append(strata, members[s])
	}
	return strata
}

// give lets some servers, one after the other, have the nodes that they score highest with, as long as those are within
// their bounds.
func (a *assignment) give(members, stratumLoads []int, maxStratumLoad, maxLoad int) {
	order := make([]int, len(a.names))
	for _, server := range members {
		if a.missing[server] == 0 {
			continue
		}
		a.orderNodes(order, a.servers[server].ID)
		for _, node := range order {
			if a.missing[server] == 0 {
				break
			}
			given := &a.given[node*len(a.servers)+server]
			if stratumLoads[node] < maxStratumLoad && a.loads[node] < maxLoad && !*given {
				*given = true
				stratumLoads[node]++
				a.loads[node]++
				a.missing[server]--
			}
		}
	}
}

// orderNodes sorts the nodes by their score with a server, the highest first.
func (a *assignment) orderNodes(order []int, server uint64) {
	for node, name := range a.names {
		order[node] = node
		a.scores[node] = scramble(server ^ xxhash.Sum64String(name))
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(-cmp.Compare(a.scores[x], a.scores[y]), cmp.Compare(x, y))
	})
}

// addTo adds the servers of each node to the subsets.
func (a *assignment) addTo(subsets map[string][]uint64) {
	for node, name := range a.names {
		for i, server := range a.servers {
			if a.given[node*len(a.servers)+i] {
				subsets[name] = append(subsets[name], server.ID)
			}
		}
	}
}

// roundUpToStep rounds up to the next of some numbers that grow by stepGrowth: bounds that followed the number of nodes
// or servers closely would change with each that comes or goes, and all nodes that are full with them. Multiplication
// alone gives the same result on every machine.
func roundUpToStep(x float64) int {
	step := 1.0
	for step < x {
		step *= stepGrowth
	}
	return int(math.Ceil(step - stepTolerance))
}

// scramble is the finaliser of splitmix64.
func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
