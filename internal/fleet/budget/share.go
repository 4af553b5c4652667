package budget

import (
	"slices"
	"strings"
	"time"
)

// Share is one holder's demand and part of a quota, for status output.
type Share struct {
	Holder      string
	Incarnation string
	Demand      float64
	Target      float64
	Lent        float64
}

// Shares returns the share of each holder in a quota, sorted by holder.
func (l *Leader) Shares(now time.Duration, name string) (shares []Share) {
	l.dropExpired(now)
	for _, h := range l.holders {
		shares = append(shares, Share{
			Holder:      h.name,
			Incarnation: h.incarnation,
			Demand:      h.demand[name],
			Target:      h.target[name],
			Lent:        h.usable(name),
		})
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return strings.Compare(a.Holder+a.Incarnation, b.Holder+b.Incarnation)
	})
	return shares
}

// Holding is the amount of a quota that a process may use, for status output and the record.
type Holding struct {
	Quota    string        `json:"budget"`
	Amount   float64       `json:"amount"`  // granted; Count: units in stock
	Reserve  float64       `json:"reserve"` // part of the reserve
	Demand   float64       `json:"want"`
	Left     time.Duration `json:"left"`           // time until the grant expires
	Ends     int64         `json:"ends,omitempty"` // the end of the grant in the time format of record.Line
	Grant    uint64        `json:"grant,omitempty"`
	InUse    int           `json:"in_use,omitempty"`
	Admitted uint64        `json:"passed"`
	Rejected uint64        `json:"turned"`
}

// Holdings returns the holding of each quota, in the order of the quotas.
func (h *Holder) Holdings(now time.Duration) (holdings []Holding) {
	for _, a := range h.allocations {
		holding := Holding{
			Quota:    a.quota.Name,
			Reserve:  a.reserve,
			Demand:   a.demand,
			InUse:    a.inUse,
			Admitted: a.admitted,
			Rejected: a.rejected,
		}
		if now < a.grantEnds {
			holding.Amount = a.grant.Amount
			holding.Left = a.grantEnds - now
			holding.Grant = a.grant.Number
		}
		if a.quota.Kind == Count {
			holding.Amount = float64(a.stock.units)
		}
		holdings = append(holdings, holding)
	}
	return holdings
}
