package budget

import (
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/mutant"
)

// Kind is what is counted.
type Kind string

// The kinds.
const (
	Rate  Kind = "rate"   // units a second
	InUse Kind = "in-use" // units at one time, from Admit until Release
	Count Kind = "count"  // units in a period of the wall clock
)

// Whole is a budget of the fleet's.
type Whole struct {
	Name   string
	Kind   Kind
	Amount float64       // of Rate a second, of InUse at one time, of Count in a period
	Burst  float64       // of Rate: units beyond it, over all nodes together
	Hold   time.Duration // of InUse: for how long a unit may be in use after it was admitted
	Period time.Duration // of Count: counted from the Unix epoch
}

// Terms hold for all budgets of a fleet.
type Terms struct {
	Lease   time.Duration // for how long a part may be used, by its holder's clock, from before it asked
	Reserve float64       // part of every whole that is never lent
	Seats   int           // in how many parts it is cut
}

// drift is by how much two clocks may run apart: far more than quartz does.
const drift = 0.01

// Ask is what a holder asks the leader for.
type Ask struct {
	Counts      map[string]CountAsk `json:"counts,omitempty"`
	Holder      string              `json:"holder"`
	Incarnation string              `json:"life"` // of its process: parts of an earlier incarnation are not its own
	Number      uint64              `json:"number"`
	Want        map[string]float64  `json:"want,omitempty"`  // units a second, by budget
	Have        map[string]uint64   `json:"have,omitempty"`  // the grant that it uses now, and no earlier one
	Over        bool                `json:"over,omitempty"`  // it lets nothing through any more, and asks for nothing
	Using       map[string]int      `json:"using,omitempty"` // with Over: what it let through and is in use still
	// Periods are those that counts are in, by the holder's wall clock.
	Periods map[string]int64 `json:"periods,omitempty"`
}

// Answer is what the leader lends.
type Answer struct {
	Counts map[string]CountGrant `json:"counts,omitempty"`
	Number uint64                `json:"number"` // of the Ask
	Refuse string                `json:"refuse,omitempty"`
	Leader string                `json:"keeper,omitempty"` // who keeps the book, if another does
	Lease  time.Duration         `json:"lease,omitempty"`
	Grants map[string]Grant      `json:"grants,omitempty"`
}

// Grant is a part of a budget.
type Grant struct {
	Number uint64  `json:"number"` // rises with each grant, over all terms: the term is in its upper half
	Amount float64 `json:"amount"` // units a second
}

// Leader keeps the book for one term of office. What earlier leaders lent it does not know, nor need to: it lends nothing
// until all of that has ended.
type Leader struct {
	terms   Terms
	wholes  []Whole
	term    uint64
	opens   time.Duration // when it begins to lend; what is held longer, by so much later
	number  uint64
	holders map[string]*holding // by name and incarnation
	back    map[string]float64  // see HoldBack
	named   map[string]naming   // by name
	mutant  func(string) bool
}

// holding is what a holder has, by budget.
type holding struct {
	name, incarnation string
	heard             time.Duration
	over              bool
	want              map[string]float64
	target            map[string]float64
	lent              map[string][]lent
}

// naming is which periods a holder named last.
type naming struct {
	at      time.Duration
	periods map[string]int64
}

// lent is a grant until it has ended, by the leader's clock.
type lent struct {
	number uint64
	amount float64
	until  time.Duration
}

// NewLeader makes the book of a term that has begun by now.
func NewLeader(terms Terms, wholes []Whole, term uint64, now time.Duration) *Leader {
	k := &Leader{terms: terms, wholes: wholes, term: term, opens: now + terms.counted(), holders: map[string]*holding{},
		named: map[string]naming{}, mutant: mutant.Active}
	if mutant.Active("no-quarantine") {
		k.opens = now
	}
	return k
}

// counted is for how long a leader counts a grant from when it was made.
func (t Terms) counted() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + drift))
}

// usable is for how long a holder uses it from before it asked.
func (t Terms) usable() time.Duration {
	return time.Duration(float64(t.Lease) * (1 - drift))
}

// Change lets other wholes hold from now on. Nothing is lent until all that was lent of the old ones has ended, so that old and
// new are never counted together.
func (k *Leader) Change(now time.Duration, wholes []Whole) {
	k.wholes, k.opens = wholes, now+k.terms.counted()
	if k.mutant("old-and-new") {
		k.opens, k.holders = now, map[string]*holding{}
	}
}

// HoldBack lets so much of each budget not be lent, beside the reserve: what seats have of a larger one, since their processes
// have not told that they know of the present one.
func (k *Leader) HoldBack(units map[string]float64) { k.back = units }

// Term is the term of office.
func (k *Leader) Term() uint64 { return k.term }

