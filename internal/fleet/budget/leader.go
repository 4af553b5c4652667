package budget

import (
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/mutant"
)

// termShift is the bit position of the raft term in a grant's number.
const termShift = 32

// Leader lends quotas during one raft term. It does not know the grants of earlier leaders, and therefore lends nothing
// until all of those have expired. It is not safe for concurrent use.
type Leader struct {
	terms  Terms
	quotas []Quota
	term   uint64
	// lendsFrom is the time at which lending starts. For a quota of the kind InUse, it starts Quota.Hold later.
	lendsFrom   time.Duration
	grantNumber uint64                  // number of the last grant within the term
	holders     map[string]*holderState // by holderKey
	withheld    map[string]float64      // see Withhold
	periods     map[string]periodVote   // by name of the holder
	mutant      func(string) bool       // whether a mutant is active, see package mutant
}

// holderState is the leader's view of one holder process.
type holderState struct {
	name          string
	incarnation   string
	lastRequestAt time.Duration            // time of the last request
	final         bool                     // the holder has sent its final request
	demand        map[string]float64       // by quota
	target        map[string]float64       // target share of the quota, by quota
	grants        map[string][]activeGrant // grants that the holder may still use, by quota
}

// periodVote is the current period of each count by a holder's wall clock, as of its last request.
type periodVote struct {
	at      time.Duration    // when the request was received
	periods map[string]int64 // by quota
}

// activeGrant is a grant that the leader does not count as expired.
type activeGrant struct {
	number uint64
	amount float64
	ends   time.Duration // when it expires, by the leader's clock
}

// key returns the key of the holder in Leader.holders.
func (h *holderState) key() string { return holderKey(h.name, h.incarnation) }

// holderKey returns the identity of a holder process.
func holderKey(name, incarnation string) string { return name + " " + incarnation }

// NewLeader returns the leader of a raft term that started no later than now.
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

// Term returns the raft term.
func (l *Leader) Term() uint64 { return l.term }

// SetQuotas changes the amounts of the quotas. Nothing is lent until all grants of the old quotas have expired, so that
// grants of old and new quotas are never in use together.
func (l *Leader) SetQuotas(now time.Duration, quotas []Quota) {
	l.quotas = quotas
	l.lendsFrom = now + l.terms.leaderLease()
	if l.mutant("old-and-new") {
		l.lendsFrom = now
		l.holders = map[string]*holderState{}
	}
}

// Withhold sets the amount of each quota, beyond the reserve, that is not lent. It accounts for processes that have not
// yet confirmed a smaller quota and may still use a seat's part of the larger one; see ledger.excess.
func (l *Leader) Withhold(units map[string]float64) { l.withheld = units }

// Lend processes a holder's request and returns the response. The caller may send the response only if it has verified
// after this call that the process is still the raft leader of the term.
func (l *Leader) Lend(now time.Duration, r Request) Response {
	l.dropExpired(now)
	l.periods[r.Holder] = periodVote{now, r.Periods}
	h := l.holderOf(r)
	h.lastRequestAt = now
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
		if q.Kind != Count && now >= l.lendsFrom+q.Hold { // counts are granted by the ledger
			response.Grants[q.Name] = l.grant(now, q, h)
		}
	}
	return response
}

// holderOf returns the state of the holder that sent a request, and creates it for a new holder.
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

// dropUnused drops the grants that a holder no longer uses: all of them if it released them, and otherwise those with a
// lower number than the current one. A current of 0 means that the holder did not name its current grant: none is
// dropped.
func dropUnused(grants []activeGrant, current uint64, released bool) []activeGrant {
	if released {
		return nil
	}
	if current == 0 {
		return grants
	}
	return slices.DeleteFunc(grants, func(g activeGrant) bool { return g.number < current })
}

// dropExpired drops expired grants, and holders without grants that have sent no request for a lease.
func (l *Leader) dropExpired(now time.Duration) {
	for key, h := range l.holders {
		left := 0
		for name, grants := range h.grants {
			h.grants[name] = slices.DeleteFunc(grants, func(g activeGrant) bool { return g.ends <= now })
			left += len(h.grants[name])
		}
		if left == 0 && now-h.lastRequestAt > l.terms.leaderLease() {
			delete(l.holders, key)
		}
	}
}

// grant records and returns a new grant of a quota for a holder: its target share, limited to the free amount.
func (l *Leader) grant(now time.Duration, q Quota, h *holderState) Grant {
	free := max(l.free(q, h), 0)
	target := Divide(l.lendable(q), l.demands(now, q))[h.key()]
	h.target[q.Name] = target
	l.grantNumber++
	grant := Grant{Number: l.term<<termShift | l.grantNumber, Amount: min(target, free)}
	if q.Kind == InUse { // whole units; if there are fewer than holders, the first to request get them
		grant.Amount = min(math.Ceil(target-hysteresis/2), math.Floor(free+roundingTolerance))
	}
	if l.mutant("given-out-early") {
		grant.Amount = target
	}
	ends := now + l.terms.leaderLease() + q.Hold
	h.grants[q.Name] = append(h.grants[q.Name], activeGrant{grant.Number, grant.Amount, ends})
	return grant
}

// roundingTolerance is the amount by which rounding errors may make a sum of whole units too small.
const roundingTolerance = 1e-9

// lendable returns the amount of a quota that may be lent: all but the reserve and the withheld amount.
func (l *Leader) lendable(q Quota) float64 {
	if l.mutant("reserve-lent") {
		return q.Amount
	}
	reserve := q.seatReserve(l.terms) * float64(max(l.terms.Seats, 1))
	return max(q.Amount-reserve-l.withheld[q.Name], 0)
}

// free returns the amount of a quota that may be granted to a holder: the lendable amount less the maximum amounts that
// the other holders may use. It can be negative.
func (l *Leader) free(q Quota, h *holderState) float64 {
	free := l.lendable(q)
	for _, other := range l.holders {
		if other != h {
			free -= other.usable(q.Name)
		}
	}
	return free
}

// demands returns the demands for a quota, sorted by holder. It omits holders that have sent their final request, have
// sent none for a lease, or have been replaced by a later incarnation.
func (l *Leader) demands(now time.Duration, q Quota) (demands []Demand) {
	for _, h := range l.holders {
		if h.final || now-h.lastRequestAt > l.terms.Lease || l.hasLaterIncarnation(h) {
			continue
		}
		demands = append(demands, Demand{Holder: h.key(), Units: h.demand[q.Name], PreviousTarget: h.target[q.Name]})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Holder, b.Holder) })
	return demands
}

// hasLaterIncarnation reports whether another incarnation of the holder's node has sent a request more recently.
func (l *Leader) hasLaterIncarnation(h *holderState) bool {
	for _, other := range l.holders {
		if other.name == h.name && other.incarnation != h.incarnation && other.lastRequestAt > h.lastRequestAt {
			return true
		}
	}
	return false
}

// usable returns the maximum amount of a quota that a holder may use: its largest active grant.
func (h *holderState) usable(name string) float64 {
	largest := 0.0
	for _, g := range h.grants[name] {
		largest = math.Max(largest, g.amount)
	}
	return largest
}

// MajorityPeriod returns the current period of a count: the one that more than half of the voters have reported within
// the last lease. It relies on no single wall clock, not even this process's, because any of them may be wrong. It
// returns false if there is no such period.
func (l *Leader) MajorityPeriod(now time.Duration, name string, voters []string) (period int64, ok bool) {
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
