package rules

import (
	"slices"
	"time"
)

// probePath is a peer's own health, the one thing that may be asked without an id.
const probePath = "/health/live"

// call is all that a node does for one call id.
type call struct {
	id       string
	node     *node
	requests []*request
	tries    []*try // written whole
	bodies   []digest
	refused  bool // with a 429 or 503, and it must not run twice
	leaving  bool // it stands among what is to be forgotten
}

// call finds a call, or begins one.
func (n *node) call(id string) *call {
	k := n.calls[id]
	if k == nil {
		k = &call{id: id, node: n}
		n.calls[id] = k
	}
	return k
}

// made reports whether a peer made this body for the call. It may be called on nil.
func (k *call) made(body digest) bool { return k != nil && slices.Contains(k.bodies, body) }

// mayRun is a try other than t that has run or may; nil: none.
func (k *call) mayRun(t *try) *try {
	for _, u := range k.tries {
		if u != t && !u.never {
			return u
		}
	}
	return nil
}

// torn reports whether an answer of a peer's broke off. It may be called on nil.
func (k *call) torn() bool {
	return k != nil && slices.ContainsFunc(k.tries, func(t *try) bool { return t.torn })
}

// busy reports whether anything of a call is still open.
func (k *call) busy() bool {
	return slices.ContainsFunc(k.requests, func(r *request) bool { return !r.settled }) ||
		slices.ContainsFunc(k.tries, (*try).out)
}

// drop forgets a call.
func (j *Judge) drop(k *call) {
	if k.node.calls[k.id] == k {
		delete(k.node.calls, k.id)
	}
	some := slices.DeleteFunc(j.sent[k.id], func(t *try) bool { return t.call == k })
	if j.sent[k.id] = some; len(some) == 0 {
		delete(j.sent, k.id)
	}
}

// try is one request to a peer.
type try struct {
	conn    *peerConn
	call    *call // nil: a probe, or what nobody asked for
	start   int64 // offset
	begunAt time.Duration
	sentAt  time.Duration
	sent    bool          // written whole
	start0  time.Duration // the peer's last start that the node had been told of
	over    bool          // the peer has answered, or the connection is over
	never   bool          // it is proved not to have run
	torn    bool          // its answer broke off
}

// out reports whether a peer still has a try to answer.
func (t *try) out() bool { return !t.over && t.conn.node.life == t.conn.life }

// peerConn is a connection from a node to a peer.
type peerConn struct {
	*conn
	name    string // the peer's, as it came up
	cur     *try   // being sent
	open    []*try // begun, and no answer has begun to be sent
	at      *try   // whose answer is being sent; nil: nobody's
	answers []peerAnswer
}

// peerAnswer is a whole answer on its way to a node.
type peerAnswer struct {
	try    *try
	end    int64 // offset
	status int
	never  bool
	body   digest
}

// request meets what a node sends to a peer.
func (c *peerConn) request(e event, m *message) {
	switch e {
	case begun:
		c.cur = &try{conn: c, start: c.fwd.sent, begunAt: c.j.now, over: c.broken || c.back.ended}
		c.open = append(c.open, c.cur)
	case whole:
		c.cur.sent, c.cur.sentAt = true, c.j.now
		c.judge(c.cur, m)
	case spoilt:
		c.j.breaks(Hidden, c.j.now, "%s: what is sent to peer %s cannot be read", c.id, c.name)
	}
}

// judge looks at a try that was written whole.
func (c *peerConn) judge(t *try, m *message) {
	j := c.j
	j.idle(c.node)
	j.suspended(c, t)
	switch {
	case m.ids == 0 && j.c.Contract.Probes && m.method == "GET" && m.target == probePath:
		return
	case m.ids != 1:
		j.breaks(Hidden, j.now, "%s: %s %.80q to peer %s with %d call ids",
			c.id, m.method, m.target, c.name, m.ids)
		return
	}
	k := c.node.calls[m.id]
	if k == nil {
		j.breaks(Hidden, j.now, "%s: call %s to peer %s, and no client asked for it", c.id, m.id, c.name)
		return
	}
	r := c.asked(t, k, m)
	if r == nil {
		return
	}
	t.call = k
	t.start0 = c.node.told.start(c.name)
	c.count(t, k, r)
	j.drained(c, t)
	j.tries, j.used[c.name] = j.tries+1, t.begunAt
	k.tries = append(k.tries, t)
	j.sent[k.id] = append(j.sent[k.id], t)
}

