package balancer

// Every decision of a node; types and events are in api.go, what it remembers in state.go. It reads in the
// order of a request's life, then what goes on beside: evidence, the list, probes, cold servers, the table.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The design's own figures. docs/DESIGN.md has the table of all constants.
const (
	rise, fall                       = 2, 3 // passes to Up, failures to Down
	probeEvery, probeFast, probeDown = 2 * time.Second, 1 * time.Second, 4 * time.Second
	maxInterval, probeTimeout        = 5 * time.Second, 1 * time.Second // of an idle node
	forgetAfter, warmup              = time.Minute, 30 * time.Second
	askPause                         = 2 * time.Second // after a failed call, see List
	evenOver, easeOver, restNodes    = 10 * time.Second, 2 * time.Second, time.Second / 8

	tickEvery, maxAttempts, spillRoom, reserve = 50 * time.Millisecond, 6, 0.5, 0.4

	tableSize, wideTable, widestTable, perServer, buildEvery = 2039, 16381, 131071, 16, 3000

	evenStart, evenFade                             = 0.5, 1 - float64(tickEvery)/float64(evenOver)
	probeShare, probesHeld                          = 0.1, 4.0                 // a request at most; in hand
	probeCost, hushed                               = 0.0025, 0.02             // see probe, silent
	spill, nearSpill, groupTries                    = 12, 6, 48                // entries, see pick
	badStep, medianStep, hushStep                   = 0.1, 0.02, 0.02          // weight of one outcome
	retryShare, copyShare                           = 0.15, 4.0                // a request; see second
	firstLimit, leastLimit                          = 4, 1.5                   // in flight: new, the largest
	calm, zoneRoom, zoneWorth                       = 0.2, 1.2, 0.1            // see learn, and build
	shedLater, shedMost, coldPart, carryRise        = 0.05, 0.35, 2.0 / 5, 0.5 // see Request, coldRoom
	logLines, weightSteps                           = 20, 64                   // at once; see weigh
	tickRef, copyRef                         uint64 = 1, 2                     // copyRef: and on
)

// New starts a node's decisions at now. The list follows as a Cached one.
func New(set Settings, seed uint64, now Time, host Host) (*Balancer, error) {
	if len(set.Classes) == 0 {
		return nil, fmt.Errorf("brain: settings have no classes")
	}
	b := &Balancer{
		set: set.bounded(), host: host, now: now, started: now, rng: seed ^ 0x9e3779b97f4a7c15,
		dirty: true,
		byID:  map[ServerID]*server{}, open: map[RequestID]*request{},
		carryAt: now, askAt: now, retries: 3, carried: set.WarmThroughput, work: math.Inf(1),
	}
	anew := standing{rest: 1}
	for _, c := range set.Classes {
		k := class{Class: &c, lat: c.LatencyObjective.Seconds() / 4, base: 0.1, standing: anew}
		k.work = max(k.lat, 1e-3)
		b.classes, b.lat, b.work = append(b.classes, k), max(b.lat, k.lat), min(b.work, k.work)
	}
	for _, t := range set.Tenants {
		b.tenants = append(b.tenants, tenant{Tenant: t, tokens: 1, at: now, standing: anew})
	}
	b.rankClasses()
	host.SetTimer(tickEvery, tickRef)
	b.watch()
	return b, nil
}

func (s Settings) bounded() Settings {
	s.Nodes, s.MaxAttempts = max(s.Nodes, 1), min(max(s.MaxAttempts, 1), maxAttempts)
	return s
}

// Set takes changed settings. Their classes and tenants stand where they stood: what was learnt stays theirs.
func (b *Balancer) UpdateSettings(now Time, set Settings) error {
	if len(set.Classes) != len(b.classes) || len(set.Tenants) != len(b.tenants) {
		return fmt.Errorf("brain: classes or tenants are more or fewer than before")
	}
	b.now, b.set, b.dirty = now, set.bounded(), true
	for i, c := range set.Classes {
		b.classes[i].Class = &c // those in hand keep theirs
	}
	for i, t := range set.Tenants {
		b.tenants[i].Tenant = t
	}
	b.rankClasses()
	return nil
}

