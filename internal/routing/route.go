package routing

import (
	"time"

	"olivebridge/balancer"
)

// Send implements balancer.Host, the third stage: it finds the peer that the
// Balancer chose and sends the try off. Its outcome comes back as an event even
// if nothing can be sent, since a Host must not call back.
func (r *Router) Send(id balancer.RequestID, to balancer.ServerID, holds balancer.Time) {
	e := r.open[id]
	if e == nil {
		return
	}
	a := &e.first // most calls have no other
	if len(e.tries) > 0 {
		a = new(runningAttempt)
	}
	a.Attempt = Attempt{RequestID: id, Number: len(e.tries), Upstream: r.peers[to], ExpiresAt: r.instant(e.deadline),
		StartBefore: r.beginBy(e), CallDone: &e.over, Payload: e.Payload}
	a.router, a.begun = r, time.Now()
	if a.Upstream != nil {
		a.confirmer, a.upstreamStart, a.cold = a, a.Upstream.startTime(), r.coldUnits(a.Upstream)
	}
	if holds != 0 {
		a.ValidUntil = r.instant(holds)
	}
	if e.StreamsBody {
		a.BodyTimeout, a.OnBodySent = e.Timeout-answerMargin, a.hasLeft
	}
	e.tries = append(e.tries, a)
	e.out++
	r.count.Attempts.Add(1)
	r.send(a)
}

// beginBy is when the window in which a call's repeats are dropped ends: counted from the first of its tries that may have
// run, which left no sooner than it was sent off. The decisions asked as they chose the peer; the connection may be up later
// than that by more than a short window. A reload meanwhile makes it no longer. Zero: no window binds the next try.
func (r *Router) beginBy(e *openCall) time.Time {
	if e.as == nil || e.as.Idempotency != balancer.IdempotencyKeyed {
		return time.Time{}
	}
	for _, a := range e.tries {
		if !a.in || !a.result.Result.NeverRan() {
			return a.begun.Add(min(e.as.DedupWindow, r.set.Classes[e.Class].DedupWindow))
		}
	}
	return time.Time{}
}

// coldUnits is what a try to a peer costs of the fleet's budget for cold ones: the share of its capacity that it has at its
// start, of what it has by now. 0: it is warm, or there is no budget.
func (r *Router) coldUnits(p *Upstream) float64 {
	now, born, set := r.now(), p.startTime(), r.set
	if r.gate == nil || born == 0 || set.SlowStart <= 0 || now-born >= balancer.Time(set.SlowStart) {
		return 0
	}
	least := max(set.InitialCapacity, 0.01)
	age := max(float64(now-born), 0) / float64(set.SlowStart)
	return least / (least + (1-least)*age)
}
