package rules

import (
	"strings"
	"time"

	"olivebridge/internal/lab/world"
)

// readyPath is where the front asks a node whether it is ready: no call.
const readyPath = "/health/ready"

// Figures of a planned end.
const (
	lastCalls  = 700 * time.Millisecond // calls that come later after SIGTERM are at the node's own risk
	mostLonger = 3 * time.Second        // no deadline counts for more
)

// request is what a client sent.
type request struct {
	conn       *clientConn
	id         string
	method     string
	target     string
	class      *world.Class
	body       digest
	budget     time.Duration
	call       *call // nil: it has no id
	start, end int64 // offsets; end 0: not whole yet
	bad        bool  // it must not be served
	ready      bool  // it asks for readiness

	taken    bool // whole, and the connection is open
	takenAt  time.Duration
	arrived  bool
	cameAt   time.Duration
	clocked  bool // its time runs
	settled  bool // answered, or nothing is owed any more
	reported bool
	closed   bool // no try may begin any more
	closedAt time.Duration
}

// owed reports whether the node still owes an answer.
func (r *request) owed() bool { return r.taken && !r.settled && !r.bad && !r.ready && r.conn.bad == "" }

// shut keeps further tries from beginning.
func (r *request) shut(at time.Duration) {
	if !r.closed {
		r.closed, r.closedAt = true, at
	}
}

// clientConn is a connection from a client.
type clientConn struct {
	*conn
	cur       *request   // being sent
	queue     []*request // sent at least in part, and not answered
	answering *request
	last      bool // an answer announced the connection's end

	bad     string // why what comes from here on must not be served
	badFrom int64
	badFor  time.Duration
	badDone bool // it got its error, or its close
}

// request meets what a client sends.
func (c *clientConn) request(e event, m *message) {
	switch e {
	case begun:
		c.cur = &request{conn: c, start: c.fwd.sent, bad: c.bad != "" && c.fwd.sent >= c.badFrom}
		c.queue = append(c.queue, c.cur)
	case headed:
		r := c.cur
		r.method, r.target, r.budget, r.class = m.method, m.target, m.budget, c.j.classes[m.class]
		path, _, _ := strings.Cut(m.target, "?")
		r.ready = path == readyPath
		if m.ids == 1 && !r.ready {
			r.id = m.id
			r.call = c.node.call(m.id)
			r.call.requests = append(r.call.requests, r)
		}
	case whole:
		r := c.cur
		r.end, r.body = c.fwd.sent, m.body
		if c.open {
			c.take(r)
		}
	}
}

// take counts a request as taken.
func (c *clientConn) take(r *request) {
	r.taken, r.takenAt = true, c.j.now
	if c.back.ended || c.broken || c.last {
		c.settle(r) // it crossed the connection's end
	}
}

func (c *clientConn) opened() {
	for _, r := range c.queue {
		if r.end > 0 {
			c.take(r)
		}
	}
	if c.bad != "" {
		c.expectError()
	}
}

// arrived looks for requests that have come whole to the node.
func (c *clientConn) arrived(end bool) {
	for _, r := range c.queue {
		if r.end == 0 || r.end > c.fwd.arrived {
			break
		}
		if !r.arrived {
			r.arrived, r.cameAt = true, c.j.now
		}
	}
	c.runClock()
	if end { // the node has heard that its client left
		for _, r := range c.queue {
			r.shut(c.j.now + c.j.c.Slack)
		}
	}
}

// runClock starts the time of the request that is next to be answered.
func (c *clientConn) runClock() {
	if len(c.queue) == 0 || !c.queue[0].arrived || !c.queue[0].taken || c.queue[0].clocked {
		return
	}
	r := c.queue[0]
	r.clocked = true
	if r.budget == 0 && r.class != nil {
		r.budget = r.class.Deadline.D()
	}
	if r.budget == 0 || !r.owed() {
		return
	}
	at := r.takenAt + max(r.cameAt-r.takenAt-c.j.c.Slack/2, 0)
	if c.j.now > r.cameAt {
		at = c.j.now // it stood behind another
	}
	at += r.budget + c.j.c.Slack
	c.j.once(at, func() {
		if r.owed() && !r.reported && c.node.life == c.life {
			r.reported = true
			c.j.breaks(Late, at, "%s: call %s has no answer %v after its sending", c.id, r.id, at-r.takenAt)
		}
	})
}

// settle frees the node of a request.
func (c *clientConn) settle(r *request) {
	if r.settled {
		return
	}
	r.settled = true
	if r.call != nil && !r.call.leaving {
		r.call.leaving = true
		c.j.forget(c.j.now, ended{call: r.call})
	}
}

