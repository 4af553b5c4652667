package budget

import "time"

// demandHeadroom is the ratio of the amount that a holder requests to its average demand. A bucket whose rate equals
// the average rate of randomly timed requests rejects a tenth of them.
const demandHeadroom = 1.1

// NextRequest returns the next request to the leader, created at the time now. The caller must send it no earlier,
// because the lease of the grants in its response starts at now.
func (h *Holder) NextRequest(now time.Duration, wall time.Time) Request {
	h.requestNumber++
	h.pending[h.requestNumber] = now
	for number, at := range h.pending {
		if now-at > h.terms.Lease { // a lease in its response would already have expired
			delete(h.pending, number)
		}
	}
	r := Request{
		Holder:      h.name,
		Incarnation: h.incarnation,
		Number:      h.requestNumber,
		Demand:      map[string]float64{},
		Current:     map[string]uint64{},
	}
	for _, a := range h.allocations {
		a.updateDemand(now)
		a.addTo(&r, now, wall)
	}
	return r
}

// addTo adds the allocation's demand and current grant to a request.
func (a *allocation) addTo(r *Request, now time.Duration, wall time.Time) {
	name := a.quota.Name
	r.Demand[name] = a.demand * demandHeadroom
	granted := now < a.grantEnds
	switch a.quota.Kind {
	case Count:
		a.addCountTo(r, wall)
	case InUse:
		r.Demand[name] = a.peakInUse()
		if granted && a.inUse <= a.inUseLimit(now) { // otherwise units of an earlier grant are still in use
			r.Current[name] = a.grant.Number
		}
	default:
		if granted {
			r.Current[name] = a.grant.Number
		}
	}
}

// addCountTo adds to a request the current period of a count, and a request for units if one is due.
func (a *allocation) addCountTo(r *Request, wall time.Time) {
	name := a.quota.Name
	if r.Periods == nil {
		r.Periods = map[string]int64{}
	}
	r.Periods[name] = periodOf(wall, a.quota.Period)
	count, needed := a.stock.request(wall, a.quota.Period, a.demand)
	if !needed {
		return
	}
	if r.Counts == nil {
		r.Counts = map[string]CountRequest{}
	}
	r.Counts[name] = count
}

// returnCounts empties all stocks, and returns the count requests that return their units to the ledger, by quota.
func (h *Holder) returnCounts() map[string]CountRequest {
	returned := map[string]CountRequest{}
	for _, a := range h.allocations {
		if a.quota.Kind == Count && a.stock.units > 0 {
			returned[a.quota.Name] = CountRequest{Period: a.stock.period, Returned: a.stock.units}
			a.stock.units = 0
		}
	}
	return returned
}

// inUse returns the number of admitted units that are still in use, by quota, without those that are 0.
func (h *Holder) inUse() map[string]int {
	units := map[string]int{}
	for _, a := range h.allocations {
		if a.inUse > 0 {
			units[a.quota.Name] = a.inUse
		}
	}
	return units
}

// Accept applies a response, and reports whether it did. It ignores rejections and responses whose request is not
// pending: duplicates, responses to an earlier request than the last one answered, and responses so late that
// NextRequest has dropped the request.
func (h *Holder) Accept(now time.Duration, r Response) bool {
	requestedAt, pending := h.pending[r.Number]
	if !pending || r.Rejection != "" {
		return false
	}
	for number := range h.pending { // responses to earlier requests can only have earlier grants
		if number <= r.Number {
			delete(h.pending, number)
		}
	}
	if h.mutant("lease-from-answer") {
		requestedAt = now
	}
	ends := requestedAt + Terms{Lease: min(r.Lease, h.terms.Lease)}.holderLease()
	for _, a := range h.allocations {
		h.acceptStock(a, r)
		h.acceptGrant(a, r, now, ends)
	}
	return true
}

// acceptStock adds the units that a response grants of a count.
func (h *Holder) acceptStock(a *allocation, r Response) {
	grant, ok := r.Counts[a.quota.Name]
	if !ok {
		return
	}
	a.stock.add(grant)
	if h.mutant("grant-twice") {
		a.stock.add(grant)
	}
}

// acceptGrant replaces an allocation's grant by the one in a response, unless that is earlier.
func (h *Holder) acceptGrant(a *allocation, r Response, now, ends time.Duration) {
	grant, ok := r.Grants[a.quota.Name]
	if !ok || grant.Number <= a.grant.Number { // the leader was notified that a later grant is in use
		return
	}
	if a.quota.Kind == Rate {
		h.updateRate(now, a)
	}
	a.grant = grant
	a.grantEnds = ends
	if a.quota.Kind == Rate {
		h.updateRate(now, a)
	}
}
