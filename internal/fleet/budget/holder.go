package budget

import (
	"time"

	"olivebridge/internal/fleet/mutant"
)

// Holder is what one process holds of all quotas, and what it admits. It is not safe for concurrent use.
type Holder struct {
	terms       Terms
	name        string // of the node
	incarnation string
	number      uint64                   // of the last request
	pending     map[uint64]time.Duration // when each request was made that was not answered
	allocations []*allocation            // in the order of the quotas
	mutant      func(string) bool        // see package mutant
}

// NewHolder makes a process's holder, which holds nothing.
func NewHolder(terms Terms, quotas []Quota, name, incarnation string, now time.Duration) *Holder {
	h := &Holder{
		terms:       terms,
		name:        name,
		incarnation: incarnation,
		pending:     map[uint64]time.Duration{},
		mutant:      mutant.Active,
	}
	for _, q := range quotas {
		a := &allocation{quota: q, demandSince: now}
		a.bucket.Set(now, 0, 0)
		h.allocations = append(h.allocations, a)
	}
	return h
}

// Admit admits one unit of a quota, by its index in the list of quotas. Only counts look at the wall clock. If there
// is none, it returns when to come back; 0: unknown.
func (h *Holder) Admit(now time.Duration, wall time.Time, quotaIndex int) (ok bool, wait time.Duration) {
	a := h.allocations[quotaIndex]
	a.demanded++
	switch a.quota.Kind {
	case InUse:
		ok = a.admitInUse(now)
	case Count:
		ok, wait = a.stock.take(wall, a.quota.Period)
	default:
		h.updateRate(now, a)
		ok, wait = a.bucket.Take(now)
	}
	if ok {
		a.admitted++
		return true, 0
	}
	a.rejected++
	return false, wait
}

// Release returns a unit that was admitted, of a quota of the kind InUse.
func (h *Holder) Release(quotaIndex int) {
	a := h.allocations[quotaIndex]
	if a.inUse > 0 {
		a.inUse--
	}
}

// updateRate sets a bucket's rate to what may be used now. Admit calls it, so that a grant ends in time.
func (h *Holder) updateRate(now time.Duration, a *allocation) {
	rate := a.available(now)
	if rate == a.rate {
		return
	}
	expired := now >= a.grantEnds && a.rate > rate && a.grantEnds > 0
	a.rate = rate
	burst := h.burst(now, a)
	a.bucket.setAfterGrant(now, a.grantEnds, expired, rate, burst)
	for _, k := range a.keys {
		k.bucket.setAfterGrant(now, a.grantEnds, expired, rate, burst)
	}
}

// burst is this process's part of a quota's burst: a seat has one unit of its own, without which nothing would ever be
// admitted by it; the rest goes with the grant.
func (h *Holder) burst(now time.Duration, a *allocation) float64 {
	burst := 0.0
	seatBurst := min(1, a.quota.Burst/float64(max(h.terms.Seats, 1)))
	if a.reserve > 0 {
		burst = seatBurst
	}
	if now < a.grantEnds && a.quota.Amount > 0 {
		burst += (a.quota.Burst - seatBurst*float64(h.terms.Seats)) * a.grant.Amount / a.quota.Amount
	}
	return burst
}

// SetQuotas changes the amounts of the quotas, which are the same in the same order. What was granted of one that has
// changed is not used any more; of the reserve the process has no more than before until it takes its seat again.
func (h *Holder) SetQuotas(now time.Duration, quotas []Quota) {
	for i, a := range h.allocations {
		if a.quota == quotas[i] {
			continue
		}
		a.quota = quotas[i]
		if h.mutant("old-and-new") {
			continue
		}
		a.grantEnds = 0
		a.reserve = min(a.reserve, a.quota.seatReserve(h.terms))
		if a.quota.Kind == Rate {
			a.rate = -1 // whatever it was
			h.updateRate(now, a)
		}
	}
}

// TakeSeat gives the process its seat's part of the reserve: what the ledger has of it, and no more than the quotas
// have by now. It returns what the ledger should have.
func (h *Holder) TakeSeat(reserved map[string]float64) map[string]float64 {
	reserves := h.SeatReserves()
	for _, a := range h.allocations {
		a.reserve = min(reserved[a.quota.Name], reserves[a.quota.Name])
	}
	return reserves
}

// hasFullSeat reports whether the process has all that a seat has now.
func (h *Holder) hasFullSeat() bool {
	for _, a := range h.allocations {
		if a.reserve != a.quota.seatReserve(h.terms) {
			return false
		}
	}
	return true
}

// SeatReserves are a seat's parts of the reserve by quota, as the quotas are now.
func (h *Holder) SeatReserves() map[string]float64 {
	var quotas []Quota
	for _, a := range h.allocations {
		quotas = append(quotas, a.quota)
	}
	return h.terms.seatReserves(quotas)
}
