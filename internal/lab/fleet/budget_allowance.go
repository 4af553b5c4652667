package fleet

import (
	"slices"
	"time"
)

// oldAmountTime is the duration after which no lease of an old amount is left, once the last process has read its fleet
// file: one lease plus 2 % for clock drift, and 100 ms until the processes know the new amount. A process that was
// stopped meanwhile reads its file later and keeps its part of the reserve until then.
const oldAmountTime = budgetLease*102/100 + 100*time.Millisecond

// Allowance lists the changes of a budget's amount in a run, ordered by time. Within oldAmountTime after a change, the
// greater of the old and the new amount is allowed.
type Allowance []Event

func allowances(a *Account) (all Allowance) {
	for _, e := range a.Events {
		if e.What == eventAmounts {
			all = append(all, e)
		}
	}
	return all
}

// shareAt returns the fraction of the original amount that is allowed at an instant.
func (all Allowance) shareAt(t time.Duration) float64 { return all.maxShare(t, t) }

// maxShare returns the maximum of that fraction between two instants.
func (all Allowance) maxShare(from, to time.Duration) float64 {
	share, greatest := 1.0, 0.0
	for _, e := range all {
		if e.At > to {
			break
		}
		if e.At+oldAmountTime > from { // the previous share still applies
			greatest = max(greatest, share)
		}
		share = e.Share
	}
	return max(greatest, share)
}

// unitsAllowed returns the function that computes the number of units that a rate and a burst allow between two
// instants.
func (all Allowance) unitsAllowed(rate, burst float64) func(from, to time.Duration) float64 {
	return func(from, to time.Duration) float64 {
		steps := []time.Duration{to}
		for _, e := range all { // a greater share applies at once, a smaller one after oldAmountTime
			for _, step := range []time.Duration{e.At, e.At + oldAmountTime} {
				if step > from && step < to {
					steps = append(steps, step)
				}
			}
		}
		slices.Sort(steps)
		units := burst * all.maxShare(from, to)
		for _, step := range steps {
			units += rate * all.shareAt((from+step)/2) * (step - from).Seconds()
			from = step
		}
		return units
	}
}
