package rules

import (
	"net/http"
	"strings"
	"time"
)

// readinessPath is the request path on which a load balancer in front of the
// nodes checks their readiness.
const readinessPath = "/health/ready"

// Limits of a graceful shutdown.
const (
	// lateArrivalGrace is the duration after SIGTERM in which a node must answer
	// arriving requests. Later requests may stay unanswered.
	lateArrivalGrace = 700 * time.Millisecond
	// maxPlannedDeadline is the maximum duration for which a shutdown waits for the
	// longest deadline of any class.
	maxPlannedDeadline = 3 * time.Second
)

const (
	// heldBackAfter is the time for which a node must have read nothing, for the bytes of a request to be held back.
	heldBackAfter = 200 * time.Millisecond
	// lateAnswerGrace is the time by which the answer to a held-back request may be late. Its client may have written the
	// last byte later than the node can know.
	lateAnswerGrace = 300 * time.Millisecond
)

// clientConn is a connection from a client.
type clientConn struct {
	*conn
	current        *request   // the request that the client is sending
	queue          []*request // unanswered requests, at least partly sent, oldest first
	answering      *request   // the request whose answer the node is sending; nil: none
	announcedClose bool       // an answer announced the close of the connection

	malformedReason    string        // why input must not be served; "": all input may be served
	malformedFrom      int64         // offset from which input must not be served
	malformedTimeLimit time.Duration // time limit for an error or a close
	malformedHandled   bool          // the client got an error or a close, or needs none any more
}

// request handles a scan event in the bytes that the client sends.
func (c *clientConn) request(e scanEvent, m *message) {
	switch e {
	case messageBegun:
		c.current = &request{
			conn:      c,
			start:     c.forward.sent,
			malformed: c.malformedReason != "" && c.forward.sent >= c.malformedFrom,
		}
		c.queue = append(c.queue, c.current)
	case headComplete:
		c.headArrived(c.current, m)
	case messageComplete:
		c.current.end = c.forward.sent
		c.current.body = m.body
		if c.open {
			c.accept(c.current)
		}
	}
}

// headArrived sets the fields of a request from its complete head.
func (c *clientConn) headArrived(r *request, m *message) {
	r.method = m.method
	r.target = m.target
	r.budget = m.budget
	r.class = c.judge.classes[m.class]
	path, _, _ := strings.Cut(m.target, "?")
	r.readiness = path == readinessPath
	if m.idCount == 1 && !r.readiness {
		r.id = m.id
		r.call = c.node.call(m.id)
		r.call.requests = append(r.call.requests, r)
	}
}

// accept marks a complete request as accepted: from now on the node must answer
// it.
func (c *clientConn) accept(r *request) {
	r.accepted = true
	r.acceptedAt = c.judge.now
	if c.backward.ended || c.broken || c.announcedClose {
		c.settle(r) // no answer is required on a connection that is ending
		return
	}
	if r.isLong() {
		c.scheduleHeldBackCheck(r)
	}
}

// scheduleHeldBackCheck schedules the check that a long request is answered in time although its last byte has not
// reached the node's machine, if the node leaves the bytes before it unread.
func (c *clientConn) scheduleHeldBackCheck(r *request) {
	budget := r.budget
	if budget == 0 && r.class != nil {
		budget = r.class.Deadline.D()
	}
	at := r.acceptedAt + budget + lateAnswerGrace + c.judge.config.Slack
	c.judge.schedule(at, func() {
		unread := c.forward.read < c.forward.arrived && at-c.forward.readAt >= heldBackAfter
		if !r.arrived && unread && r.needsAnswer() && !r.reported && c.node.incarnation == c.incarnation {
			r.reported = true
			c.judge.report(Late, at, "%s: call %s has no answer %v after its sending, and its bytes are not read",
				c.id, r.id, at-r.acceptedAt)
		}
	})
}

// opened is called when the connection is established. It accepts the requests
// that were sent before that.
func (c *clientConn) opened() {
	for _, r := range c.queue {
		if r.end > 0 {
			c.accept(r)
		}
	}
	if c.malformedReason != "" {
		c.scheduleErrorCheck()
	}
}

// arrived marks the requests that have reached the node completely. end is true
// if the client's end of sending (FIN) has reached the node as well.
func (c *clientConn) arrived(end bool) {
	for _, r := range c.queue {
		if r.end == 0 || r.end > c.forward.arrived {
			break
		}
		if !r.arrived {
			r.arrived = true
			r.arrivedAt = c.judge.now
		}
	}
	c.scheduleDeadlineCheck()
	if end {
		for _, r := range c.queue {
			r.forbidAttempts(c.judge.now + c.judge.config.Slack)
		}
	}
}