// Request takes a client's request: it is sent, or answered at once.
func (b *Balancer) HandleRequest(now Time, in Request) {
	b.now = now
	if in.Class < 0 || in.Class >= len(b.classes) || b.open[in.ID] != nil {
		b.host.Fail(in.ID)
		return
	}
	c := &b.classes[in.Class]
	r := &request{id: in.ID, class: c, key: in.AffinityKey, cost: c.lat, share: c.share, as: c.Class,
		luck: b.chance(), slow: in.StreamsBody, arrived: now, deadline: now + Time(in.Timeout)}
	if in.Tenant >= 0 && in.Tenant < len(b.tenants) {
		r.tenant = &b.tenants[in.Tenant]
	}
	if in.ExpectedWork > 0 {
		r.cost = in.ExpectedWork.Seconds()
	}
	if b.overShare(r.tenant) {
		r.share = min(r.share, 1-reserve)
	}
	b.open[r.id] = r
	b.retries, b.copies = min(b.retries+retryShare, 10), min(b.copies+copyShare*b.hush, 10)
	b.probes = min(b.probes+min(probeShare, probeCost/max(b.set.HealthCheckCost, 1e-9)), probesHeld)
	// A long median wait sheds by chance, the least worth most, and sooner where a node sees little of each
	// server. It guards against whatever slows most of them at once.
	b.press = min(max(b.median/min(calm+shedLater*b.seen(), shedMost)-1, 0), 1)
	if s := b.ticket(r); s != nil && b.now < r.deadline {
		b.send(r, s)
	} else if r.luck < b.press*(1-c.share)/reserve*1.2 {
		b.giveUp(r)
	} else {
		b.forward(r)
	}
}

