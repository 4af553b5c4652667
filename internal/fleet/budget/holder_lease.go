package budget

import "time"

// demandHeadroom is by how much more than its demand a holder requests: a bucket that gets just what comes, at random,
// rejects a tenth.
const demandHeadroom = 1.1

// NextRequest returns the next request to the leader. It is sent after now.
func (h *Holder) NextRequest(now time.Duration, wall time.Time) Request {
	h.number++
	h.pending[h.number] = now
	for number, at := range h.pending {
		if now-at > h.terms.Lease { // a response would come too late to be of use
			delete(h.pending, number)
		}
	}
	r := Request{
		Holder:      h.name,
		Incarnation: h.incarnation,
		Number:      h.number,
		Demand:      map[string]float64{},
		Current:     map[string]uint64{},
	}
	for _, a := range h.allocations {
		a.updateDemand(now)
		a.addTo(&r, now, wall)
	}
	return r
}

// addTo adds a quota to a request.
func (a *allocation) addTo(r *Request, now time.Duration, wall time.Time) {
	name := a.quota.Name
	r.Demand[name] = a.demand * demandHeadroom
	granted := now < a.grantEnds
	switch a.quota.Kind {
	case Count:
		a.addCountTo(r, wall)
	case InUse:
		r.Demand[name] = a.peakInUse()
		if granted && a.inUse <= a.inUseLimit(now) { // else units of an earlier grant are in use still
			r.Current[name] = a.grant.Number
		}
	default:
		if granted {
			r.Current[name] = a.grant.Number
		}
	}
}

// addCountTo adds a count to a request.
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

// returnCounts gives all stocks of counts up, and returns what to request for it.
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

// inUse are the units that were admitted and are in use still, by quota.
func (h *Holder) inUse() map[string]int {
	units := map[string]int{}
	for _, a := range h.allocations {
		if a.inUse > 0 {
			units[a.quota.Name] = a.inUse
		}
	}
	return units
}

// Accept takes a response, and reports whether it was of use: one that is late, comes again or belongs to no request
// is not.
func (h *Holder) Accept(now time.Duration, r Response) bool {
	requestedAt, pending := h.pending[r.Number]
	if !pending || r.Rejection != "" {
		return false
	}
	for number := range h.pending { // an earlier response would have an earlier grant
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

func (h *Holder) acceptGrant(a *allocation, r Response, now, ends time.Duration) {
	grant, ok := r.Grants[a.quota.Name]
	if !ok || grant.Number <= a.grant.Number { // the leader was told that it uses a later one
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