// scheduleDeadlineCheck schedules the check that the oldest unanswered request is
// answered in time.
func (c *clientConn) scheduleDeadlineCheck() {
	if len(c.queue) == 0 {
		return
	}
	r := c.queue[0]
	if !r.arrived || !r.accepted || r.deadlineScheduled {
		return
	}
	r.deadlineScheduled = true
	if r.budget == 0 && r.class != nil {
		r.budget = r.class.Deadline.D()
	}
	if r.budget == 0 || !r.needsAnswer() {
		return
	}
	at := r.acceptedAt + max(r.arrivedAt-r.acceptedAt-c.judge.config.Slack/2, 0)
	if c.judge.now > r.arrivedAt {
		at = c.judge.now // its time starts with the answer to the request before it
	}
	at += r.budget + c.judge.config.Slack
	c.judge.schedule(at, func() { c.checkDeadline(r, at) })
}

// checkDeadline reports a request that has no answer at the end of its time. Of a long answer, the first bytes are
// timed, and one that the peer has truncated has failed.
func (c *clientConn) checkDeadline(r *request, at time.Duration) {
	begun := c.answering == r && (r.call.isAnswering(at, 0) || r.call.truncated())
	if r.needsAnswer() && !begun && !r.reported && c.node.incarnation == c.incarnation {
		r.reported = true
		c.judge.report(Late, at, "%s: call %s has no answer %v after its sending", c.id, r.id, at-r.acceptedAt)
	}
}

// settle marks a request as answered, or as one that needs no answer any more.
func (c *clientConn) settle(r *request) {
	if r.settled {
		return
	}
	r.settled = true
	if r.call != nil && !r.call.expiring {
		r.call.expiring = true
		c.judge.expireLater(c.judge.now, expiry{call: r.call})
	}
}

// answer handles a scan event in the bytes that the node sends to the client.
func (c *clientConn) answer(e scanEvent, m *message) {
	switch e {
	case messageBegun:
		c.answering = nil
		if len(c.queue) > 0 && c.queue[0].start < c.forward.arrived {
			c.answering = c.queue[0]
			c.backward.scan.answersHEAD = c.answering.method == http.MethodHead
		} else if c.malformedReason == "" && !c.forward.malformed {
			c.judge.report(Twice, c.judge.now, "%s: bytes to a client that no request waits for", c.id)
			c.backward.malformed = true
		}
	case messageComplete:
		if m.status >= http.StatusOK {
			c.answered(c.answering, m)
		}
	case malformedMessage:
		if c.answering != nil && c.malformedReason == "" {
			c.judge.report(Wrong, c.judge.now, "%s: the answer to call %s cannot be read", c.id, c.answering.id)
			c.settle(c.answering)
		}
	}
}

// answered checks a complete answer. r is the request that it answers, or nil.
func (c *clientConn) answered(r *request, m *message) {
	c.announcedClose = c.announcedClose || m.close || c.backward.ended
	if c.malformedReason != "" && (r == nil || r.malformed) {
		c.checkMalformedAnswer(m)
	}
	if r == nil {
		return
	}
	c.queue = c.queue[1:]
	settled := r.settled
	c.settle(r)
	r.forbidAttempts(c.judge.now + simultaneityTolerance)
	switch {
	case r.readiness:
		c.checkReadiness(r, m)
	case r.malformed:
	case m.status == http.StatusOK:
		c.checkBody(r, m)
	case !settled:
		c.checkFailure(r, m)
	}
	if c.announcedClose {
		c.settleAccepted()
	}
	c.scheduleDeadlineCheck()
}

// checkMalformedAnswer checks an answer to malformed input: its status must be
// at least 300, and a status of at least 400 is the required error.
func (c *clientConn) checkMalformedAnswer(m *message) {
	if m.status < http.StatusMultipleChoices {
		c.judge.report(Bad, c.judge.now, "%s: served with %d: %s", c.id, m.status, c.malformedReason)
	}
	if m.status >= http.StatusBadRequest {
		c.malformedHandled = true
	}
}

// checkBody checks that the body of an answer with status 200 was sent by a peer
// for the same call.
func (c *clientConn) checkBody(r *request, m *message) {
	if !r.call.hasBody(m.body) {
		c.judge.report(Wrong, c.judge.now, "%s: call %s is served with %d bytes that no peer made for it",
			c.id, r.id, m.body.size)
	}
}

// checkFailure checks an answer with another status than 200 to a call that still needed one.
func (c *clientConn) checkFailure(r *request, m *message) {
	if r.call.isAnswering(c.judge.now, c.judge.config.Slack) {
		c.judge.report(Lost, c.judge.now, "%s: call %s gets status %d while a peer's answer to it arrives", c.id, r.id,
			m.status)
		return
	}
	if m.rejectsCall() && r.call != nil && !r.idempotent() {
		c.checkRejection(r)
	}
}