// Ask answers a holder. The answer may be given only if the leader was in office at some time after this call.
func (k *Leader) Ask(now time.Duration, a Ask) Answer {
	k.end(now)
	k.named[a.Holder] = naming{now, a.Periods}
	key := a.Holder + " " + a.Incarnation
	if k.mutant("incarnation-forgotten") {
		key = a.Holder
	}
	h := k.holders[key]
	if h == nil {
		h = &holding{name: a.Holder, incarnation: a.Incarnation, target: map[string]float64{}, lent: map[string][]lent{}}
		k.holders[key] = h
	}
	h.heard, h.want = now, a.Want
	for _, w := range k.wholes {
		h.lent[w.Name] = k.given(h.lent[w.Name], a.Have[w.Name], a.Over && a.Using[w.Name] == 0)
	}
	if h.over = h.over || a.Over; h.over {
		return Answer{Number: a.Number}
	}
	out := Answer{Number: a.Number, Lease: k.terms.Lease, Grants: map[string]Grant{}}
	if now < k.opens {
		out.Refuse = "the leader is new: what was lent before it has not ended"
		return out
	}
	for _, w := range k.wholes {
		if w.Kind != Count && now >= k.opens+w.Hold { // counts are the ledger's
			out.Grants[w.Name] = k.lend(now, w, h)
		}
	}
	return out
}

// given drops grants that a holder does not use any more.
func (k *Leader) given(all []lent, have uint64, over bool) []lent {
	if over {
		return nil
	}
	if have == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(l lent) bool { return l.number < have })
}

// end drops what has ended, and holders of which nothing is left.
func (k *Leader) end(now time.Duration) {
	for key, h := range k.holders {
		left := 0
		for name, all := range h.lent {
			h.lent[name] = slices.DeleteFunc(all, func(l lent) bool { return l.until <= now })
			left += len(h.lent[name])
		}
		if left == 0 && now-h.heard > k.terms.counted() {
			delete(k.holders, key)
		}
	}
}

// lend gives a holder its part of a budget, as far as it is free.
func (k *Leader) lend(now time.Duration, w Whole, h *holding) Grant {
	amount := k.lendable(w)
	free := amount
	var asks []Demand
	for _, o := range k.holders {
		if o != h {
			free -= o.held(w.Name)
		}
		if o.over || now-o.heard > k.terms.Lease || k.later(o) {
			continue
		}
		asks = append(asks, Demand{Holder: o.name + " " + o.incarnation, Want: o.want[w.Name], Holds: o.target[w.Name]})
	}
	slices.SortFunc(asks, func(a, b Demand) int { return strings.Compare(a.Holder, b.Holder) })
	target := Divide(amount, asks)[h.name+" "+h.incarnation]
	h.target[w.Name] = target
	k.number++
	g := Grant{k.term<<32 | k.number, min(target, max(free, 0))}
	if w.Kind == InUse { // whole units: where they are fewer than holders, those that ask first have them
		g.Amount = min(math.Ceil(target-0.5*hysteresis), math.Floor(max(free, 0)+1e-9))
	}
	if k.mutant("given-out-early") {
		g.Amount = target
	}
	h.lent[w.Name] = append(h.lent[w.Name], lent{g.Number, g.Amount, now + k.terms.counted() + w.Hold})
	return g
}

// Period is the one that a count is in: the one that more than half of the voters have named within a lease, by their wall
// clocks, of which any may be wrong, this process's too. There may be none.
func (k *Leader) Period(now time.Duration, name string, voters []string) (int64, bool) {
	votes := map[int64]int{}
	for _, who := range voters {
		n, named := k.named[who]
		period, counts := n.periods[name]
		if !named || !counts || now-n.at > k.terms.Lease {
			continue
		}
		if votes[period]++; 2*votes[period] > len(voters) {
			return period, true
		}
	}
	return 0, false
}

// later reports whether a holder has begun a later incarnation, which asks for itself.
func (k *Leader) later(h *holding) bool {
	for _, o := range k.holders {
		if o.name == h.name && o.incarnation != h.incarnation && o.heard > h.heard {
			return true
		}
	}
	return false
}

// lendable is what of a whole is ever lent.
func (k *Leader) lendable(w Whole) float64 {
	if k.mutant("reserve-lent") {
		return w.Amount
	}
	return max(w.Amount-w.reserve(k.terms)*float64(max(k.terms.Seats, 1))-k.back[w.Name], 0)
}

// reserve is one seat's part of a whole.
func (w Whole) reserve(t Terms) float64 {
	part := w.Amount * t.Reserve / float64(max(t.Seats, 1))
	switch w.Kind {
	case InUse: // whole units
		return math.Floor(part)
	case Count: // nothing of it is lost without a leader: what is held goes on
		return 0
	}
	return part
}

// reserves are a seat's parts by budget.
func (t Terms) reserves(wholes []Whole) map[string]float64 {
	all := map[string]float64{}
	for _, w := range wholes {
		if part := w.reserve(t); part > 0 {
			all[w.Name] = part
		}
	}
	return all
}

// held is the most that a holder may use.
func (h *holding) held(name string) float64 {
	most := 0.0
	for _, l := range h.lent[name] {
		most = math.Max(most, l.amount)
	}
	return most
}

// Share is one holder's part, for people.
type Share struct {
	Holder      string
	Incarnation string
	Want        float64
	Target      float64
	Held        float64
}

// Shares tell who has what of a budget.
func (k *Leader) Shares(now time.Duration, name string) (all []Share) {
	k.end(now)
	for _, h := range k.holders {
		all = append(all, Share{h.name, h.incarnation, h.want[name], h.target[name], h.held(name)})
	}
	slices.SortFunc(all, func(a, b Share) int { return strings.Compare(a.Holder+a.Incarnation, b.Holder+b.Incarnation) })
	return all
}
