package balancer

import (
	"math"
	"time"
)

const (
	// The sizes of a lookup table, primes: entries.
	smallTableSize  = 2039
	mediumTableSize = 16381
	largeTableSize  = 131071
	// minEntriesPerServer selects the size.
	minEntriesPerServer = 16
	// rebuildPausePerEntry is the pause before a table is built anew, for each
	// entry beyond the small size: building takes a small part of the time.
	rebuildPausePerEntry = 3 * time.Microsecond
	// weightSteps is the number of steps of a table weight.
	weightSteps = 64
	// warmthSteps is the number of steps in which the weight of a warming server
	// grows: else tables would be built anew all the time.
	warmthSteps = 16
)

// lookupTables are the tables that map keys to servers.
type lookupTables struct {
	all  []*server // of every server in the tables
	zone []*server // of those of this node's zone; empty where keys are not kept to it
	// warming are the servers in the tables that warm up.
	warming []*server
	// zoneKeyShare is the share of keys that stay in the zone.
	zoneKeyShare    float64
	largestCapacity float64 // of the servers that may be used
	totalWeight     float64
	populated       bool // there is a server in them
	stale           bool // they are to be built anew
	rebuildFrom     Time // not before then
}

// tableEntry is a server's part in the lookup tables.
type tableEntry struct {
	weight int
	// credit, position and step are used while a table is filled.
	credit   int
	position uint64
	step     uint64
}

// refreshTables builds the lookup tables anew if need be.
func (b *Balancer) refreshTables() {
	if b.tables.stale && b.now >= b.tables.rebuildFrom {
		b.buildTables()
	}
}

// buildTables fills the lookup tables: one of all servers, and one of this
// node's zone where keys are kept to it.
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
	b.fillTable(t.all, func(s *server) bool { return s.entry.weight > 0 })
	if t.zoneKeyShare = b.zoneKeyShare(); t.zoneKeyShare > 0 {
		b.fillTable(t.zone, func(s *server) bool { return s.entry.weight > 0 && s.Zone == b.settings.Zone })
	}
}

// tableSizeFor is the smallest size that gives each server enough entries.
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

// assignWeights sets the weight of every server and finds those that warm up.
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
		s.entry.weight = b.tableWeight(s)
		t.totalWeight += float64(s.entry.weight)
		if s.entry.weight > 0 && b.warmth(s) < 1 {
			t.warming = append(t.warming, s)
		}
	}
	t.populated = t.totalWeight > 0
}

// tableWeight is a server's weight in steps of the largest; 0: it is not in the
// tables.
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

// fillTable fills a table by the Maglev method (Eisenbud et al., NSDI 2016): in
// turns, and as often as its weight allows, each server takes the next free
// entry of its own permutation. Servers come in the order of their IDs, so that
// the table is the same at every node.
func (b *Balancer) fillTable(table []*server, include func(*server) bool) {
	members, largest := b.startPermutations(uint64(len(table)), include)
	if largest == 0 {
		return
	}
	taken := make([]bool, len(table)) // smaller than the table itself: stays in the processor's cache
	for filled := 0; filled < len(table); {
		for _, s := range members {
			e := &s.entry
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

// startPermutations sets each member to the start of its permutation, and
// returns them with the largest of their weights.
func (b *Balancer) startPermutations(size uint64, include func(*server) bool) (members []*server, largest int) {
	members = make([]*server, 0, len(b.servers))
	for _, s := range b.servers {
		if !include(s) {
			continue
		}
		hash := mix(uint64(s.ID))
		s.entry.credit = 0
		s.entry.position = hash % size
		s.entry.step = (hash>>32)%(size-1) + 1
		members = append(members, s)
		largest = max(largest, s.entry.weight)
	}
	return members, largest
}

// nextFree moves to the next free entry of the permutation. It runs some ten
// times for each entry and so does without a division.
func (e *tableEntry) nextFree(taken []bool) uint64 {
	size := uint64(len(taken))
	for taken[e.position] {
		e.position += e.step
		if e.position >= size {
			e.position -= size
		}
	}
	return e.position
}
