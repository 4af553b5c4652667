package budget

import (
	"time"

	"olivebridge/internal/fleet/mutant"
)

// Holder keeps the grants, reserves and stocks of one process for all quotas, and admits units against them. It is not
// safe for concurrent use.
type Holder struct {
	terms         Terms
	name          string // name of the node
	incarnation   string
	requestNumber uint64                   // number of the last request
	pending       map[uint64]time.Duration // creation time of each unanswered request, by its number
	allocations   []*allocation            // in the order of the quotas
	mutant        func(string) bool        // whether a mutant is active, see package mutant
}

// NewHolder returns the holder of a process. It has no grants, reserves or stocks yet.
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

// Admit admits one unit of the quota at an index in the list of quotas. If none is available, it returns the time to
// wait before a retry; 0: unknown. The wall clock is only used for quotas of the kind Count.
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

// Release ends the use of one admitted unit of a quota of the kind InUse.
func (h *Holder) Release(quotaIndex int) {
	a := h.allocations[quotaIndex]
	if a.inUse > 0 {
		a.inUse--
	}
}

// updateRate sets the rates of an allocation's buckets to the amount available now. Admit and AdmitKey call it before
// they take units, so that no unit is admitted under an expired grant.
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

// burst returns this process's part of a quota's burst. Each seat has up to one unit, because a bucket with a smaller
// burst never admits a whole unit; the rest of the burst is divided in proportion to the grants.
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

// SetQuotas changes the amounts of the quotas; their list and order must be the same as before. The grant of a changed
// quota is no longer used. The process's part of its reserve may shrink, but does not grow until the next SetReserves.
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
			a.rate = -1 // differs from any rate, so that updateRate also updates the burst
			h.updateRate(now, a)
		}
	}
}

// SetReserves sets the process's part of each quota's reserve to the part in the ledger, limited to a seat's part of
// the present quota. It returns a seat's parts of the present quotas, which the ledger should contain.
func (h *Holder) SetReserves(reserved map[string]float64) map[string]float64 {
	reserves := h.SeatReserves()
	for _, a := range h.allocations {
		a.reserve = min(reserved[a.quota.Name], reserves[a.quota.Name])
	}
	return reserves
}

// hasFullReserve reports whether the process has the full part of a seat of the reserve of every quota.
func (h *Holder) hasFullReserve() bool {
	for _, a := range h.allocations {
		if a.reserve != a.quota.seatReserve(h.terms) {
			return false
		}
	}
	return true
}

// SeatReserves returns one seat's part of the reserve of each present quota, by quota, without parts that are 0.
func (h *Holder) SeatReserves() map[string]float64 {
	var quotas []Quota
	for _, a := range h.allocations {
		quotas = append(quotas, a.quota)
	}
	return h.terms.seatReserves(quotas)
}
