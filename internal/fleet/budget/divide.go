package budget

import (
	"cmp"
	"slices"
)

// Demand is one holder's demand for a quota.
type Demand struct {
	Holder         string
	Units          float64 // Rate: per second; InUse: at one time
	PreviousTarget float64 // result of the previous Divide; 0: the holder is new
}

const (
	// minShareFraction is the fraction of an even share that each holder gets however small its demand, so that it
	// can admit its next requests at once.
	minShareFraction = 0.1
	// hysteresis is the minimum change of a target, as a fraction of an even share: smaller changes are not applied.
	// Demand counted over one second varies by that much.
	hysteresis = 0.05
)

// Divide returns each holder's target share of an amount by max-min fairness: every holder gets its demand, or
// minShareFraction of an even share if that is more; if the sum exceeds the amount, the largest shares are cut to a
// common level. An unneeded rest is divided evenly. The targets add up to the amount; hysteresis can make the sum
// smaller, never larger.
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
	for i, d := range sorted { // ascending demand: units below the level that a holder leaves raise the level for the rest
		level := rest / float64(len(sorted)-i)
		target := min(max(d.Units, minShareFraction*even), level)
		targets[d.Holder] = target
		rest -= target
	}
	for _, d := range sorted {
		targets[d.Holder] += rest / float64(len(sorted))
	}
	return applyHysteresis(targets, demands, even, amount)
}

// applyHysteresis keeps the previous target of each holder whose target changes by less than hysteresis. It returns the
// targets unchanged if the sum would exceed the amount.
func applyHysteresis(targets map[string]float64, demands []Demand, even, amount float64) map[string]float64 {
	sum := 0.0
	damped := make(map[string]float64, len(targets))
	for _, d := range demands {
		target := targets[d.Holder]
		change := target - d.PreviousTarget
		if d.PreviousTarget > 0 && change < hysteresis*even && -change < hysteresis*even {
			target = d.PreviousTarget
		}
		damped[d.Holder] = target
		sum += target
	}
	if sum > amount {
		return targets
	}
	return damped
}
