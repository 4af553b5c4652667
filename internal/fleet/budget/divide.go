package budget

import (
	"cmp"
	"slices"
)

// Demand is what one holder needs of a quota.
type Demand struct {
	Holder string
	Units  float64 // of Rate a second, of InUse at one time
	Target float64 // what it was to have so far; 0: it is new
}

const (
	// minPart is the part of an even share that each holder gets however small its demand, so that what comes to it
	// next is served at once.
	minPart = 0.1
	// hysteresis is by which part of an even share a target must move to move at all. Demand that is counted over a
	// second varies by as much.
	hysteresis = 0.05
)

// Divide says how much of an amount each holder should have: a minimum for all; beyond it the demand, as long as there
// is enough; where there is not, all are cut to one level (max-min fairness); what nobody needs goes to all alike. The
// targets add up to the amount, but for what hysteresis leaves, which never makes it more.
func Divide(amount float64, demands []Demand) map[string]float64 {
	targets := make(map[string]float64, len(demands))
	if len(demands) == 0 || amount <= 0 {
		return targets
	}
	even := amount / float64(len(demands))
	rest := amount
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Units, b.Units), cmp.Compare(a.Holder, b.Holder))
	})
	for i, d := range sorted { // the least first: whoever needs less than the level leaves the rest to the others
		level := rest / float64(len(sorted)-i)
		target := min(max(d.Units, minPart*even), level)
		targets[d.Holder] = target
		rest -= target
	}
	for _, d := range sorted {
		targets[d.Holder] += rest / float64(len(sorted))
	}
	return damp(targets, demands, even, amount)
}

// damp leaves targets that hardly move where they are, if that fits into the amount.
func damp(targets map[string]float64, demands []Demand, even, amount float64) map[string]float64 {
	sum := 0.0
	damped := make(map[string]float64, len(targets))
	for _, d := range demands {
		target := targets[d.Holder]
		move := target - d.Target
		if d.Target > 0 && move < hysteresis*even && -move < hysteresis*even {
			target = d.Target
		}
		damped[d.Holder] = target
		sum += target
	}
	if sum > amount {
		return targets
	}
	return damped
}
