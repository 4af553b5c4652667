package balancer

import "time"

// dispatch sends the next attempt of a request, lets it wait, or gives it up.
func (b *Balancer) dispatch(r *request) {
	if b.mayAttempt(r) {
		if s := b.selectServer(r); s != nil {
			b.send(r, s)
			return
		}
	}
	if r.outstanding == 0 && !b.waitForCapacity(r) {
		b.giveUp(r)
	}
}

// mayAttempt reports whether time and settings leave the request an attempt. A
// body that was passed on as it came cannot be sent again.
func (b *Balancer) mayAttempt(r *request) bool {
	if r.attemptCount > 0 && r.streamsBody {
		return false
	}
	return b.now < r.deadline && r.attemptCount < b.settings.MaxAttempts
}

// send is the one place from which attempts leave. Its callers have checked the
// rules; it checks again, as an effect that ran twice cannot be taken back.
func (b *Balancer) send(r *request, s *server) {
	if r.finished || b.now >= r.deadline || !b.mayUse(s) || !b.mayRepeat(r, s, r.attemptCount) {
		panic("balancer: a send that breaks a rule")
	}
	b.stopWaiting(r)
	a := &r.attempts[r.attemptCount]
	*a = attempt{server: s, sentAt: b.now, outstanding: true, silenceExplained: r.streamsBody}
	r.attemptCount++
	r.outstanding++
	b.countAttempt(r, s)
	if r.streamsBody {
		a.release() // until HandleBodySent
	}
	b.host.Send(r.id, s.ID, b.decisionValidUntil(s))
	b.scheduleHedge(r)
}

// countAttempt counts an attempt at its server and against the slow-start
// allowance.
func (b *Balancer) countAttempt(r *request, s *server) {
	if s.load.inFlight == 0 {
		s.activity.silentSince = b.now // silence counts from here
	}
	s.load.inFlight++
	s.load.recentAttempts++
	b.recentAttempts++
	s.slowStart.spent += b.slowStartCost(r)
}

// decisionValidUntil is when a decision for a server has to be confirmed by
// MayBegin; 0: never, for a warm one.
func (b *Balancer) decisionValidUntil(s *server) Time {
	if b.warmth(s) >= 1 {
		return 0
	}
	return s.slowStart.windowEnd
}

// MayBegin is asked for an attempt whose decision has expired (see Host.Send), or
// whose server has restarted since. It reports whether the attempt may begin, and
// then charges it to the present slow-start window. Without this, all attempts that
// waited for a connection would reach a warming server at once.
func (b *Balancer) MayBegin(now Time, id RequestID, attempt int) bool {
	b.now = now
	r := b.requests[id]
	if r == nil || r.finished || now >= r.deadline {
		return false
	}
	a := r.outstandingAttempt(attempt)
	if a == nil || !b.mayUse(a.server) || !b.mayRepeat(r, a.server, attempt) || !b.admitsSlowStart(a.server, r) {
		return false
	}
	a.server.slowStart.spent += b.slowStartCost(r)
	return true
}

// HandleFirstByte takes the news that a streamed answer has begun: the server
// is heard from.
func (b *Balancer) HandleFirstByte(now Time, id RequestID, attempt int) {
	b.now = now
	if r := b.requests[id]; r != nil && attempt >= 0 && attempt < r.attemptCount {
		r.attempts[attempt].server.activity.silentSince = now
	}
}

// HandleBodySent takes the news that the last byte of a streamed request body
// has left: from now on the request is in flight and has timeout left.
func (b *Balancer) HandleBodySent(now Time, id RequestID, attempt int, timeout time.Duration) {
	b.now = now
	r := b.requests[id]
	if r == nil {
		return
	}
	a := r.outstandingAttempt(attempt)
	if a == nil || !a.silenceExplained {
		return
	}
	a.released = false
	a.silenceExplained = false
	a.sentAt = now
	r.arrivedAt = now
	r.deadline = now + Time(timeout)
	a.server.load.inFlight++
	a.server.activity.silentSince = now
}
