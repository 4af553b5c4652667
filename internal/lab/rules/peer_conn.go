package rules

import (
	"net/http"
	"time"
)

// healthCheckPath is the request path of health checks. They are the only
// requests to a peer that may have no call ID.
const healthCheckPath = "/health/live"

// peerConn is a connection from a node to a peer.
type peerConn struct {
	*conn
	name       string       // name of the peer when the connection was established
	current    *attempt     // the attempt that the node is sending
	unanswered []*attempt   // begun and without a complete answer, oldest first
	answering  *attempt     // the attempt whose answer the peer is sending; nil: none
	answers    []peerAnswer // sent completely and not yet arrived

	arrivedBytes  int64         // offset up to which bytes have reached the node
	lastArrivalAt time.Duration // when the last of them did
}

// maxAnswerPause is the time for which a node must wait for the next bytes of an answer in parts.
const maxAnswerPause = 1850 * time.Millisecond

// peerCall names the attempt of a call at a peer.
type peerCall struct{ peer, call string }

// peerAnswer is a complete answer on its way to a node.
type peerAnswer struct {
	attempt  *attempt
	end      int64 // offset of its last byte
	status   int
	neverRan bool // the answer proves that the attempt has not run
	body     digest
}

// request handles a scan event in the bytes that the node sends to the peer.
func (c *peerConn) request(e scanEvent, m *message) {
	switch e {
	case messageBegun:
		c.current = &attempt{
			conn:        c,
			startOffset: c.forward.sent,
			begunAt:     c.judge.now,
			finished:    c.broken || c.backward.ended,
		}
		c.unanswered = append(c.unanswered, c.current)
	case messageComplete:
		c.checkAttempt(c.current, m)
	case malformedMessage:
		c.judge.report(Hidden, c.judge.now, "%s: what is sent to peer %s cannot be read", c.id, c.name)
	}
}

// checkAttempt checks a completely written attempt or health check, and records
// a valid attempt.
func (c *peerConn) checkAttempt(a *attempt, m *message) {
	j := c.judge
	j.assumeNotifiedWhenIdle(c.node)
	j.checkSuspended(c, a)
	switch {
	case m.idCount == 0 && j.config.Contract.Probes && m.method == http.MethodGet && m.target == healthCheckPath:
		return
	case m.idCount != 1:
		j.report(Hidden, j.now, "%s: %s %.80q to peer %s with %d call ids",
			c.id, m.method, m.target, c.name, m.idCount)
		return
	}
	k := c.node.calls[m.id]
	if k == nil {
		j.report(Hidden, j.now, "%s: call %s to peer %s, and no client asked for it", c.id, m.id, c.name)
		return
	}
	r := c.matchRequest(a, k, m)
	if r == nil {
		return
	}
	a.call = k
	a.notifiedStart = c.node.view.startOf(c.name)
	c.checkRetry(a, k, r)
	j.checkDrain(c, a)
	j.attempts++
	j.lastUsed[c.name] = a.begunAt
	k.attempts = append(k.attempts, a)
	j.sentAttempts[k.id] = append(j.sentAttempts[k.id], a)
}

// matchRequest finds the request that an attempt forwards. It returns nil, and
// reports the violation, if no request allows the attempt.
func (c *peerConn) matchRequest(a *attempt, k *call, m *message) *request {
	j := c.judge
	found, finished := k.findRequest(a, m)
	switch {
	case found != nil && found.malformed:
		j.report(Bad, j.now, "%s: call %s is tried on peer %s: %s", c.id, k.id, c.name, found.conn.malformedReason)
	case found != nil:
		return found
	case finished != nil:
		j.report(Hidden, j.now, "%s: call %s is tried on peer %s %v after it was over",
			c.id, k.id, c.name, a.begunAt-finished.forbiddenSince)
	default:
		j.report(Hidden, j.now, "%s: call %s to peer %s is not as its client sent it", c.id, k.id, c.name)
	}
	return nil
}

