package balancer

import "time"

// dispatch sends the next attempt of a request, queues the request or gives it up.
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

// mayAttempt reports whether the deadline and the settings allow another attempt of the request. A
// body that was forwarded while being received cannot be sent again.
func (b *Balancer) mayAttempt(r *request) bool {
	if r.attemptCount > 0 && r.streamsBody {
		return false
	}
	return b.now < r.deadline && r.attemptCount < b.settings.MaxAttempts
}

// send is the only function that sends attempts. Its callers have checked the rules. It checks them
// again and panics on a violation, because a duplicate effect cannot be undone.
func (b *Balancer) send(r *request, s *server) {
	if r.finished || b.now >= r.deadline || !b.mayUse(s) || !b.mayRepeat(r, s, r.attemptCount) {
		panic("balancer: send violates the rules for deadline, endpoint list or idempotency")
	}
	b.stopWaiting(r)
	a := &r.attempts[r.attemptCount]
	*a = attempt{server: s, sentAt: b.now, outstanding: true, silenceExplained: r.streamsBody}
	r.attemptCount++
	r.outstanding++
	b.countAttempt(r, s)
	if r.streamsBody {
		a.release() // not in flight until HandleBodySent
	}
	b.host.Send(r.id, s.ID, b.decisionValidUntil(s))
	b.scheduleHedge(r)
}

// countAttempt adds an attempt to the counts of its server and charges its cost to the slow-start
// allowance.
func (b *Balancer) countAttempt(r *request, s *server) {
	if s.load.inFlight == 0 {
		s.activity.silentSince = b.now // the server was idle before
	}
	s.load.inFlight++
	s.load.recentAttempts++
	b.recentAttempts++
	s.slowStart.spent += b.slowStartCost(r)
}

// decisionValidUntil returns the time from which the host must confirm an attempt to server s with
// MayBegin, or 0 for a warm server, which needs no confirmation.
func (b *Balancer) decisionValidUntil(s *server) Time {
	if b.warmth(s) >= 1 {
		return 0
	}
	return s.slowStart.windowEnd
}

// MayBegin reports whether an attempt may begin whose decision has expired (see Host.Send) or whose
// server has restarted since Send. If it may, the attempt is charged to the current slow-start
// window. Without this check, all attempts that waited for a connection would reach a warming
// server at once.
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

// HandleFirstByte handles the first byte of a streamed answer, which shows that the server
// responds.
func (b *Balancer) HandleFirstByte(now Time, id RequestID, attempt int) {
	b.now = now
	if r := b.requests[id]; r != nil && attempt >= 0 && attempt < r.attemptCount {
		r.attempts[attempt].server.activity.silentSince = now
	}
}

// HandleBodyReceived handles the receipt of the last byte of a streamed request body, whether it has
// been sent or not. The client waits for the duration timeout from now on.
func (b *Balancer) HandleBodyReceived(now Time, id RequestID, timeout time.Duration) {
	b.now = now
	r := b.requests[id]
	if r == nil {
		return
	}
	r.deadline = now + Time(timeout)
	r.waitUntil = min(r.waitUntil, r.deadline-Time(deadlineMargin))
}

// HandleBodySent handles the end of a streamed request body. From now on the request counts as in
// flight and the client waits for the duration timeout.
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
