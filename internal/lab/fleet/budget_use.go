package fleet

import (
	"slices"
	"time"
)

// windows are those over which arrivals are counted.
var windows = []time.Duration{
	100 * time.Millisecond,
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
}

// firstArrivals are the instants at which each call first came to a peer, in order.
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

// greatestPart is the greatest part of what any window allows, with the end and the length of that window.
func greatestPart(
	came []time.Duration, allowed func(from, to time.Duration) float64,
) (most float64, at, window time.Duration) {
	for _, w := range windows {
		from := 0
		for i, t := range came {
			for came[from] <= t-w {
				from++
			}
			if part := float64(i-from+1) / allowed(t-w, t); part > most {
				most, at, window = part, t, w
			}
		}
	}
	return most, at, window
}

const (
	// useWindow is the window over which use is measured.
	useWindow = 2 * time.Second
	// useStep is the distance between two windows.
	useStep = 100 * time.Millisecond
	// useFrom is when that begins, after the clients: a leader has to be elected by then, and to have waited for a lease.
	useFrom = 8 * time.Second
	// useAfterChange is from when on after a change the whole is to be used again.
	useAfterChange = 10 * time.Second
	// quietBefore is by how much the time before the run counts as a change before its begin.
	quietBefore = 5 * time.Second

	// idleWindow is the window over which the part of a dead process is found in use again, idleStep the distance between
	// two, and idleUse what of the whole has to be used in it.
	idleWindow = time.Second
	idleStep   = 50 * time.Millisecond
	idleUse    = 0.9
)

// measureUse measures how much of the whole was used, and how long a death left its part idle.
func (b *Budget) measureUse(a *Account, came []time.Duration) {
	b.Use = 1
	b.UseAfter = 1
	changes := changesOf(a)
	for t := a.Begin + useFrom; t+useWindow <= a.End; t += useStep {
		b.measureWindow(a, came, changes, t)
	}
	deaths := 0
	for i, e := range a.Events {
		if e.What == eventKilled {
			deaths++
			b.measureIdle(a, came, i)
		}
	}
	b.Fixed = 1 - float64(min(deaths, 1))/float64(len(a.Names))
	b.measureFixedShares(a)
}

// changesOf are the instants of all events of a run, after one before it.
func changesOf(a *Account) []time.Duration {
	changes := []time.Duration{a.Begin - quietBefore}
	for _, e := range a.Events {
		if e.At > a.Begin {
			changes = append(changes, e.At)
		}
	}
	return changes
}

// measureWindow measures the use in the window from an instant on, unless something changes in it or has changed of
// late.
func (b *Budget) measureWindow(a *Account, came, changes []time.Duration, from time.Duration) {
	used := counted(came, from, from+useWindow) / (budgetRate * useWindow.Seconds())
	last, next := a.Begin-quietBefore, a.End
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
	case from-last >= useAfterChange:
		b.UseAfter = min(b.UseAfter, used)
	}
}

// measureIdle measures how long a death, the event of an index, left its part idle, until the next event.
func (b *Budget) measureIdle(a *Account, came []time.Duration, index int) {
	death := a.Events[index].At
	end := a.End
	for _, later := range a.Events[index+1:] {
		end = min(end, later.At)
	}
	for t := death; t+idleWindow <= end; t += idleStep {
		if counted(came, t, t+idleWindow) >= idleUse*budgetRate {
			b.Idle = max(b.Idle, (t - death).Seconds())
			return
		}
	}
}

// measureFixedShares measures what would be used if each node took its part by the number of those that were there when
// clients came.
func (b *Budget) measureFixedShares(a *Account) {
	present := map[string]bool{}
	atBegin := 0
	b.ToldUse = 1
	b.ToldOver = 1
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
			b.ToldUse = min(b.ToldUse, part)
			b.ToldOver = max(b.ToldOver, part)
		}
	}
}

// counted is how many instants are from one on and before another; they are in order.
func counted(came []time.Duration, from, to time.Duration) float64 {
	i, _ := slices.BinarySearch(came, from)
	j, _ := slices.BinarySearch(came, to)
	return float64(j - i)
}
