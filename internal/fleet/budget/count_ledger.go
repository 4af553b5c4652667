package budget

import "math"

const (
	// maxPeriods is the number of periods per count that the ledger keeps. A request for a period that was dropped is
	// granted no units.
	maxPeriods = 16
	// maxLastGrants is the maximum number of entries in countLedger.Last.
	maxLastGrants = 4096
)

// countLedger is the part of the ledger for quotas of the kind Count. It is stored in snapshots, so its JSON keys must
// not change.
type countLedger struct {
	Spent map[string]map[int64]int64 `json:"spent"` // units granted and not returned, by quota and period
	// Last is the last grant by quota and holder. It prevents a repeated request from being granted twice.
	Last map[string]lastCountGrant `json:"last"`
}

// lastCountGrant is the last grant of a count to one holder, with the number of its request.
type lastCountGrant struct {
	Number uint64     `json:"number"` // number of the request
	Grant  CountGrant `json:"grant"`
}

// countCommand is a raft log entry that grants a stock of a count to a holder or takes one back.
type countCommand struct {
	Quota   string       `json:"budget"`
	Amount  int64        `json:"whole"`  // the quota's units per period
	Holder  string       `json:"holder"` // see holderKey
	Number  uint64       `json:"number"` // number of the request
	Request CountRequest `json:"ask"`
}

// StockSize returns the number of units to grant to a holder: its need, limited to a quarter of the remaining units, or
// to one unit if that is less than one. The stocks shrink towards the end of a count, so that no holder keeps the last
// units unused.
func StockSize(need, remaining int64) int64 {
	need = max(need, 0)
	remaining = max(remaining, 0)
	return min(need, remaining, max(remaining/4, 1))
}

// apply executes a committed command and returns the grant. A repeated request is answered with its first grant; a
// request older than the holder's last one is granted no units.
func (c *countLedger) apply(m countCommand) CountGrant {
	key := m.Quota + " " + m.Holder
	last, ok := c.Last[key]
	switch {
	case ok && last.Number == m.Number:
		return last.Grant
	case ok && last.Number > m.Number: // a later request was executed first
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

// makeRoomForPeriod drops the earliest period if maxPeriods are kept. It returns false, and drops nothing, if all kept
// periods are later than the given one.
func makeRoomForPeriod(spent map[int64]int64, period int64) bool {
	if len(spent) < maxPeriods {
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

// dropOldestGrants drops the entries of Last with the lowest request number if there are more than maxLastGrants. Their
// holders received the response long ago.
func (c *countLedger) dropOldestGrants() {
	if len(c.Last) <= maxLastGrants {
		return
	}
	lowest := uint64(math.MaxUint64)
	for _, last := range c.Last {
		lowest = min(lowest, last.Number)
	}
	for key, last := range c.Last {
		if last.Number == lowest {
			delete(c.Last, key)
		}
	}
}