// checkRejection checks that no attempt of a rejected non-idempotent call has
// run or may run.
func (c *clientConn) checkRejection(r *request) {
	r.rejected = true
	if a := r.call.mayRun(nil); a != nil {
		c.judge.report(Effect, c.judge.now, "%s: call %s is refused, and its try on %s may have run",
			c.id, r.id, a.conn.id)
	}
}

// settleAccepted settles all accepted requests in the queue. It is called after
// an answer that announced the close of the connection.
func (c *clientConn) settleAccepted() {
	for _, r := range c.queue {
		if r.accepted {
			c.settle(r)
		}
	}
}

// idle reports whether the connection is open, not ending, and has no
// unanswered request.
func (c *clientConn) idle() bool {
	ending := c.broken || c.backward.ended || c.forward.ended || c.announcedClose
	return c.open && !ending && len(c.queue) == 0
}

// malformedInput is the reason why input must not be served, and the time limit
// within which the client must get an error or a close.
type malformedInput struct {
	reason    string
	timeLimit time.Duration
}

// markMalformed marks everything that the client sends from now on as malformed.
// Further calls have no effect.
func (c *clientConn) markMalformed(m malformedInput) {
	if c.malformedReason != "" {
		return
	}
	c.malformedReason = m.reason
	c.malformedFrom = c.forward.sent
	c.malformedTimeLimit = m.timeLimit
	if c.open {
		c.scheduleErrorCheck()
	}
}

// scheduleErrorCheck schedules the check that the client has got an error or a close
// within the time limit.
func (c *clientConn) scheduleErrorCheck() {
	at := c.judge.now + c.malformedTimeLimit + c.judge.config.Slack
	c.judge.schedule(at, func() {
		if !c.malformedHandled && c.node.incarnation == c.incarnation {
			c.malformedHandled = true
			c.judge.report(Bad, at, "%s: neither error nor close within %v: %s",
				c.id, c.malformedTimeLimit, c.malformedReason)
		}
	})
}

// nodeEnded is called when the node has ended its sending or closed the
// connection.
func (c *clientConn) nodeEnded() {
	c.malformedHandled = true
	now := c.judge.now
	for _, r := range c.queue {
		r.forbidAttempts(now + simultaneityTolerance)
		if r.needsAnswer() && c.forward.read >= r.end {
			c.reportUnanswered(r, now, r == c.answering)
		}
		c.settle(r)
	}
}

// reportUnanswered reports an unanswered request whose connection the node
// ended. The check is deferred to the end of the instant, because it does not
// apply if the node is killed at the same instant, or if its answer has begun
// and that of the peer turns out to be truncated.
func (c *clientConn) reportUnanswered(r *request, at time.Duration, begun bool) {
	c.judge.schedule(at, func() {
		truncated := begun && r.call.truncated()
		if !r.reported && !truncated && c.node.incarnation == c.incarnation {
			r.reported = true
			c.judge.report(Lost, at, "%s: the node read call %s and ended the connection unanswered",
				c.id, r.id)
		}
	})
}

// clientEnded is called when the client has ended its sending or closed the
// connection.
func (c *clientConn) clientEnded() {
	c.malformedHandled = true
	for _, r := range c.queue {
		c.settle(r)
	}
}

// reset is called when one end of the connection was reset. back is true for the
// node's end: the node then knows that the client is gone, unless unread bytes
// precede the reset.
func (c *clientConn) reset(back bool) {
	c.clientEnded()
	if back && c.forward.read >= c.forward.arrived {
		for _, r := range c.queue {
			r.forbidAttempts(c.judge.now + simultaneityTolerance)
		}
	}
}

// killed checks the unanswered requests of a killed node. They are lost if the
// kill ends a graceful shutdown, unless they arrived shortly after SIGTERM.
func (c *clientConn) killed(at time.Duration) {
	terminatedAt := c.node.terminatedAt
	shutdownComplete := terminatedAt > 0 &&
		at >= terminatedAt+min(c.judge.maxDeadline, maxPlannedDeadline)+lateArrivalGrace
	excusedUntil := terminatedAt + lateArrivalGrace + c.judge.config.Slack
	for _, r := range c.queue {
		if shutdownComplete && r.needsAnswer() && r.arrived && !r.reported && r.acceptedAt > excusedUntil {
			r.reported = true
			c.judge.report(Lost, at, "%s: call %s came %v after SIGTERM and has no answer at the node's end",
				c.id, r.id, r.acceptedAt-terminatedAt)
		}
		c.settle(r)
	}
	c.malformedHandled = true
}