// overShare counts a request against its tenant's quota, this node's part of it.
func (b *Balancer) overShare(t *tenant) bool {
	if t == nil || t.Quota <= 0 {
		return false
	}
	rate := t.Quota / float64(b.set.Nodes)
	t.tokens, t.at = min(t.tokens+rate*time.Duration(b.now-t.at).Seconds(), max(rate, 1)), b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// forward sends the next attempt of a request, lets it wait, or gives it up.
func (b *Balancer) forward(r *request) {
	if b.now < r.deadline && r.n < b.set.MaxAttempts && (r.n == 0 || !r.slow) {
		if s := b.pick(r); s != nil {
			b.send(r, s)
			return
		}
	}
	if r.out == 0 && !b.wait(r) {
		b.giveUp(r)
	}
}

// wait lets a request stand by for room during part of the slack that its aim leaves, the most worth first.
func (b *Balancer) wait(r *request) bool {
	if r.queued {
		return b.now < r.until
	}
	lat := Time(r.class.lat * float64(time.Second))
	slack := (r.arrived + Time(r.class.LatencyObjective) - b.now - 2*lat) / 2
	if r.until = min(b.now+slack, r.deadline-Time(2*tickEvery)); !b.full || r.n > 0 || r.until <= b.now {
		return false
	}
	r.queued = true
	i, _ := slices.BinarySearchFunc(b.waiting, r.share, func(q *request, share float64) int {
		return cmp.Or(-cmp.Compare(q.share, share), -1) // the most first, the oldest first of its like
	})
	b.waiting = slices.Insert(b.waiting, i, r)
	return true
}

// admit lets those who wait go whose room has come, and gives up those whose wait is over.
func (b *Balancer) admit() {
	for _, r := range slices.Clone(b.waiting) {
		if r.queued {
			b.forward(r)
		}
	}
}

func (b *Balancer) leave(r *request) {
	r.queued = false
	b.waiting = slices.DeleteFunc(b.waiting, func(q *request) bool { return q == r })
}

// pick chooses a server by the table: the key's entry, or the less busy of two draws; where that is full or
// unfit, few further entries in an order fixed by the key.
func (b *Balancer) pick(r *request) *server {
	b.renew()
	if !b.full {
		return nil
	}
	// A key is cold where it spills to: a server takes others' keys only while it has room to spare.
	h, share, tries, spare, size := b.entry(r), r.share, spill, (*server)(nil), uint64(len(b.table))
	near := r.n == 0 && float64(h>>40)/(1<<24) < b.keep
	if r.n > 0 {
		tries = groupTries // it may be bound to a group that none of the first entries is in
	}
	for i := range tries {
		if i == nearSpill && near && spare != nil {
			break // a server of the zone that is sent more than its part beats a crossing
		}
		s := b.table[h%size]
		if near && i < nearSpill || r.out > 0 && b.keep > 0 {
			s = b.near[h%size]
		}
		if b.fits(r, s, share) {
			if b.even(r, s) {
				return s
			}
			if spare == nil || s.sent/b.pull(s) < spare.sent/b.pull(spare) {
				spare = s
			}
		}
		if h = mix(h); near && i == nearSpill-1 {
			share = r.share * spillRoom // the other zones' servers may stand idle, their node empty
		} else if i < spill {
			share *= spillRoom
		}
	}
	return spare
}

// ticket finds a cold server that is owed a request of this node in this half window, where its part is less
// than one: few of a thin node's keys would meet it just then.
func (b *Balancer) ticket(r *request) *server {
	b.renew()
	for i := range b.cold {
		s := b.cold[(int(r.luck*float64(len(b.cold)))+i)%len(b.cold)]
		near := s.Zone == b.set.Zone || b.keep == 0 || b.press > 0
		if near && s.weight > 0 && b.warm(s) < 1 && s.spent == 0 && b.fits(r, s, 1) && s.owed < b.pay(r) {
			return s
		}
	}
	return nil
}

// even reports whether a further request keeps s within its part of what this node sends. It guards against a
// hot key of many nodes, none of which meets a limit; what a node sees for itself, it need not foresee.
func (b *Balancer) even(r *request, s *server) bool {
	return s.sent+r.luck <= (1+b.seen())*(b.sent+evenStart*float64(len(b.servers)))*b.pull(s)/b.weights
}

// seen is how many tries a second this node sends a server, in the mean.
func (b *Balancer) seen() float64 {
	return b.sent / float64(max(len(b.servers), 1)) / evenOver.Seconds()
}

// pull is the weight of s, less where its answers wait.
func (b *Balancer) pull(s *server) float64 {
	return float64(s.weight) * (1 - min(max(1.5*(s.ease-calm), 0), 0.9))
}

// entry is where the table's choice for a request starts.
func (b *Balancer) entry(r *request) uint64 {
	if r.key != 0 {
		return mix(r.key)
	}
	h, size := b.random(), uint64(len(b.table))
	if b.table[(h>>32)%size].inflight < b.table[h%size].inflight {
		h >>= 32
	}
	return h
}

// fits holds the in-flight limits and whatever binds a request or a server.
func (b *Balancer) fits(r *request, s *server, share float64) bool {
	return s.outAt == 0 && b.now >= s.shut && float64(s.inflight) < max(s.limit*share, 1) && b.listed(s) &&
		b.may(r, s, r.n) && b.coldRoom(s, r) && float64(s.inflight) < max(s.limit*b.warm(s), 1)
}

// listed reports whether the list lets new work go to s.
func (b *Balancer) listed(s *server) bool {
	return s.State == Ready || s.State == Removed && b.set.ServeRemoved && !s.bound
}

// may holds the second rule: no effect twice. Every attempt that is out or may have run binds the n-th.
func (b *Balancer) may(r *request, s *server, n int) bool {
	for i := range n {
		a := &r.attempts[i]
		far := r.as.DedupScope != DedupFleet && a.to.Zone != s.Zone || r.as.DedupScope == DedupCell && a.to.Cell != s.Cell
		late := b.now >= a.sent+Time(min(r.as.DedupWindow, r.class.DedupWindow)) // of the attempt before it
		twice := r.as.Idempotency != Idempotent && (r.as.Idempotency != IdempotencyKeyed || far || late)
		if a.to == s || !a.never && (twice || a.out && !b.set.Hedging) {
			return false
		}
	}
	return true
}

// send is the one place from which attempts leave.
func (b *Balancer) send(r *request, s *server) {
	if r.done || b.now >= r.deadline || !b.listed(s) || !b.may(r, s, r.n) {
		panic("brain: a send that breaks a rule") // the callers have asked
	}
	if s.inflight == 0 {
		s.heard = b.now
	}
	b.leave(r)
	s.inflight++
	s.spent += b.pay(r)
	s.sent++
	b.sent++
	r.attempts[r.n] = attempt{to: s, sent: b.now, out: true, mute: r.slow}
	if r.slow {
		b.landed(&r.attempts[r.n])
	}
	r.n, r.out = r.n+1, r.out+1
	holds := s.holds
	if b.warm(s) >= 1 {
		holds = 0 // whenever it begins
	}
	b.host.Send(r.id, s.ID, holds)
	if half := r.class.LatencyObjective / 2; b.copies >= 1 && b.set.Hedging && b.again(r) {
		spread := time.Duration(r.luck * float64(time.Millisecond)) // of those sent at one instant
		b.host.SetTimer(max(half-time.Duration(b.now-r.arrived), half/2+spread), copyRef+uint64(r.id))
	}
}

// Begin reports whether an attempt may begin whose half window is over, or whose server has started anew.
// It asks as send did, and this half's allowance: else all that waited for a connection would land at once.
func (b *Balancer) MayBegin(now Time, id RequestID, n int) bool {
	b.now = now
	r := b.open[id]
	if r == nil || r.done || now >= r.deadline || n < 0 || n >= r.n || !r.attempts[n].out {
		return false
	}
	s := r.attempts[n].to
	if !b.listed(s) || !b.may(r, s, n) || !b.coldRoom(s, r) {
		return false
	}
	s.spent += b.pay(r)
	return true
}

// again reports whether a request that was sent once may be sent again, whatever became of it.
func (b *Balancer) again(r *request) bool {
	return r.n == 1 && r.as.Idempotency == Idempotent && !r.class.Streaming && b.set.MaxAttempts > 1
}

// second sends a copy of a request that half its aim has brought no answer, within its zone, while others'
// answers get lost as well. It costs work that serves nobody, so copies are a few times the losses at most.
func (b *Balancer) second(r *request) {
	if r != nil && !r.done && r.out == 1 && b.again(r) && b.copies >= 1 && b.now < r.deadline {
		if s := b.pick(r); s != nil {
			b.copies--
			b.send(r, s)
		}
	}
}

// Outcome takes the end of an attempt and sends a further one, or ends the request.
func (b *Balancer) HandleOutcome(now Time, o Outcome) {
	b.now = now
	r := b.open[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= r.n || !r.attempts[o.Attempt].out {
		return
	}
	a := &r.attempts[o.Attempt]
	a.out, r.out = false, r.out-1
	a.never = o.Result.NeverRan()
	b.landed(a)
	b.learn(r, a, o)
	defer b.admit()
	if r.done || o.RequestDone {
		r.done = r.done || o.Result == OK // a copy goes on, to tell whether it is overtaken
		b.end(r)
		return
	}
	// What broke its connection may have brought the server down: it is not spread further. It guards against
	// requests that kill whatever runs them; those beside one, or on a machine that died, go unserved.
	miss := a.never && r.n < 2 && o.Result != NotSent // the first that proves nothing ran is free
	switch r.deadly = o.Result == Reset; {
	case r.out > 0 && !a.never: // a copy is under way
	case !r.deadly && (miss || b.retries >= 1):
		if !miss {
			b.retries--
		}
		b.forward(r)
	case r.out == 0:
		b.giveUp(r)
	}
}

// landed takes an attempt out of what is in flight, once.
func (b *Balancer) landed(a *attempt) {
	if !a.lost {
		a.lost = true
		a.to.inflight = max(a.to.inflight-1, 0)
	}
}

// silent reports whether a is stuck alone, on a connection that fell silent or with work far above its like,
// and tells nothing of its server's load: surely, if the server has answered well what was sent much later
// (a is overtaken); likely, if a is late and lately others were overtaken.
func (b *Balancer) silent(r *request, a *attempt) (likely, sure bool) {
	sure = a.to.newest > a.sent+Time(r.class.LatencyObjective/2)
	return sure || b.hush > hushed && b.now > a.sent+Time(r.class.LatencyObjective), sure
}

// sweep takes silent attempts out of what is in flight, where they would fill limits with requests that no
// server holds. Where one is overtaken and a repeat is harmless another is sent, also of what was only slow.
func (b *Balancer) sweep() {
	off, found := []Outcome(nil), 0
	for _, r := range b.open { // in any order: what is found counts once all have been looked at
		for i := range r.n {
			a := &r.attempts[i]
			likely, sure := b.silent(r, a)
			if !a.out || a.mute || !likely {
				continue
			}
			if b.landed(a); sure {
				a.mute, found = true, found+1
			}
			if sure && b.set.CancelAttempts && (r.done || b.again(r)) {
				off = append(off, Outcome{ID: r.id, Attempt: i})
			}
		}
	}
	b.hush = 1 - (1-b.hush)*math.Pow(1-hushStep, float64(found))
	slices.SortStableFunc(off, func(p, q Outcome) int { return cmp.Compare(p.ID, q.ID) })
	for _, o := range off {
		b.host.Cancel(o.ID, o.Attempt) // its outcome brings the next attempt
	}
}

// giveUp answers a request at once: a refusal where the class lets the client try again, else a failure.
func (b *Balancer) giveUp(r *request) {
	harmless := r.as.Idempotency == Idempotent || r.as.Idempotency == IdempotencyKeyed && r.as.DedupScope == DedupFleet ||
		!slices.ContainsFunc(r.attempts[:r.n], func(a attempt) bool { return !a.never })
	after := time.Duration(0)
	if b.set.RetryAfter {
		after = min(b.jitter(time.Duration(2*b.lat*float64(time.Second))), b.set.MaxRetryAfter)
		if r.deadly {
			after = b.set.MaxRetryAfter
		}
	}
	if harmless {
		b.host.Reject(r.id, after)
	} else {
		b.host.Fail(r.id)
	}
	b.end(r)
}

// HangUp takes the news that the client has left.
func (b *Balancer) HandleDisconnect(now Time, id RequestID) {
	b.now = now
	if r := b.open[id]; r != nil {
		b.end(r)
	}
}

// FirstByte takes the start of a streamed answer: the server is heard from.
func (b *Balancer) HandleFirstByte(now Time, id RequestID, n int) {
	b.now = now
	if r := b.open[id]; r != nil && n >= 0 && n < r.n {
		r.attempts[n].to.heard = now
	}
}

// Written takes the news that a slow request's last byte has left: its time begins, and the server holds it.
func (b *Balancer) HandleBodySent(now Time, id RequestID, n int, budget time.Duration) {
	b.now = now
	if r := b.open[id]; r != nil && n >= 0 && n < r.n && r.attempts[n].out && r.attempts[n].mute {
		a := &r.attempts[n]
		a.lost, a.mute, a.sent, r.arrived, r.deadline = false, false, now, now, now+Time(budget)
		a.to.inflight, a.to.heard = a.to.inflight+1, now
	}
}

// end calls off what is still out and forgets the request once every attempt is back.
func (b *Balancer) end(r *request) {
	if !r.done {
		r.done = true
		b.leave(r)
		for i := range r.n {
			if r.attempts[i].out && b.set.CancelAttempts {
				b.host.Cancel(r.id, i)
			}
		}
	}
	if r.out == 0 {
		delete(b.open, r.id)
	}
}

// learn takes what an outcome tells: waiting moves the limits, good and bad outcomes the server's counter.
func (b *Balancer) learn(r *request, a *attempt, o Outcome) {
	s := a.to
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	silent, _ := b.silent(r, a)
	good, slow, e := o.Result == OK, o.Result == TimedOut && !silent, 1.0
	if good || o.Result == Errored || o.Result == Rejected {
		s.heard = b.now
	}
	aim := min(r.class.LatencyObjective+time.Duration(r.class.ObjectivePerWork*r.cost*float64(time.Second)), r.class.Deadline)
	if o.Result == Rejected {
		s.shut = b.now + Time(min(aim, probeDown))
		b.cutLimit(s, 0.7, aim)
		return
	}
	if good {
		b.hush -= hushStep * b.hush
		s.served, b.good, s.newest = b.now, b.now, max(s.newest, a.sent)
		c, x := r.class, o.Latency.Seconds()/max(aim.Seconds(), 1e-3)
		s.done, c.work, b.work = s.done+1, c.work+0.02*(r.cost-c.work), b.work+0.02*(r.cost-b.work)
		c.base = min(c.base+0.001, 0.5)
		if x < c.base {
			c.base -= 0.01
		}
		e = min(max((x-c.base)/(1-c.base), 0), 1)
		c.lat += 0.02 * (o.Latency.Seconds() - c.lat)
		b.lat += 0.01 * (o.Latency.Seconds() - b.lat)
	}
	e = b.own(r, e)
	if good || slow {
		s.ease += max(0.1, 1-math.Exp(-float64(b.now-s.felt)/float64(easeOver))) * (e - s.ease)
		s.felt = b.now
		if b.warm(s) >= 1 { // a cold one is slow by itself
			b.pace(e)
		}
	}
	switch {
	case good && s.ease < calm && float64(s.inflight+1) > 0.6*s.limit:
		s.limit += min(1, 2/s.limit)
	case good && s.ease > calm:
		b.cutLimit(s, 1-0.3*min(s.ease-calm, 0.5), aim)
	case slow && e > calm:
		b.cutLimit(s, 0.7, aim)
	}
	if good || o.Result != TimedOut || s.served < a.sent {
		b.witness(a, r, good)
	}
}

// own takes from how badly an outcome went what its class or tenant shows beyond all others: that is no sign
// of a jam. What they show at all is kept with the request: so far a failure is no sign of its server. It
// costs sight of a jam that only one of them meets.
func (b *Balancer) own(r *request, bad float64) float64 {
	r.blame = r.class.bad
	beyond := r.class.bad - r.class.rest
	for i := range b.classes {
		b.classes[i].note(bad, &b.classes[i] == r.class)
	}
	if t := r.tenant; t != nil {
		r.blame, beyond = max(r.blame, t.bad), max(beyond, t.bad-t.rest)
	}
	for i := range b.tenants {
		b.tenants[i].note(bad, &b.tenants[i] == r.tenant)
	}
	return bad - min(max(beyond, 0), bad)
}

// pace moves the median of what answers wait, as a share of the aim.
func (b *Balancer) pace(e float64) {
	step := min(max(time.Duration(b.now-b.pacedAt).Seconds(), medianStep), 5*medianStep)
	b.pacedAt = b.now
	b.median = min(max(b.median+math.Copysign(step, e-b.median), 0), 1)
}

// cutLimit lowers what s may have in flight, at most once in the time an answer should take.
func (b *Balancer) cutLimit(s *server, by float64, aim time.Duration) {
	if b.now-s.cutAt >= Time(aim/4) {
		s.cutAt = b.now
		s.limit = max(s.limit*by, 1, leastLimit*min(s.size/max(b.largest, 1e-9), 1))
	}
}

// witness lets an outcome of real work step the server's counter as a probe's result does. A failure counts
// only as far as its class and tenant go well elsewhere. Probes that pass where work fails are passed over
// for a pause that doubles until an answer comes: servers may fail, hang or lose work behind good probes.
func (b *Balancer) witness(a *attempt, r *request, good bool) {
	s := a.to
	if good {
		s.pause = probeFast
		b.count(s, true)
		return
	}
	if s.unknown && s.fresh {
		s.unknown, s.counter = false, rise+fall-1 // taken for Up, it has as far to fall
	}
	s.pause = max(s.pause, min(time.Duration(b.set.Nodes)*restNodes, 8*probeDown))
	steps := 1.0
	if b.good > a.sent-Time(probeFast) { // others answer: one heard seldom has had its chances
		steps = min(max(float64(b.now-s.served)/float64(probeFast), 1), fall)
	}
	s.blame += (1 - r.blame) * steps
	for s.doubt = b.now + Time(b.jitter(s.pause)); s.blame >= 1; s.blame-- {
		s.pause = min(2*s.pause, 8*probeDown)
		b.count(s, false)
	}
}

// judge moves a server in or out of the table.
func (b *Balancer) judge(s *server) {
	in := b.listed(s) && (!s.unknown && s.counter >= rise || // the design's judgement
		s.unknown && s.fresh && b.now < b.started+Time(warmup))
	if in == (s.outAt == 0) {
		return
	}
	b.dirty = true
	if !in {
		s.outAt = b.now
		b.log("server %x out of the table", uint64(s.ID))
		return
	}
	s.rampFrom, s.rampFor = b.now, min(time.Duration(b.now-s.outAt), b.set.SlowStart)
	s.outAt = 0
	s.heard = b.now
	s.ease, s.limit = 0, max(s.limit/2, 1)
}

// List takes what discovery says.
func (b *Balancer) HandleServers(now Time, kind UpdateKind, entries []Server) {
	b.now = now
	if kind == UpdateFailed { // what discovery tells from now on is due in 6 s, so pauses do not grow
		b.asking, b.watched = false, false
		b.askAt = now + Time(b.jitter(min(askPause, max(b.set.PollInterval/2, time.Second))))
		return
	}
	if kind != UpdateCached && b.asking {
		b.asking, b.watched = false, true
	}
	for _, s := range b.servers {
		s.known = s.known && kind == UpdateDelta
	}
	for _, e := range entries {
		b.enter(e, kind)
	}
	for _, s := range b.servers {
		if kind != UpdateDelta && !s.known {
			s.State = Removed
		}
		b.judge(s)
	}
	b.dirty = true
	b.forget()
}

// forget drops servers gone for long that hold nothing: memory, where servers are replaced all day.
func (b *Balancer) forget() {
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		old := s.State == Removed && !b.listed(s) && s.inflight == 0 &&
			s.outAt != 0 && b.now-s.outAt >= Time(forgetAfter)
		if old {
			delete(b.byID, s.ID)
		}
		return old
	})
}

