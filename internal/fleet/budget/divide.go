// Package budget divides amounts that a whole fleet may use among its nodes, so that the parts never add up to more than
// the whole. divide.go, bucket.go, leader.go and holder.go decide, and are free of I/O, clock and goroutines: times are
// lengths since an origin of the caller's, by a clock that never runs backwards. service.go carries them out.
package budget

import (
	"cmp"
	"slices"
)

// Demand is what one holder asks for.
type Demand struct {
	Holder string
	Want   float64 // units a second that it is asked for
	Holds  float64 // its target so far; 0: it is new
}

const (
	// floorPart is the part of an even share that each holder gets however little it asks for, so that what comes to it
	// next is served at once.
	floorPart = 0.1
	// hysteresis is by which part of an even share a target must move to move at all. Demand that is counted over a second
	// varies by as much.
	hysteresis = 0.05
)

// Divide says how much of an amount each holder should have: a floor for all; beyond it what it asks for, as long as there
// is enough; where there is not, all are cut to one level; what nobody asks for goes to all alike. The targets add up to the
// amount, but for what hysteresis leaves with a holder, which never adds to it.
func Divide(amount float64, asks []Demand) map[string]float64 {
	targets := make(map[string]float64, len(asks))
	if len(asks) == 0 || amount <= 0 {
		return targets
	}
	even := amount / float64(len(asks))
	rest := amount
	sorted := slices.Clone(asks)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Want, b.Want), cmp.Compare(a.Holder, b.Holder))
	})
	for i, d := range sorted { // the least first: whoever asks for less than the level leaves the rest to the others
		level := rest / float64(len(sorted)-i)
		t := min(max(d.Want, floorPart*even), level)
		targets[d.Holder] = t
		rest -= t
	}
	for _, d := range sorted {
		targets[d.Holder] += rest / float64(len(sorted))
	}
	return calm(targets, asks, even, amount)
}

// calm leaves targets that hardly move where they are, if that fits.
func calm(targets map[string]float64, asks []Demand, even, amount float64) map[string]float64 {
	sum := 0.0
	still := make(map[string]float64, len(targets))
	for _, d := range asks {
		t := targets[d.Holder]
		if move := t - d.Holds; d.Holds > 0 && move < hysteresis*even && -move < hysteresis*even {
			t = d.Holds
		}
		still[d.Holder] = t
		sum += t
	}
	if sum > amount {
		return targets
	}
	return still
}
