package fleet

import (
	"slices"
	"time"
)

// settled is how long it takes until all that was lent of an old amount has ended, once the last process has read its
// file: a lease, and the tenth of a second in which the processes hear of it. A process that stands still then reads it
// later, and has its part of the reserve until then.
const settled = budgetLease*102/100 + 100*time.Millisecond

// Allowance is which share of a budget's amount is allowed when: of two that follow each other the greater, until the
// old one is settled.
type Allowance []Event

func allowances(a *Account) (all Allowance) {
	for _, e := range a.Events {
		if e.What == eventAmounts {
			all = append(all, e)
		}
	}
	return all
}

// at is the share at an instant.
func (all Allowance) at(t time.Duration) float64 { return all.most(t, t) }

// most is the greatest share between two instants.
func (all Allowance) most(from, to time.Duration) float64 {
	share, most := 1.0, 0.0
	for _, e := range all {
		if e.At > to {
			break
		}
		if e.At+settled > from { // the one before it was in force still
			most = max(most, share)
		}
		share = e.Share
	}
	return max(most, share)
}

// rate is what a rate allows between two instants.
func (all Allowance) rate(rate, burst float64) func(from, to time.Duration) float64 {
	return func(from, to time.Duration) float64 {
		steps := []time.Duration{to}
		for _, e := range all { // a new share begins at once if it is greater, and else once the old one is settled
			for _, step := range []time.Duration{e.At, e.At + settled} {
				if step > from && step < to {
					steps = append(steps, step)
				}
			}
		}
		slices.Sort(steps)
		units := burst * all.most(from, to)
		for _, step := range steps {
			units += rate * all.at((from+step)/2) * (step - from).Seconds()
			from = step
		}
		return units
	}
}