// asked finds the request that a try is for; nil: it must not be sent.
func (c *peerConn) asked(t *try, k *call, m *message) *request {
	j := c.j
	var some, over *request
	for _, r := range k.requests {
		switch {
		case !r.taken || r.takenAt > t.begunAt:
		case r.method != m.method || r.target != m.target || r.body != m.body:
		case r.closed && t.begunAt > r.closedAt:
			over = r
		case some == nil || some.bad:
			some = r
		}
	}
	switch {
	case some != nil && some.bad:
		j.breaks(Bad, j.now, "%s: call %s is tried on peer %s: %s", c.id, k.id, c.name, some.conn.bad)
	case some != nil:
		return some
	case over != nil:
		j.breaks(Hidden, j.now, "%s: call %s is tried on peer %s %v after it was over",
			c.id, k.id, c.name, t.begunAt-over.closedAt)
	default:
		j.breaks(Hidden, j.now, "%s: call %s to peer %s is not as its client sent it", c.id, k.id, c.name)
	}
	return nil
}

// count holds a try against the earlier ones.
func (c *peerConn) count(t *try, k *call, r *request) {
	j, limit := c.j, c.j.c.Contract.TryLimit
	if limit > 0 && len(k.tries) == limit {
		j.breaks(Effect, j.now, "%s: call %s is tried more than %d times", c.id, k.id, limit)
	}
	if !r.safe() {
		if u := k.mayRun(t); u != nil {
			j.breaks(Effect, j.now, "%s: call %s is tried again on peer %s, and its try on %s may have run",
				c.id, k.id, c.name, u.conn.id)
			return
		}
		if k.refused {
			j.breaks(Effect, j.now, "%s: call %s is tried on peer %s after its refusal", c.id, k.id, c.name)
			return
		}
	}
	if j.c.Contract.SecondCopies {
		return
	}
	for _, u := range k.tries {
		if u.out() {
			at := j.now
			j.once(at+instant, func() {
				if u.out() {
					j.breaks(Effect, at, "%s: call %s is tried on peer %s while its try on %s is out",
						c.id, k.id, c.name, u.conn.id)
				}
			})
		}
	}
}

// answer meets what a peer sends. What begins before any byte of a try has
// reached it is the answer to none.
func (c *peerConn) answer(e event, m *message) {
	switch e {
	case begun:
		c.at = nil
		if len(c.open) > 0 && c.open[0].start < c.fwd.arrived {
			c.at = c.open[0]
		}
	case whole:
		if c.at == nil || m.status < 200 {
			return
		}
		c.open = c.open[1:]
		c.answers = append(c.answers, peerAnswer{
			try: c.at, end: c.back.sent, status: m.status, body: m.body,
			never: m.rejected && (m.status == 503 || m.status == 504),
		})
		c.at.over = true
		c.at = nil
		c.arrived()
	}
}

// arrived takes in the answers that have come whole to the node.
func (c *peerConn) arrived() {
	for len(c.answers) > 0 && c.answers[0].end <= c.back.arrived {
		a := c.answers[0]
		c.answers = c.answers[1:]
		a.try.never = a.never
		if k := a.try.call; k != nil && a.status == 200 {
			k.bodies = append(k.bodies, a.body)
		}
	}
}

// ended: the connection is over at one side, by byNode at the node's.
func (c *peerConn) ended(byNode bool) {
	if c.at != nil && !byNode {
		c.at.torn = true
	}
	for _, t := range c.open {
		t.over = true
	}
	if byNode {
		c.answers = nil // what comes now is not read
	}
}
