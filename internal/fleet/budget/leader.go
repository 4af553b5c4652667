package budget

import (
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/mutant"
)

// termShift is where the term stands in a grant's number.
const termShift = 32

// Leader lends quotas for one raft term. It does not know what earlier leaders lent, and lends nothing until all their
// grants have expired. It is not safe for concurrent use.
type Leader struct {
	terms  Terms
	quotas []Quota
	term   uint64
	// lendsFrom is when lending begins; of a quota of the kind InUse, its Hold later.
	lendsFrom time.Duration
	number    uint64                  // of the last grant, within the term
	holders   map[string]*holderState // by name and incarnation
	withheld  map[string]float64      // see Withhold
	periods   map[string]periodVote   // by name of the holder
	mutant    func(string) bool       // see package mutant
}

// holderState is what a holder's process has.
type holderState struct {
	name        string
	incarnation string
	lastHeard   time.Duration
	final       bool                     // it requests nothing any more
	demand      map[string]float64       // by quota
	target      map[string]float64       // what it is to have, by quota
	grants      map[string][]activeGrant // by quota
}

// periodVote is the periods that a holder was in, by its wall clock.
type periodVote struct {
	at      time.Duration
	periods map[string]int64 // by quota
}

// activeGrant is a grant that has not ended.
type activeGrant struct {
	number uint64
	amount float64
	ends   time.Duration // by the leader's clock
}

// key is what the leader knows a holder by.
func (h *holderState) key() string { return holderKey(h.name, h.incarnation) }

func holderKey(name, incarnation string) string { return name + " " + incarnation }

// NewLeader makes the leader of a term that has begun by now.
func NewLeader(terms Terms, quotas []Quota, term uint64, now time.Duration) *Leader {
	l := &Leader{
		terms:     terms,
		quotas:    quotas,
		term:      term,
		lendsFrom: now + terms.leaderLease(),
		holders:   map[string]*holderState{},
		periods:   map[string]periodVote{},
		mutant:    mutant.Active,
	}
	if mutant.Active("no-quarantine") {
		l.lendsFrom = now
	}
	return l
}

// Term is the raft term.
func (l *Leader) Term() uint64 { return l.term }

// SetQuotas changes the amounts of the quotas. Nothing is lent until all that was lent of the old ones has ended, so
// that old and new are never used together.
func (l *Leader) SetQuotas(now time.Duration, quotas []Quota) {
	l.quotas = quotas
	l.lendsFrom = now + l.terms.leaderLease()
	if l.mutant("old-and-new") {
		l.lendsFrom = now
		l.holders = map[string]*holderState{}
	}
}

// Withhold sets how much of each quota is not lent, beside the reserve: what seats have of a larger one, since their
// processes have not confirmed the present one.
func (l *Leader) Withhold(units map[string]float64) { l.withheld = units }

// Lend answers a holder. The response may be sent only if the leader was in office at some time after this call.
func (l *Leader) Lend(now time.Duration, r Request) Response {
	l.dropExpired(now)
	l.periods[r.Holder] = periodVote{now, r.Periods}
	h := l.holderOf(r)
	h.lastHeard = now
	h.demand = r.Demand
	for _, q := range l.quotas {
		released := r.Final && r.InUse[q.Name] == 0
		h.grants[q.Name] = dropUnused(h.grants[q.Name], r.Current[q.Name], released)
	}
	h.final = h.final || r.Final
	if h.final {
		return Response{Number: r.Number}
	}
	response := Response{Number: r.Number, Lease: l.terms.Lease, Grants: map[string]Grant{}}
	if now < l.lendsFrom {
		response.Rejection = rejectedNewLeader
		return response
	}
	for _, q := range l.quotas {
		if q.Kind != Count && now >= l.lendsFrom+q.Hold { // counts are the ledger's
			response.Grants[q.Name] = l.grant(now, q, h)
		}
	}
	return response
}

// holderOf returns the state of the holder that sent a request, and makes one for a new holder.
func (l *Leader) holderOf(r Request) *holderState {
	key := holderKey(r.Holder, r.Incarnation)
	if l.mutant("incarnation-forgotten") {
		key = r.Holder
	}
	h := l.holders[key]
	if h == nil {
		h = &holderState{
			name:        r.Holder,
			incarnation: r.Incarnation,
			target:      map[string]float64{},
			grants:      map[string][]activeGrant{},
		}
		l.holders[key] = h
	}
	return h
}

