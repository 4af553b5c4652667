package fleet

import (
	"slices"
	"time"
)

// windows are those over which arrivals are counted.
var windows = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second}

// firsts are the instants at which each call first came to a peer.
func firsts(a *Account) (all []time.Duration) {
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

// over is the greatest part of what any window allows.
func over(came []time.Duration, allowed func(from, to time.Duration) float64) (most float64, at, wide time.Duration) {
	for _, w := range windows {
		from := 0
		for i, t := range came {
			for came[from] <= t-w {
				from++
			}
			if part := float64(i-from+1) / allowed(t-w, t); part > most {
				most, at, wide = part, t, w
			}
		}
	}
	return most, at, wide
}

// useOver is the window over which use is measured. It begins 8 s after the clients do: a leader has to be elected by
// then, and to have waited for a lease.
const useOver = 2 * time.Second

// uses measures how much of the whole was used, and how long a death left its part idle.
func (b *Budget) uses(a *Account, came []time.Duration) {
	b.Use, b.UseAfter = 1, 1
	changes := []time.Duration{a.Begin - 5*time.Second}
	for _, e := range a.Events {
		if e.At > a.Begin {
			changes = append(changes, e.At)
		}
	}
	for t := a.Begin + 8*time.Second; t+useOver <= a.End; t += 100 * time.Millisecond {
		used := counted(came, t, t+useOver) / (budgetRate * useOver.Seconds())
		last, next := a.Begin-5*time.Second, a.End
		for _, c := range changes {
			if c <= t {
				last = c
			} else {
				next = min(next, c)
			}
		}
		switch {
		case next < t+useOver:
		case last < a.Begin:
			b.Use = min(b.Use, used)
		case t-last >= 10*time.Second:
			b.UseAfter = min(b.UseAfter, used)
		}
	}
	down := 0
	for i, e := range a.Events {
		if e.What != eventKilled {
			continue
		}
		down++
		end := a.End
		for _, later := range a.Events[i+1:] {
			end = min(end, later.At)
		}
		for t := e.At; t+time.Second <= end; t += 50 * time.Millisecond {
			if counted(came, t, t+time.Second) >= 0.9*budgetRate {
				b.Idle = max(b.Idle, (t - e.At).Seconds())
				break
			}
		}
	}
	b.Fixed = 1 - float64(min(down, 1))/float64(len(a.Names))
	b.told(a)
}

// told is what would hold if each node took its part by the number of those that were there when clients came.
func (b *Budget) told(a *Account) {
	here, told := map[string]bool{}, 0
	b.ToldUse, b.ToldOver = 1, 1
	for _, e := range a.Events {
		if e.At > a.Begin && told == 0 {
			told = len(here)
		}
		switch e.What {
		case "started":
			here[e.Node] = true
		case "killed", "ended":
			delete(here, e.Node)
		}
		if told > 0 {
			part := float64(len(here)) / float64(told)
			b.ToldUse, b.ToldOver = min(b.ToldUse, part), max(b.ToldOver, part)
		}
	}
}

func counted(came []time.Duration, from, to time.Duration) float64 {
	i, _ := slices.BinarySearch(came, from)
	j, _ := slices.BinarySearch(came, to)
	return float64(j - i)
}
