package budget

import (
	"math"
	"time"
)

// A count over a period is given out by the ledger in small stocks, each once and for good: what a holder has in stock
// and loses, by dying, counts as used. So the sum holds without any clock but for the number of the period, however
// long a process is paused.

const (
	// stockTime is for how much demand a holder keeps a stock: the time of two requests.
	stockTime = 500 * time.Millisecond
	// exhaustedSkips is how many requests a holder leaves out after it has learned that nothing is left: others may
	// return some.
	exhaustedSkips = 8
)

// stock is what one process has of a count.
type stock struct {
	period    int64
	units     int64
	exhausted bool // nothing was left that nobody had, by the last response
	skipped   int  // requests left out since
}

// periodOf is the number of the period that a time of the wall clock is in.
func periodOf(wall time.Time, period time.Duration) int64 {
	return int64(math.Floor(float64(wall.UnixNano()) / float64(period)))
}

// untilNextPeriod is how long it takes until the next period.
func untilNextPeriod(wall time.Time, period time.Duration) time.Duration {
	return period - time.Duration(wall.UnixNano()%int64(period))
}

// take takes a unit. If there is none, it returns when to come back; 0: unknown. Units of a period that is over cannot
// be used.
func (s *stock) take(wall time.Time, period time.Duration) (ok bool, wait time.Duration) {
	current := periodOf(wall, period)
	switch {
	case current != s.period:
		return false, 0
	case s.units > 0:
		s.units--
		return true, 0
	case s.exhausted:
		return false, untilNextPeriod(wall, period)
	}
	return false, 0
}

// request returns what to request, if anything, at a demand in units a second.
func (s *stock) request(wall time.Time, period time.Duration, demand float64) (CountRequest, bool) {
	if current := periodOf(wall, period); current != s.period {
		*s = stock{period: current}
	}
	wanted := max(int64(math.Ceil(demand*stockTime.Seconds())), 1)
	if s.units >= wanted {
		return CountRequest{}, false
	}
	if s.exhausted {
		s.skipped++
		if s.skipped < exhaustedSkips {
			return CountRequest{}, false
		}
		s.skipped = 0
	}
	return CountRequest{Period: s.period, Need: 2*wanted - s.units}, true
}

// add takes a stock that was granted.
func (s *stock) add(g CountGrant) {
	if g.Period == s.period {
		s.units += g.Units
		s.exhausted = g.Remaining == 0
	}
}