// dropUnused drops grants that a holder does not use any more: all that it released, or those before the current one;
// 0: it did not say which that is.
func dropUnused(grants []activeGrant, current uint64, released bool) []activeGrant {
	if released {
		return nil
	}
	if current == 0 {
		return grants
	}
	return slices.DeleteFunc(grants, func(g activeGrant) bool { return g.number < current })
}

// dropExpired drops grants that have ended, and holders of which nothing is left.
func (l *Leader) dropExpired(now time.Duration) {
	for key, h := range l.holders {
		left := 0
		for name, grants := range h.grants {
			h.grants[name] = slices.DeleteFunc(grants, func(g activeGrant) bool { return g.ends <= now })
			left += len(h.grants[name])
		}
		if left == 0 && now-h.lastHeard > l.terms.leaderLease() {
			delete(l.holders, key)
		}
	}
}

// grant grants a holder its part of a quota, as far as it is free.
func (l *Leader) grant(now time.Duration, q Quota, h *holderState) Grant {
	free := max(l.free(q, h), 0)
	target := Divide(l.lendable(q), l.demands(now, q))[h.key()]
	h.target[q.Name] = target
	l.number++
	grant := Grant{Number: l.term<<termShift | l.number, Amount: min(target, free)}
	if q.Kind == InUse { // whole units: where they are fewer than holders, those that request first have them
		grant.Amount = min(math.Ceil(target-hysteresis/2), math.Floor(free+roundingTolerance))
	}
	if l.mutant("given-out-early") {
		grant.Amount = target
	}
	ends := now + l.terms.leaderLease() + q.Hold
	h.grants[q.Name] = append(h.grants[q.Name], activeGrant{grant.Number, grant.Amount, ends})
	return grant
}

// roundingTolerance is by how much a sum of whole units may be too small for rounding.
const roundingTolerance = 1e-9

// lendable is how much of a quota is ever lent.
func (l *Leader) lendable(q Quota) float64 {
	if l.mutant("reserve-lent") {
		return q.Amount
	}
	reserve := q.seatReserve(l.terms) * float64(max(l.terms.Seats, 1))
	return max(q.Amount-reserve-l.withheld[q.Name], 0)
}

// free is how much of a quota one holder may have: what is lendable, without the most that the others may use.
func (l *Leader) free(q Quota, h *holderState) float64 {
	free := l.lendable(q)
	for _, other := range l.holders {
		if other != h {
			free -= other.usable(q.Name)
		}
	}
	return free
}

// demands are those of all holders that still request, in order.
func (l *Leader) demands(now time.Duration, q Quota) (demands []Demand) {
	for _, h := range l.holders {
		if h.final || now-h.lastHeard > l.terms.Lease || l.hasLaterIncarnation(h) {
			continue
		}
		demands = append(demands, Demand{Holder: h.key(), Units: h.demand[q.Name], Target: h.target[q.Name]})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Holder, b.Holder) })
	return demands
}

// hasLaterIncarnation reports whether a holder's node has begun another incarnation, which requests for itself.
func (l *Leader) hasLaterIncarnation(h *holderState) bool {
	for _, other := range l.holders {
		if other.name == h.name && other.incarnation != h.incarnation && other.lastHeard > h.lastHeard {
			return true
		}
	}
	return false
}

// usable is the most that a holder may use of a quota.
func (h *holderState) usable(name string) float64 {
	most := 0.0
	for _, g := range h.grants[name] {
		most = math.Max(most, g.amount)
	}
	return most
}

// Period is the period that a count is in: the one that more than half of the voters have named within a lease, by
// their wall clocks, of which any may be wrong, this process's too. There may be none.
func (l *Leader) Period(now time.Duration, name string, voters []string) (period int64, ok bool) {
	votes := map[int64]int{}
	for _, voter := range voters {
		vote, voted := l.periods[voter]
		period, named := vote.periods[name]
		if !voted || !named || now-vote.at > l.terms.Lease {
			continue
		}
		votes[period]++
		if 2*votes[period] > len(voters) {
			return period, true
		}
	}
	return 0, false
}
