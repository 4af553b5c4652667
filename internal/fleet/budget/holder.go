package budget

import (
	"time"

	"olivebridge/internal/fleet/mutant"
)

// Holder is what one process holds of all budgets, and what it lets through.
type Holder struct {
	terms       Terms
	name        string
	incarnation string
	number      uint64
	asked       map[uint64]time.Duration // when each ask that is not answered was made
	parts       []*part
	mutant      func(string) bool
}

// part is what it holds of one budget.
type part struct {
	whole  Whole
	seat   float64 // its part of the reserve; 0: it has none, or the budget has not
	bucket Bucket
	grant  Grant
	until  time.Duration // the grant ends then, by this process's clock
	rate   float64       // that the bucket has now
	seen   float64       // units asked for since counted
	from   time.Duration // when that began
	want   float64       // units a second that were asked for, of late
	inUse  int
	asks   float64 // of InUse: units that were wanted at one time, of late
	told   uint64  // of turned, those that asks knows of
	stock  stock
	passed uint64
	turned uint64
	each   map[uint64]*thing // see AdmitEach
}

// NewHolder makes a process's holder, which holds nothing.
func NewHolder(terms Terms, wholes []Whole, name, incarnation string, now time.Duration) *Holder {
	h := &Holder{terms: terms, name: name, incarnation: incarnation, asked: map[uint64]time.Duration{}, mutant: mutant.Active}
	for _, w := range wholes {
		p := &part{whole: w, from: now}
		p.bucket.Set(now, 0, 0)
		h.parts = append(h.parts, p)
	}
	return h
}

// Demand is averaged over riseOver where it rises and over fallOver where it falls: what is turned away for want of a part
// is lost, while a part that is too large is idle for a moment. A demand of some tens a second varies by a fifth within
// riseOver.
const (
	riseOver = 500 * time.Millisecond
	fallOver = 2 * time.Second
	// headroom is by how much more than its demand a holder asks for: a bucket that gets just what comes, at random, turns a
	// tenth away.
	headroom = 1.1
)

// Admit asks for one unit of a budget; wall is the wall clock, which only counts look at. If there is none, it says when to
// come back; 0: it does not know.
func (h *Holder) Admit(now time.Duration, wall time.Time, budget int) (ok bool, wait time.Duration) {
	p := h.parts[budget]
	p.seen++
	switch p.whole.Kind {
	case InUse:
		if ok = p.inUse < h.room(now, p); ok {
			p.inUse++
		}
	case Count:
		ok, wait = p.stock.take(wall, p.whole.Period)
	default:
		h.settle(now, p)
		ok, wait = p.bucket.Take(now)
	}
	if ok {
		p.passed++
		return true, 0
	}
	p.turned++
	return false, wait
}

// Release gives back a unit that was admitted, of a budget of the kind InUse.
func (h *Holder) Release(budget int) {
	if p := h.parts[budget]; p.inUse > 0 {
		p.inUse--
	}
}

// room is how many units may be in use now.
func (h *Holder) room(now time.Duration, p *part) int {
	n := p.seat
	if now < p.until {
		n += p.grant.Amount
	}
	return int(n)
}

// settle lets a grant end in time: Admit looks at the clock itself.
func (h *Holder) settle(now time.Duration, p *part) {
	rate := p.seat
	if now < p.until {
		rate += p.grant.Amount
	}
	if rate == p.rate {
		return
	}
	ended := now >= p.until && p.rate > rate && p.until > 0
	p.rate = rate
	burst := h.burst(now, p)
	p.bucket.change(now, p.until, ended, rate, burst)
	for _, t := range p.each {
		t.bucket.change(now, p.until, ended, rate, burst)
	}
}

// change sets another rate and burst. What gathered after the end of what was lent was never there.
func (b *Bucket) change(now, until time.Duration, ended bool, rate, burst float64) {
	if ended {
		b.gather(min(now, until))
		b.at = now
	}
	b.Set(now, rate, burst)
}

// burst is this process's part of a burst: a seat has one unit of its own, without which nothing would ever come through
// it; the rest goes with what is lent.
func (h *Holder) burst(now time.Duration, p *part) float64 {
	burst, each := 0.0, min(1, p.whole.Burst/float64(max(h.terms.Seats, 1)))
	if p.seat > 0 {
		burst = each
	}
	if now < p.until && p.whole.Amount > 0 {
		burst += (p.whole.Burst - each*float64(h.terms.Seats)) * p.grant.Amount / p.whole.Amount
	}
	return burst
}

// Change lets other wholes hold from now on, in the same places. What was lent of one that has changed is not used any more;
// of the reserve it has no more than before until it is seated again.
func (h *Holder) Change(now time.Duration, wholes []Whole) {
	for i, p := range h.parts {
		if p.whole == wholes[i] {
			continue
		}
		p.whole = wholes[i]
		if h.mutant("old-and-new") {
			continue
		}
		p.until, p.seat = 0, min(p.seat, p.whole.reserve(h.terms))
		if p.whole.Kind == Rate {
			p.rate = -1 // whatever it was
			h.settle(now, p)
		}
	}
}

// Seat gives the process its parts of the reserve, for its incarnation: what the ledger has of it, and of what its wholes have by
// now no more than that. It returns what the ledger should have.
func (h *Holder) Seat(kept map[string]float64) map[string]float64 {
	now := h.Reserves()
	for _, p := range h.parts {
		p.seat = min(kept[p.whole.Name], now[p.whole.Name])
	}
	return now
}