// Knows reports whether the server is remembered; a host needs to keep nothing of others.
func (b *Balancer) Knows(id ServerID) bool { return b.byID[id] != nil }

// Open reports whether new work may go to the server, by the list and the settings.
func (b *Balancer) Accepts(id ServerID) bool { return b.Knows(id) && b.listed(b.byID[id]) }

// enter takes one entry of a list.
func (b *Balancer) enter(e Server, kind UpdateKind) {
	s := b.byID[e.ID]
	if s == nil && e.State == Removed {
		return // there is nothing to remember of it
	}
	if s == nil {
		s = &server{Server: e, unknown: true, limit: firstLimit, outAt: b.now, pause: probeFast}
		s.fresh = kind == UpdateCached || b.now < b.started+Time(probeEvery)
		s.probeAt = b.now + Time(b.random()%uint64(probeFast/4))
		if s.fresh {
			s.outAt = 0
			s.probeAt = b.now + Time(b.random()%uint64(probeEvery))
		}
		b.byID[e.ID] = s
		i := slices.IndexFunc(append(b.servers, s), func(o *server) bool { return o.ID >= s.ID }) // by ID
		b.servers = slices.Insert(b.servers, i, s)
	} else if e.StartedAt != s.StartedAt && e.StartedAt != 0 { // it has restarted: nothing learnt of it holds
		s.unknown, s.fresh, s.counter, s.blame, s.doubt, s.pause = true, false, 0, 0, 0, probeFast
		s.probeAt, s.limit, s.ease, s.rampFor, s.holds = b.now, 1, 0, 0, 0
	}
	if w := float64(e.Weight); w > 0 && w < 1e9 && (!b.set.LiveWeights || w > s.size) {
		s.size = w // a live weight sinks with load: its highest is the size
	}
	s.Server, s.known = e, true
	s.bound = e.State == Draining || s.bound && e.State == Removed
}

