package budget

import (
	"math"
	"time"
)

// The ledger grants a count in small stocks: batches of units that a holder then admits on its own. A stock is granted
// once and does not expire before its period ends. If a holder fails, the units left in its stock count as used. The
// units admitted therefore never exceed the quota, however long a process is paused: clocks only determine the number
// of the period.

const (
	// stockTime is the duration of demand that a holder keeps in stock: two request intervals at a lease of 2 s.
	stockTime = 500 * time.Millisecond
	// exhaustedSkips is the interval, in requests to the leader, at which a holder requests more units of an exhausted
	// count. It keeps requesting them, because other holders may return units.
	exhaustedSkips = 8
)

// stock is the units of a count that were granted to one process and are not yet admitted.
type stock struct {
	period    int64 // number of the period, see periodOf
	units     int64
	exhausted bool // by the last response, the ledger had no units left
	skipped   int  // requests skipped since the count was exhausted
}

// periodOf returns the number of the period that contains a wall clock time, counted from the Unix epoch.
func periodOf(wall time.Time, period time.Duration) int64 {
	return int64(math.Floor(float64(wall.UnixNano()) / float64(period)))
}

// untilNextPeriod returns the time until the next period starts.
func untilNextPeriod(wall time.Time, period time.Duration) time.Duration {
	return period - time.Duration(wall.UnixNano()%int64(period))
}

// take takes one unit. If none is available, it returns the time to wait before a retry; 0: unknown. Units of a past
// period cannot be taken.
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

// request returns the request for more units, and false if none is due. The demand is in units per second. It discards
// the units of a past period.
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

// add adds granted units, unless they are for another period than the stock's.
func (s *stock) add(g CountGrant) {
	if g.Period == s.period {
		s.units += g.Units
		s.exhausted = g.Remaining == 0
	}
}