// seated reports whether it has all that a seat has now.
func (h *Holder) seated() bool {
	for _, p := range h.parts {
		if p.seat != p.whole.reserve(h.terms) {
			return false
		}
	}
	return true
}

// Reserves are a seat's parts by budget, as its wholes are now.
func (h *Holder) Reserves() map[string]float64 { return h.terms.reserves(h.wholes()) }

func (h *Holder) wholes() (all []Whole) {
	for _, p := range h.parts {
		all = append(all, p.whole)
	}
	return all
}

// Ask is the next ask; the time is from before it is sent.
func (h *Holder) Ask(now time.Duration, wall time.Time) Ask {
	h.number++
	h.asked[h.number] = now
	for n, at := range h.asked {
		if now-at > h.terms.Lease { // an answer would come too late to be of use
			delete(h.asked, n)
		}
	}
	a := Ask{Holder: h.name, Incarnation: h.incarnation, Number: h.number, Want: map[string]float64{}, Have: map[string]uint64{}}
	for _, p := range h.parts {
		p.count(now)
		a.Want[p.whole.Name] = p.want * headroom
		switch {
		case p.whole.Kind == Count:
			if a.Periods == nil {
				a.Periods = map[string]int64{}
			}
			a.Periods[p.whole.Name] = periodOf(wall, p.whole.Period)
			if need, ok := p.stock.need(wall, p.whole.Period, p.want); ok {
				if a.Counts == nil {
					a.Counts = map[string]CountAsk{}
				}
				a.Counts[p.whole.Name] = need
			}
		case p.whole.Kind == InUse:
			a.Want[p.whole.Name] = p.most(now)
			if now < p.until && p.inUse <= h.room(now, p) { // else some of an earlier grant is in use still
				a.Have[p.whole.Name] = p.grant.Number
			}
		case now < p.until:
			a.Have[p.whole.Name] = p.grant.Number
		}
	}
	return a
}

// count brings the demand up to now.
func (p *part) count(now time.Duration) {
	d := now - p.from
	if d < 50*time.Millisecond {
		return
	}
	rate := p.seen / d.Seconds()
	over := fallOver
	if rate > p.want {
		over = riseOver
	}
	p.want += (rate - p.want) * min(d.Seconds()/over.Seconds(), 1)
	p.seen, p.from = 0, now
	p.forget(now)
}

// back is what it gives back of counts, at its end.
func (h *Holder) back() map[string]CountAsk {
	all := map[string]CountAsk{}
	for _, p := range h.parts {
		if p.whole.Kind == Count && p.stock.units > 0 {
			all[p.whole.Name] = CountAsk{Period: p.stock.period, Back: p.stock.units}
			p.stock.units = 0
		}
	}
	return all
}

// using is what it has let through and is in use still, by budget.
func (h *Holder) using() map[string]int {
	all := map[string]int{}
	for _, p := range h.parts {
		if p.inUse > 0 {
			all[p.whole.Name] = p.inUse
		}
	}
	return all
}

// most is how many units would be in use if all were let through that ask: those in use, and those turned away of late.
func (p *part) most(time.Duration) float64 {
	turned := float64(p.turned - p.told)
	p.told = p.turned
	p.asks = max(p.asks*0.8, float64(p.inUse)+turned)
	return p.asks
}

// Take takes an answer, and reports whether it was of use: late, doubled and foreign ones are not.
func (h *Holder) Take(now time.Duration, a Answer) bool {
	at, waits := h.asked[a.Number]
	if !waits || a.Refuse != "" {
		return false
	}
	for n := range h.asked { // an earlier one would be of an earlier grant
		if n <= a.Number {
			delete(h.asked, n)
		}
	}
	if h.mutant("lease-from-answer") {
		at = now
	}
	for _, p := range h.parts {
		if c, ok := a.Counts[p.whole.Name]; ok {
			p.stock.add(c)
			if h.mutant("grant-twice") {
				p.stock.add(c)
			}
		}
		g, ok := a.Grants[p.whole.Name]
		if !ok || g.Number <= p.grant.Number { // it has told that it uses a later one
			continue
		}
		if p.whole.Kind == Rate {
			h.settle(now, p)
		}
		p.grant, p.until = g, at+Terms{Lease: min(a.Lease, h.terms.Lease)}.usable()
		if p.whole.Kind == Rate {
			h.settle(now, p)
		}
	}
	return true
}

// Holding is what a process may use of a budget, for people and records.
type Holding struct {
	Budget  string        `json:"budget"`
	Amount  float64       `json:"amount"`  // lent, or of Count in stock
	Reserve float64       `json:"reserve"` // its own
	Want    float64       `json:"want"`
	Left    time.Duration `json:"left"`           // until the lent part ends
	Ends    int64         `json:"ends,omitempty"` // the same, as record.Line has times
	Grant   uint64        `json:"grant,omitempty"`
	InUse   int           `json:"in_use,omitempty"`
	Passed  uint64        `json:"passed"`
	Turned  uint64        `json:"turned"`
}

// Holdings are those of all budgets.
func (h *Holder) Holdings(now time.Duration) (all []Holding) {
	for _, p := range h.parts {
		one := Holding{Budget: p.whole.Name, Want: p.want, Passed: p.passed, Turned: p.turned}
		if now < p.until {
			one.Amount, one.Left, one.Grant = p.grant.Amount, p.until-now, p.grant.Number
		}
		if p.whole.Kind == Count {
			one.Amount = float64(p.stock.units)
		}
		one.InUse, one.Reserve = p.inUse, p.seat
		all = append(all, one)
	}
	return all
}