// watch asks discovery for its list where it does not come by itself.
func (b *Balancer) watch() {
	if b.set.PollDiscovery && !b.watched && !b.asking && b.now >= b.askAt {
		b.asking = true
		b.host.Watch()
	}
}

// Moved takes the news that discovery is elsewhere now: it is asked there at once, whatever failed before.
func (b *Balancer) HandleDiscoveryMoved(now Time) {
	b.now, b.askAt, b.asking, b.watched = now, now, false, false
	b.watch()
}

// Wake takes a timer set earlier.
func (b *Balancer) HandleTimer(now Time, ref uint64) {
	b.now = now
	if ref != tickRef {
		b.second(b.open[RequestID(ref-copyRef)])
		return
	}
	b.host.SetTimer(tickEvery, tickRef)
	b.watch()
	b.sweep()
	b.admit()
	b.measure()
	b.sent *= evenFade
	silence := Time(4 * b.lat * float64(time.Second))
	b.probes += tickEvery.Seconds() / maxInterval.Seconds()
	from := b.short
	b.short = 0
	for i := range b.servers {
		at := (from + i) % len(b.servers)
		s := b.servers[at]
		s.sent *= evenFade
		if !b.listed(s) {
			b.judge(s)
			continue
		}
		if s.inflight > 0 && now-s.heard > silence+silence/Time(s.inflight) {
			s.heard = now
			for range fall {
				b.count(s, false)
			}
			s.doubt = now + Time(b.jitter(s.pause))
		}
		if b.set.HealthChecks && !s.Suspended {
			b.probe(s, at)
		}
		overdue := !b.set.HealthChecks || s.probing == 0 && now >= s.probeAt+Time(probeFast)
		if overdue && s.State == Ready && (s.unknown || s.outAt != 0 && now >= s.doubt+Time(probeDown)) {
			s.unknown, s.counter = false, rise // no probe to be had: the list's word, then real work
		}
		b.judge(s)
		if b.weigh(s, b.largest) != s.weight {
			b.dirty = true
		}
	}
}

