package fleet

import (
	"slices"
	"time"
)

// windows are the lengths of the windows over which arrivals are counted.
var windows = []time.Duration{
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// firstArrivals returns the times at which each call first arrived at a peer, in ascending order.
func firstArrivals(a *Account) (all []time.Duration) {
	seen := map[string]bool{}
	for _, c := range a.Arrivals {
		if !c.Done && !seen[c.Call] && c.At <= a.End {
			seen[c.Call] = true
			all = append(all, c.At)
		}
	}
	slices.Sort(all)
	return all
}

// maxRatio returns the maximum ratio of the arrivals in any window to the number allowed in it, and the end and the
// length of that window.
func maxRatio(
	arrivals []time.Duration, allowed func(from, to time.Duration) float64,
) (greatest float64, at, window time.Duration) {
	for _, w := range windows {
		from := 0
		for i, t := range arrivals {
			for arrivals[from] <= t-w {
				from++
			}
			if part := float64(i-from+1) / allowed(t-w, t); part > greatest {
				greatest, at, window = part, t, w
			}
		}
	}
	return greatest, at, window
}

const (
	// useWindow is the window over which use is measured.
	useWindow = 2 * time.Second
	// useStep is the distance between the starts of two successive windows.
	useStep = 100 * time.Millisecond
	// useWarmUp is the time from the start of the clients to the first window. It covers the election of a leader and its
	// wait for one lease.
	useWarmUp = 8 * time.Second
	// useRecovery is the time after a change from which the whole budget has to be used again.
	useRecovery = 10 * time.Second
	// changeBeforeBegin is the time before the start of the run at which a first change is assumed.
	changeBeforeBegin = 5 * time.Second

	// idleWindow is the window over which the share of a dead process is found to be in use again, idleStep the distance
	// between the starts of two windows, and minIdleUse the fraction of the budget that has to be used in a window.
	idleWindow = time.Second
	idleStep   = 50 * time.Millisecond
	minIdleUse = 0.9
)

// measureUse measures the fraction of the budget that was used, and the time for which the share of a dead process
// stayed idle.
func (b *Budget) measureUse(a *Account, arrivals []time.Duration) {
	b.Use = 1
	b.UseAfter = 1
	changes := changeTimes(a)
	for t := a.Begin + useWarmUp; t+useWindow <= a.End; t += useStep {
		b.measureWindow(a, arrivals, changes, t)
	}
	deaths := 0
	for i, e := range a.Events {
		if e.What == eventKilled {
			deaths++
			b.measureIdle(a, arrivals, i)
		}
	}
	b.FixedShareUse = 1 - float64(min(deaths, 1))/float64(len(a.Names))
	b.measureFixedShares(a)
}

// changeTimes returns the times of all events of a run, after one assumed change before its start.
func changeTimes(a *Account) []time.Duration {
	changes := []time.Duration{a.Begin - changeBeforeBegin}
	for _, e := range a.Events {
		if e.At > a.Begin {
			changes = append(changes, e.At)
		}
	}
	return changes
}

// measureWindow measures the use in the window that begins at from, unless a change falls into it or into the
// useRecovery before it.
func (b *Budget) measureWindow(a *Account, arrivals, changes []time.Duration, from time.Duration) {
	used := countBetween(arrivals, from, from+useWindow) / (budgetRate * useWindow.Seconds())
	last, next := a.Begin-changeBeforeBegin, a.End
	for _, change := range changes {
		if change <= from {
			last = change
		} else {
			next = min(next, change)
		}
	}
	switch {
	case next < from+useWindow:
	case last < a.Begin:
		b.Use = min(b.Use, used)
	case from-last >= useRecovery:
		b.UseAfter = min(b.UseAfter, used)
	}
}

// measureIdle measures the time for which a death, given by its index in the events, left a share idle. The search ends
// at the next event.
func (b *Budget) measureIdle(a *Account, arrivals []time.Duration, index int) {
	death := a.Events[index].At
	end := a.End
	for _, later := range a.Events[index+1:] {
		end = min(end, later.At)
	}
	for t := death; t+idleWindow <= end; t += idleStep {
		if countBetween(arrivals, t, t+idleWindow) >= minIdleUse*budgetRate {
			b.IdleAfterDeath = max(b.IdleAfterDeath, (t - death).Seconds())
			return
		}
	}
}

// measureFixedShares measures the use if each node took the budget divided by the number of nodes that ran when the
// clients started.
func (b *Budget) measureFixedShares(a *Account) {
	present := map[string]bool{}
	atBegin := 0
	b.StaticCountUse = 1
	b.StaticCountOver = 1
	for _, e := range a.Events {
		if e.At > a.Begin && atBegin == 0 {
			atBegin = len(present)
		}
		switch e.What {
		case eventStarted:
			present[e.Node] = true
		case eventKilled, eventEnded:
			delete(present, e.Node)
		}
		if atBegin > 0 {
			part := float64(len(present)) / float64(atBegin)
			b.StaticCountUse = min(b.StaticCountUse, part)
			b.StaticCountOver = max(b.StaticCountOver, part)
		}
	}
}

// countBetween returns the number of times in [from, to). The times are in ascending order.
func countBetween(times []time.Duration, from, to time.Duration) float64 {
	i, _ := slices.BinarySearch(times, from)
	j, _ := slices.BinarySearch(times, to)
	return float64(j - i)
}
