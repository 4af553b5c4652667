package budget

import (
	"math"
	"time"
)

// A count over a period is given out by the ledger in small stocks, each once and for good: what a holder has in stock and
// loses, by dying, counts as used. So the sum holds without any clock but the name of the period, whatever stands still.

// CountAsk asks for a stock.
type CountAsk struct {
	Period int64 `json:"period"`         // its number, by the asker's wall clock
	Need   int64 `json:"need,omitempty"` // units
	Back   int64 `json:"back,omitempty"` // units that it gives back
}

// CountGrant is a stock.
type CountGrant struct {
	Period int64 `json:"period"`
	Units  int64 `json:"units"`
	Left   int64 `json:"left"` // that nobody has
}

// stockFor is for how much demand a holder keeps a stock: two asks' time.
const stockFor = 500 * time.Millisecond

// seldom is how many asks a holder leaves out after it has heard that nothing is left: somebody may give something back.
const seldom = 8

// stock is what one process has of a count.
type stock struct {
	period  int64
	units   int64
	none    bool // nothing was left that nobody had, when last heard
	skipped int  // asks left out since
}

// periodOf is the number of the period that an instant is in.
func periodOf(wall time.Time, period time.Duration) int64 {
	return int64(math.Floor(float64(wall.UnixNano()) / float64(period)))
}

// untilNext is how long it takes until the next period.
func untilNext(wall time.Time, period time.Duration) time.Duration {
	return period - time.Duration(wall.UnixNano()%int64(period))
}

// take takes a unit. Units of a period that is over are worth nothing.
func (s *stock) take(wall time.Time, period time.Duration) (ok bool, wait time.Duration) {
	now := periodOf(wall, period)
	switch {
	case now != s.period:
		return false, 0
	case s.units > 0:
		s.units--
		return true, 0
	case s.none:
		return false, untilNext(wall, period)
	}
	return false, 0
}

// need says what to ask for, if anything.
func (s *stock) need(wall time.Time, period time.Duration, want float64) (CountAsk, bool) {
	if now := periodOf(wall, period); now != s.period {
		*s = stock{period: now}
	}
	wish := int64(math.Ceil(want * stockFor.Seconds()))
	wish = max(wish, 1)
	if s.units >= wish {
		return CountAsk{}, false
	}
	if s.none {
		if s.skipped++; s.skipped < seldom {
			return CountAsk{}, false
		}
		s.skipped = 0
	}
	return CountAsk{Period: s.period, Need: 2*wish - s.units}, true
}

// add takes a stock in.
func (s *stock) add(g CountGrant) {
	if g.Period == s.period {
		s.units += g.Units
		s.none = g.Left == 0
	}
}

// keptPeriods is how many periods the ledger knows. An ask for one that it does not know any more gets nothing.
const keptPeriods = 16

// spending is the ledger's part for counts.
type spending struct {
	Spent map[string]map[int64]int64 `json:"spent"` // by budget and period
	// Last is what each holder's last ask of a count was given, so that the same ask is not given twice.
	Last map[string]lastCount `json:"last"`
}

type lastCount struct {
	Number uint64     `json:"number"`
	Grant  CountGrant `json:"grant"`
}

// countCommand is an entry of the log.
type countCommand struct {
	Budget string   `json:"budget"`
	Whole  int64    `json:"whole"`
	Holder string   `json:"holder"` // name and incarnation
	Number uint64   `json:"number"` // of its ask
	Ask    CountAsk `json:"ask"`
}

// Stock is how many units are given to whoever needs some, of those that are left: towards the end small stocks, so that
// nobody sits on the last.
func Stock(need, left int64) int64 {
	need, left = max(need, 0), max(left, 0)
	return min(need, left, max(left/4, 1))
}

// spend gives a stock, or takes one back.
func (c *spending) spend(m countCommand) CountGrant {
	key := m.Budget + " " + m.Holder
	if last, ok := c.Last[key]; ok && last.Number >= m.Number {
		if last.Number == m.Number {
			return last.Grant
		}
		return CountGrant{Period: m.Ask.Period} // it was overtaken by a later one
	}
	spent := c.Spent[m.Budget]
	if spent == nil {
		spent = map[int64]int64{}
		c.Spent[m.Budget] = spent
	}
	if _, known := spent[m.Ask.Period]; !known && !c.room(spent, m.Ask.Period) {
		return CountGrant{Period: m.Ask.Period}
	}
	units := Stock(m.Ask.Need, m.Whole-spent[m.Ask.Period])
	spent[m.Ask.Period] = max(spent[m.Ask.Period]+units-max(m.Ask.Back, 0), 0)
	g := CountGrant{m.Ask.Period, units, max(m.Whole-spent[m.Ask.Period], 0)}
	c.Last[key] = lastCount{m.Number, g}
	c.forget()
	return g
}

// room makes room for a period, of the earliest; it reports false for one that is earlier than all that are known.
func (c *spending) room(spent map[int64]int64, period int64) bool {
	if len(spent) < keptPeriods {
		return true
	}
	earliest := period
	for p := range spent {
		earliest = min(earliest, p)
	}
	if earliest == period {
		return false
	}
	delete(spent, earliest)
	return true
}

// mostLast bounds what is known of holders.
const mostLast = 4096

// forget drops what is known of holders' last asks where there are too many: they have long been answered.
func (c *spending) forget() {
	if len(c.Last) <= mostLast {
		return
	}
	least := uint64(math.MaxUint64)
	for _, l := range c.Last {
		least = min(least, l.Number)
	}
	for key, l := range c.Last {
		if l.Number == least {
			delete(c.Last, key)
		}
	}
}