// probe sends the probes that are due. A fresh answer to real work stands in for a pass, and probes cost no
// more than a share of the traffic, which costs a node of many sight; those held back go first next time.
func (b *Balancer) probe(s *server, at int) {
	if s.probing != 0 && b.now-s.probing >= Time(probeTimeout) {
		b.result(s, false)
	}
	every := probeFast
	switch {
	case s.counter == rise+fall-1:
		every = probeEvery
	case s.counter == 0 && !s.unknown:
		every = probeDown
	}
	due := s.probeAt
	if s.outAt == 0 && s.served > b.now-Time(every) {
		due += Time(maxInterval - probeEvery*5/4)
	}
	if s.probing != 0 || b.now < due {
		return
	}
	if b.probes < 1 {
		b.short = cmp.Or(b.short, at)
		return
	}
	b.probes--
	s.probing, s.probeAt = b.now, b.now+Time(b.jitter(every))
	b.host.CheckHealth(s.ID)
}

// Probed takes a probe's result.
func (b *Balancer) HandleHealthCheck(now Time, p HealthCheckResult) {
	b.now = now
	if s := b.byID[p.Server]; s != nil && s.probing != 0 && p.Result != NotSent {
		b.result(s, p.Result == OK)
	} else if s != nil {
		s.probing = 0 // it never left this node, and says nothing of the server
	}
}

