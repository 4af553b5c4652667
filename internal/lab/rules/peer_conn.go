package rules

import "net/http"

// healthCheckPath is where nodes check the health of a peer, the one request
// to a peer without a call ID.
const healthCheckPath = "/health/live"

// peerConn is a connection from a node to a peer.
type peerConn struct {
	*conn
	name       string     // of the peer, when the connection came up
	current    *attempt   // being sent
	unanswered []*attempt // begun, and no answer has begun to be sent
	answering  *attempt   // whose answer is being sent; nil: nobody's
	answers    []peerAnswer
}

// peerAnswer is a complete answer on its way to a node.
type peerAnswer struct {
	attempt  *attempt
	end      int64 // offset of its last byte
	status   int
	neverRan bool // it proves that the attempt has not run
	body     digest
}

// request takes in what a node sends to a peer.
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

// checkAttempt checks an attempt that was written completely.
func (c *peerConn) checkAttempt(a *attempt, m *message) {
	j := c.judge
	j.assumeKnownWhenIdle(c.node)
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
	a.knownStart = c.node.view.startOf(c.name)
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
	found, over := k.findRequest(a, m)
	switch {
	case found != nil && found.malformed:
		j.report(Bad, j.now, "%s: call %s is tried on peer %s: %s", c.id, k.id, c.name, found.conn.malformedReason)
	case found != nil:
		return found
	case over != nil:
		j.report(Hidden, j.now, "%s: call %s is tried on peer %s %v after it was over",
			c.id, k.id, c.name, a.begunAt-over.forbiddenSince)
	default:
		j.report(Hidden, j.now, "%s: call %s to peer %s is not as its client sent it", c.id, k.id, c.name)
	}
	return nil
}

// findRequest finds the request of a call that an attempt forwards, and one
// that it would forward if the request were not over.
func (k *call) findRequest(a *attempt, m *message) (found, over *request) {
	for _, r := range k.requests {
		switch {
		case !r.accepted || r.acceptedAt > a.begunAt:
		case r.method != m.method || r.target != m.target || r.body != m.body:
		case r.attemptsForbidden && a.begunAt > r.forbiddenSince:
			over = r
		case found == nil || found.malformed:
			found = r
		}
	}
	return found, over
}

// checkRetry checks an attempt against the earlier ones of its call.
func (c *peerConn) checkRetry(a *attempt, k *call, r *request) {
	j := c.judge
	limit := j.config.Contract.TryLimit
	if limit > 0 && len(k.attempts) == limit {
		j.report(Effect, j.now, "%s: call %s is tried more than %d times", c.id, k.id, limit)
	}
	if !r.idempotent() {
		if earlier := k.mayRun(a); earlier != nil {
			j.report(Effect, j.now, "%s: call %s is tried again on peer %s, and its try on %s may have run",
				c.id, k.id, c.name, earlier.conn.id)
			return
		}
		if k.rejected {
			j.report(Effect, j.now, "%s: call %s is tried on peer %s after its refusal", c.id, k.id, c.name)
			return
		}
	}
	if !j.config.Contract.SecondCopies {
		c.checkHedging(k)
	}
}

// checkHedging checks that no earlier attempt of a call is in flight, nor ends
// only later than what a node does at once.
func (c *peerConn) checkHedging(k *call) {
	j := c.judge
	at := j.now
	for _, earlier := range k.attempts {
		if !earlier.inFlight() {
			continue
		}
		j.schedule(at+instant, func() {
			if earlier.inFlight() {
				j.report(Effect, at, "%s: call %s is tried on peer %s while its try on %s is out",
					c.id, k.id, c.name, earlier.conn.id)
			}
		})
	}
}

// answer takes in what a peer sends. What begins before any byte of an attempt
// has reached the peer is the answer to none.
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
			neverRan: m.provesNotRun(),
			body:     m.body,
		})
		c.answering.finished = true
		c.answering = nil
		c.arrived()
	}
}

// arrived takes in the answers that have reached the node completely.
func (c *peerConn) arrived() {
	for len(c.answers) > 0 && c.answers[0].end <= c.backward.arrived {
		a := c.answers[0]
		c.answers = c.answers[1:]
		a.attempt.neverRan = a.neverRan
		if k := a.attempt.call; k != nil && a.status == http.StatusOK {
			k.bodies = append(k.bodies, a.body)
		}
	}
}

// closed: the connection is over at one side, the node's or the peer's.
func (c *peerConn) closed(byNode bool) {
	if c.answering != nil && !byNode {
		c.answering.truncated = true
	}
	for _, a := range c.unanswered {
		a.finished = true
	}
	if byNode {
		c.answers = nil // the node does not read what arrives now
	}
}
