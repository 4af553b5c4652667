package balancer

import (
	"math"
	"time"
)

const (
	// Numbers of entries of a lookup table. They are primes.
	smallTableSize  = 2039
	mediumTableSize = 16381
	largeTableSize  = 131071
	// minEntriesPerServer is the minimum number of entries per server; the smallest table size that
	// satisfies it is used.
	minEntriesPerServer = 16
	// rebuildPausePerEntry is the minimum pause between two builds of the tables, per entry beyond
	// smallTableSize. It limits the share of processor time that the builds take.
	rebuildPausePerEntry = 3 * time.Microsecond
	// weightSteps is the table weight of the server with the largest capacity; other weights are whole
	// numbers in proportion.
	weightSteps = 64
	// warmthSteps is the number of steps in which the weight of a warming server grows. The steps
	// prevent a rebuild of the tables on every tick.
	warmthSteps = 16
)

// lookupTables map the hashes of keys to servers.
type lookupTables struct {
	all  []*server // entries for all servers with a table weight
	zone []*server // entries for the servers of this node's zone; used only if zoneKeyShare is above 0
	// warming holds the warming servers with a table weight.
	warming []*server
	// zoneKeyShare is the share of keys that stay in this node's zone.
	zoneKeyShare    float64
	largestCapacity float64 // largest capacity of the servers that may be used
	totalWeight     float64
	populated       bool // at least one server has a table weight
	stale           bool // the tables must be rebuilt
	rebuildFrom     Time // earliest time of the next build
}

// tableState is the state of a server in the lookup tables.
type tableState struct {
	weight int // 0: the server is not in the tables
	// credit, position and step are used only while a table is filled.
	credit   int
	position uint64
	step     uint64
}

// refreshTables rebuilds the lookup tables if they are stale and the pause since the last build has
// passed.
func (b *Balancer) refreshTables() {
	if b.tables.stale && b.now >= b.tables.rebuildFrom {
		b.buildTables()
	}
}

// buildTables fills the lookup table of all servers and, if some keys stay in this node's zone, the
// table of the zone.
func (b *Balancer) buildTables() {
	t := &b.tables
	size := tableSizeFor(len(b.servers))
	t.stale = false
	t.rebuildFrom = b.now + 1 + Time(size-smallTableSize)*Time(rebuildPausePerEntry)
	if len(t.all) != size {
		t.all = make([]*server, size)
		t.zone = make([]*server, size)
	}
	b.assignWeights()
	b.fillTable(t.all, func(s *server) bool { return s.table.weight > 0 })
	if t.zoneKeyShare = b.zoneKeyShare(); t.zoneKeyShare > 0 {
		b.fillTable(t.zone, func(s *server) bool { return s.table.weight > 0 && s.Zone == b.settings.Zone })
	}
}

// tableSizeFor returns the smallest table size with at least minEntriesPerServer entries per
// server, or largeTableSize if none is large enough.
func tableSizeFor(servers int) int {
	needed := minEntriesPerServer * servers
	switch {
	case needed <= smallTableSize:
		return smallTableSize
	case needed <= mediumTableSize:
		return mediumTableSize
	default:
		return largeTableSize
	}
}

// assignWeights computes the table weight of every server and the list of warming servers.
func (b *Balancer) assignWeights() {
	t := &b.tables
	t.largestCapacity = 0
	for _, s := range b.servers {
		if b.mayUse(s) {
			t.largestCapacity = max(t.largestCapacity, s.capacity)
		}
	}
	t.totalWeight = 0
	t.warming = t.warming[:0]
	for _, s := range b.servers {
		s.table.weight = b.tableWeight(s)
		t.totalWeight += float64(s.table.weight)
		if s.table.weight > 0 && b.warmth(s) < 1 {
			t.warming = append(t.warming, s)
		}
	}
	t.populated = t.totalWeight > 0
}

// tableWeight returns a server's table weight: its share of the largest capacity in weightSteps,
// reduced while it is warming. 0 means that it is not in the tables.
func (b *Balancer) tableWeight(s *server) int {
	if s.ejected() || s.OutsideSubset || !b.mayUse(s) || b.tables.largestCapacity <= 0 {
		return 0
	}
	share := b.warmth(s)
	if share < 1 {
		part := share * min(warmingOverloadShare*b.settings.OverloadFactor, 1)
		share = math.Floor(part*warmthSteps+1) / warmthSteps
	}
	return max(int(s.capacity/b.tables.largestCapacity*share*weightSteps+0.5), 1)
}

// fillTable fills a table with the Maglev algorithm (Eisenbud et al., NSDI 2016). The servers take
// turns in proportion to their weights; at each turn, a server takes the next free entry of its own
// permutation. The servers are ordered by ID, so that every node builds the same table.
func (b *Balancer) fillTable(table []*server, include func(*server) bool) {
	members, largest := b.startPermutations(uint64(len(table)), include)
	if largest == 0 {
		return
	}
	taken := make([]bool, len(table)) // smaller than the table, so that it fits into the processor's cache
	for filled := 0; filled < len(table); {
		for _, s := range members {
			e := &s.table
			e.credit += e.weight
			if e.credit < largest || filled == len(table) {
				continue
			}
			e.credit -= largest
			position := e.nextFree(taken)
			taken[position] = true
			table[position] = s
			filled++
		}
	}
}

// startPermutations selects the servers of a table and sets each to the start of its permutation.
// It returns them and the largest of their weights.
func (b *Balancer) startPermutations(size uint64, include func(*server) bool) (members []*server, largest int) {
	members = make([]*server, 0, len(b.servers))
	for _, s := range b.servers {
		if !include(s) {
			continue
		}
		hash := mix(uint64(s.ID))
		s.table.credit = 0
		s.table.position = hash % size
		s.table.step = (hash>>32)%(size-1) + 1
		members = append(members, s)
		largest = max(largest, s.table.weight)
	}
	return members, largest
}

// nextFree advances to the next free entry of the permutation and returns its index. The loop
// avoids a division because it runs about ten times per entry.
func (e *tableState) nextFree(taken []bool) uint64 {
	size := uint64(len(taken))
	for taken[e.position] {
		e.position += e.step
		if e.position >= size {
			e.position -= size
		}
	}
	return e.position
}