// result takes a probe's. A failed probe of a server that has answered real work since it was sent proves
// the probe wrong, and a passed one of a server that lately failed work proves little.
func (b *Balancer) result(s *server, pass bool) {
	worked := s.served > s.probing && s.outAt == 0
	if s.probing = 0; pass && b.now >= s.doubt || !pass && !worked {
		b.count(s, pass)
	}
}

// count steps the counter.
func (b *Balancer) count(s *server, pass bool) {
	switch {
	case s.unknown && pass:
		s.unknown, s.counter = false, rise
	case s.unknown:
		s.unknown, s.counter = false, rise-1
	case pass:
		s.counter = min(s.counter+1, rise+fall-1)
	default:
		s.counter = max(s.counter-1, 0)
	}
	b.judge(s)
}

// warm is the share of its capacity that s has at least, by its start and by when it came back.
func (b *Balancer) warm(s *server) float64 {
	share := 1.0
	if b.set.SlowStart > 0 && s.StartedAt != 0 {
		share = min(share, b.set.InitialCapacity+(1-b.set.InitialCapacity)*float64(b.now-s.StartedAt)/float64(b.set.SlowStart))
	}
	if s.rampFor > 0 {
		share = min(share, b.set.InitialCapacity+(1-b.set.InitialCapacity)*float64(b.now-s.rampFrom)/float64(s.rampFor))
	}
	return min(max(share, b.set.InitialCapacity, 0.01), 1)
}

// coldRoom holds the fourth rule. For each half of a fall window, counted from the node's start, a cold
// server is sent no more than its share of what warm ones carry from this node. Where that is less than one
// request, chance, drawn once a half, lets one through: the sum over all nodes holds. It costs time to warm.
func (b *Balancer) coldRoom(s *server, r *request) bool {
	w, half := b.warm(s), max(b.set.OverloadWindow/2, time.Millisecond)
	if w >= 1 {
		return true
	}
	if end := b.now + Time(half) - (b.now-b.started)%Time(half); end != s.holds {
		s.holds, s.spent, s.luck = end, 0, b.chance()
	}
	// Where nothing was learnt, the nodes together try one request a window, or none would ever start.
	some := w * coldPart * b.set.OverloadFactor * b.carried * s.size * half.Seconds()
	s.owed = max(some, b.pay(r)/2/float64(b.set.Nodes))
	return s.spent+s.luck*b.pay(r) <= s.owed
}