// answer meets what a node sends to a client.
func (c *clientConn) answer(e event, m *message) {
	switch e {
	case begun:
		c.answering = nil
		if len(c.queue) > 0 && c.queue[0].start < c.fwd.arrived {
			c.answering = c.queue[0]
			c.back.scan.empty = c.answering.method == "HEAD"
		} else if c.bad == "" && !c.fwd.spoilt {
			c.j.breaks(Twice, c.j.now, "%s: bytes to a client that no request waits for", c.id)
			c.back.spoilt = true
		}
	case whole:
		if m.status >= 200 {
			c.answered(c.answering, m)
		}
	case spoilt:
		if c.answering != nil && c.bad == "" {
			c.j.breaks(Wrong, c.j.now, "%s: the answer to call %s cannot be read", c.id, c.answering.id)
			c.settle(c.answering)
		}
	}
}

// answered judges a whole answer.
func (c *clientConn) answered(r *request, m *message) {
	j := c.j
	c.last = c.last || m.last || c.back.ended
	if c.bad != "" && (r == nil || r.bad) {
		if m.status < 300 {
			j.breaks(Bad, j.now, "%s: served with %d: %s", c.id, m.status, c.bad)
		}
		c.badDone = c.badDone || m.status >= 400
	}
	if r == nil {
		return
	}
	c.queue = c.queue[1:]
	settled := r.settled
	c.settle(r)
	r.shut(j.now + instant)
	switch {
	case r.ready:
		c.asReady(r, m)
	case r.bad:
	case m.status == 200 && !r.call.made(m.body):
		j.breaks(Wrong, j.now, "%s: call %s is served with %d bytes that no peer made for it",
			c.id, r.id, m.body.size)
	case (m.status == 429 || m.status == 503) && r.call != nil && !settled && !r.safe():
		r.call.refused = true
		if t := r.call.mayRun(nil); t != nil {
			j.breaks(Effect, j.now, "%s: call %s is refused, and its try on %s may have run",
				c.id, r.id, t.conn.id)
		}
	}
	if c.last {
		for _, r := range c.queue {
			if r.taken {
				c.settle(r)
			}
		}
	}
	c.runClock()
}

// badMark says what must not be served.
type badMark struct {
	why    string
	within time.Duration
}

// mark lets nothing be served that is sent from here on.
func (c *clientConn) mark(m badMark) {
	if c.bad != "" {
		return
	}
	c.bad, c.badFrom, c.badFor = m.why, c.fwd.sent, m.within
	if c.open {
		c.expectError()
	}
}

// expectError gives the node its time for an error or a close.
func (c *clientConn) expectError() {
	at := c.j.now + c.badFor + c.j.c.Slack
	c.j.once(at, func() {
		if !c.badDone && c.node.life == c.life {
			c.badDone = true
			c.j.breaks(Bad, at, "%s: neither error nor close within %v: %s", c.id, c.badFor, c.bad)
		}
	})
}

// safe reports whether a request may run twice.
func (r *request) safe() bool {
	if r.class == nil {
		return r.method == "GET"
	}
	return r.class.Safe
}

// nodeEnded: the node has ended its sending, or closed.
func (c *clientConn) nodeEnded() {
	c.badDone = true
	now := c.j.now
	for _, r := range c.queue {
		r.shut(now + instant)
		if r.owed() && c.fwd.read >= r.end && !(r == c.answering && r.call.torn()) {
			c.j.once(now, func() { // a kill at this instant is none of the node's doing
				if !r.reported && c.node.life == c.life {
					r.reported = true
					c.j.breaks(Lost, now, "%s: the node read call %s and ended the connection unanswered",
						c.id, r.id)
				}
			})
		}
		c.settle(r)
	}
}

// left: the client has ended its sending, or closed.
func (c *clientConn) left() {
	c.badDone = true
	for _, r := range c.queue {
		c.settle(r)
	}
}

// broke: one end was reset; at the node's, it knows that its client is gone,
// unless bytes of a next request that it has not read stand before the reset.
func (c *clientConn) broke(back bool) {
	c.left()
	if back && c.fwd.read >= c.fwd.arrived {
		for _, r := range c.queue {
			r.shut(c.j.now + instant)
		}
	}
}

// killed judges what a killed node leaves: only a planned end must leave nothing.
func (c *clientConn) killed(at time.Duration) {
	term := c.node.term
	planned := term > 0 && at >= term+min(c.j.longest, mostLonger)+lastCalls
	for _, r := range c.queue {
		if planned && r.owed() && r.arrived && !r.reported && r.takenAt > term+lastCalls+c.j.c.Slack {
			r.reported = true
			c.j.breaks(Lost, at, "%s: call %s came %v after SIGTERM and has no answer at the node's end",
				c.id, r.id, r.takenAt-term)
		}
		c.settle(r)
	}
	c.badDone = true
}
