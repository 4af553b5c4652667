package budget

import "math"

const (
	// keptPeriods is how many periods of a count the ledger knows. A request for one that it does not know any more gets
	// nothing.
	keptPeriods = 16
	// maxLastGrants bounds the last grants that are known.
	maxLastGrants = 4096
)

// countLedger is the ledger's part for counts. It is stored in snapshots: the keys of the JSON stay.
type countLedger struct {
	Spent map[string]map[int64]int64 `json:"spent"` // units by quota and period
	// Last is what the last request of each holder for a quota was granted, so that a request that comes again is not
	// granted twice.
	Last map[string]lastCountGrant `json:"last"`
}

// lastCountGrant is the last grant of a count to one holder.
type lastCountGrant struct {
	Number uint64     `json:"number"` // of the request
	Grant  CountGrant `json:"grant"`
}

// countCommand is an entry of the log that grants a stock, or takes one back.
type countCommand struct {
	Quota   string       `json:"budget"`
	Amount  int64        `json:"whole"`  // of the quota, in a period
	Holder  string       `json:"holder"` // name and incarnation
	Number  uint64       `json:"number"` // of the request
	Request CountRequest `json:"ask"`
}

// StockSize is how many units are granted to a holder that needs some, of those that remain: towards the end small
// stocks, so that nobody keeps the last ones unused.
func StockSize(need, remaining int64) int64 {
	need = max(need, 0)
	remaining = max(remaining, 0)
	return min(need, remaining, max(remaining/4, 1))
}

// apply executes a command.
func (c *countLedger) apply(m countCommand) CountGrant {
	key := m.Quota + " " + m.Holder
	last, ok := c.Last[key]
	switch {
	case ok && last.Number == m.Number:
		return last.Grant
	case ok && last.Number > m.Number: // it was overtaken by a later one
		return CountGrant{Period: m.Request.Period}
	}
	spent := c.Spent[m.Quota]
	if spent == nil {
		spent = map[int64]int64{}
		c.Spent[m.Quota] = spent
	}
	period := m.Request.Period
	if _, known := spent[period]; !known && !makeRoomForPeriod(spent, period) {
		return CountGrant{Period: period}
	}
	units := StockSize(m.Request.Need, m.Amount-spent[period])
	spent[period] = max(spent[period]+units-max(m.Request.Returned, 0), 0)
	grant := CountGrant{Period: period, Units: units, Remaining: max(m.Amount-spent[period], 0)}
	c.Last[key] = lastCountGrant{m.Number, grant}
	c.dropOldestGrants()
	return grant
}

// makeRoomForPeriod drops the earliest period if there are too many. It reports false for a period that is earlier than
// all that are known.
func makeRoomForPeriod(spent map[int64]int64, period int64) bool {
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

// dropOldestGrants drops last grants where there are too many: their holders have long been answered.
func (c *countLedger) dropOldestGrants() {
	if len(c.Last) <= maxLastGrants {
		return
	}
	least := uint64(math.MaxUint64)
	for _, last := range c.Last {
		least = min(least, last.Number)
	}
	for key, last := range c.Last {
		if last.Number == least {
			delete(c.Last, key)
		}
	}
}