// pay is what r costs a cold server's allowance, in requests of mean work: learnt work drifts, a rate does
// not. A small one lets only small hints through, and hints may be wrong: none is under its class's mean.
func (b *Balancer) pay(r *request) float64 { return max(r.cost, r.class.work) / b.work }

// measure learns what warm servers carry from this node, in requests a second per unit of size.
func (b *Balancer) measure() {
	d := time.Duration(b.now - b.carryAt)
	if d < max(b.set.OverloadWindow, tickEvery) {
		return
	}
	b.carryAt = b.now
	var done, size float64
	for _, s := range b.servers {
		if s.outAt == 0 && !s.Suspended && b.listed(s) && b.warm(s) >= 1 {
			done += s.done
			size += s.size
		}
		s.done = 0
	}
	if size > 0 {
		v := done / size / d.Seconds()
		b.carried = cmp.Or(b.carried, v)
		v = min(v, b.carried+carryRise*(v-b.carried)) // a rush of warm keys is not believed at once
		b.carried += 0.3 * (v - b.carried)
	}
	b.rankClasses()
}

// rankClasses sets how far up a server's limit each class may go: the most worth per work may use all of it.
func (b *Balancer) rankClasses() {
	top := 0.0
	for i := range b.classes {
		c := &b.classes[i]
		c.share = c.PriorityWeight
		if !b.set.WeightPerWork {
			c.share /= max(c.lat, 1e-3)
		}
		top = max(top, c.share)
	}
	for i := range b.classes {
		b.classes[i].share = 1 - reserve*(1-b.classes[i].share/max(top, 1e-9))
	}
}

// weigh gives the table weight of s in steps of the largest.
func (b *Balancer) weigh(s *server, most float64) int {
	if s.outAt != 0 || s.Suspended || !b.listed(s) || most <= 0 {
		return 0
	}
	share := b.warm(s)
	if share < 1 {
		share = math.Floor(share*min(coldPart*b.set.OverloadFactor, 1)*16+1) / 16
	}
	return max(int(s.size/most*share*weightSteps+0.5), 1)
}

// renew builds the table anew if need be, a large one not all of the time: it takes some 60 ns an entry.
func (b *Balancer) renew() {
	if b.dirty && b.now >= b.due {
		b.build()
	}
}

// build fills the Maglev table (Eisenbud et al., NSDI 2016), and one of this zone's servers where crossing
// costs more than the imbalance of so few. Keys keep to it as far as the zone carries them with one less.
func (b *Balancer) build() {
	i, _ := slices.BinarySearch([]int{tableSize, wideTable}, perServer*len(b.servers))
	size := []int{tableSize, wideTable, widestTable}[i]
	b.dirty, b.cold, b.due = false, b.cold[:0], b.now+1+Time(size-tableSize)*buildEvery
	if len(b.table) != size {
		b.table, b.near = make([]*server, size), make([]*server, size)
	}
	all, own, n := 0.0, 0.0, 0.0
	b.largest = 0
	for _, s := range b.servers {
		if b.listed(s) {
			b.largest = max(b.largest, s.size)
		}
	}
	for _, s := range b.servers {
		s.weight = b.weigh(s, b.largest)
		if all += float64(s.weight); s.Zone == b.set.Zone && s.weight > 0 {
			own, n = own+float64(s.weight), n+1
		}
		if s.weight > 0 && b.warm(s) < 1 {
			b.cold = append(b.cold, s)
		}
	}
	b.weights, b.full, b.keep = all, all > 0, 0
	b.fill(b.table, func(s *server) bool { return s.weight > 0 })
	if b.set.Zones > 1 && n > 1 && n*b.set.CrossZoneCost >= zoneWorth {
		b.keep = zoneRoom * min(own/all*float64(min(b.set.Zones, b.set.Nodes)), (n-1)/n)
		b.fill(b.near, func(s *server) bool { return s.weight > 0 && s.Zone == b.set.Zone })
	}
}

// fill gives out the entries of a table: by turns, and by weight, each server takes the next free one of its
// own permutation. The order is by ID, the same at every node.
func (b *Balancer) fill(table []*server, in func(*server) bool) {
	size, taken := uint64(len(table)), make([]bool, len(table)) // a byte an entry stays near the processor
	some, most := make([]*server, 0, len(b.servers)), 0         // in a cold zone all have little weight
	for _, s := range b.servers {
		if h := mix(uint64(s.ID)); in(s) {
			s.credit, s.next, s.skip = 0, h%size, (h>>32)%(size-1)+1
			some, most = append(some, s), max(most, s.weight)
		}
	}
	for filled := 0; most > 0 && filled < len(table); {
		for _, s := range some {
			if s.credit += s.weight; s.credit < most || filled == len(table) {
				continue
			}
			s.credit -= most
			for taken[s.next] { // ten times an entry in the mean: a division here took a thin node all it has
				if s.next += s.skip; s.next >= size {
					s.next -= size
				}
			}
			taken[s.next], table[s.next] = true, s
			filled++
		}
	}
}