// findRequest returns the request of the call that an attempt forwards, and one
// that it would forward if further attempts of that request were not forbidden.
// Either may be nil.
func (k *call) findRequest(a *attempt, m *message) (found, finished *request) {
	for _, r := range k.requests {
		switch {
		case !r.accepted || !r.isLong() && r.acceptedAt > a.begunAt: // a long body is forwarded while it arrives
		case r.method != m.method || r.target != m.target || r.body != m.body:
		case r.attemptsForbidden && a.begunAt > r.forbiddenSince:
			finished = r
		case found == nil || found.malformed || found.rejected:
			found = r
		}
	}
	return found, finished
}

// checkRetry checks that the earlier attempts of a call permit another one.
func (c *peerConn) checkRetry(a *attempt, k *call, r *request) {
	j := c.judge
	limit := j.config.Contract.TryLimit
	if limit > 0 && k.attemptsOf(r) == limit {
		j.report(Effect, j.now, "%s: call %s is tried more than %d times", c.id, k.id, limit)
	}
	if !r.idempotent() {
		if earlier := k.mayRun(a); earlier != nil {
			j.report(Effect, j.now, "%s: call %s is tried again on peer %s, and its try on %s may have run",
				c.id, k.id, c.name, earlier.conn.id)
			return
		}
		if r.rejected {
			j.report(Effect, j.now, "%s: call %s is tried on peer %s after its refusal", c.id, k.id, c.name)
			return
		}
	}
	if !j.config.Contract.SecondCopies {
		c.checkHedging(k)
	}
}

// checkHedging checks that no earlier attempt of a call is in flight, or that
// each ends within the tolerance for simultaneous actions.
func (c *peerConn) checkHedging(k *call) {
	j := c.judge
	at := j.now
	for _, earlier := range k.attempts {
		if !earlier.inFlight() {
			continue
		}
		j.schedule(at+simultaneityTolerance, func() {
			if earlier.inFlight() {
				j.report(Effect, at, "%s: call %s is tried on peer %s while its try on %s is out",
					c.id, k.id, c.name, earlier.conn.id)
			}
		})
	}
}

// answer handles a scan event in the bytes that the peer sends. An answer that
// begins before any byte of the attempt has reached the peer belongs to no
// attempt.
func (c *peerConn) answer(e scanEvent, m *message) {
	switch e {
	case messageBegun:
		c.answering = nil
		if len(c.unanswered) > 0 && c.unanswered[0].startOffset < c.forward.arrived {
			c.answering = c.unanswered[0]
		}
	case messageComplete:
		if c.answering == nil || m.status < http.StatusOK {
			return
		}
		c.unanswered = c.unanswered[1:]
		c.answers = append(c.answers, peerAnswer{
			attempt:  c.answering,
			end:      c.backward.sent,
			status:   m.status,
			neverRan: m.provesAttemptNotRun(),
			body:     m.body,
		})
		c.answering.finished = true
		c.answering = nil
		c.arrived()
	}
}

// arrived handles the answers that have reached the node completely.
func (c *peerConn) arrived() {
	if c.backward.arrived > c.arrivedBytes {
		c.arrivedBytes = c.backward.arrived
		c.lastArrivalAt = c.judge.now
	}
	if c.answering != nil {
		c.answering.noteAnswerHead(c.backward.arrived, c.judge.now)
	}
	for _, a := range c.answers {
		a.attempt.noteAnswerHead(c.backward.arrived, c.judge.now)
	}
	for len(c.answers) > 0 && c.answers[0].end <= c.backward.arrived {
		a := c.answers[0]
		c.answers = c.answers[1:]
		a.attempt.neverRan = a.neverRan
		k := a.attempt.call
		if k != nil && a.status == http.StatusOK && !c.judge.misframed[peerCall{c.name, k.id}] {
			k.bodies = append(k.bodies, a.body)
		}
	}
}

// closed is called when one side has ended its sending or the connection was
// reset. byNode is true if it was the node.
func (c *peerConn) closed(byNode bool) {
	silent := c.judge.now-c.lastArrivalAt >= maxAnswerPause // the node need not wait longer
	if c.answering != nil && (!byNode || silent) {
		c.answering.truncated = true
	}
	for _, a := range c.answers { // sent, but the network holds their bytes or has lost them
		a.attempt.truncated = a.attempt.truncated || silent || c.broken
	}
	for _, a := range c.unanswered {
		a.finished = true
	}
	if byNode {
		c.answers = nil // the node does not read answers that arrive from now on
	}
}
