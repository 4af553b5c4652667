package client

import (
	"errors"
	"slices"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/http1"
	"olivebridge/internal/lab/link"
)

// conn is a client's connection to a node. It has at most one attempt in flight, or
// two if the group pipelines.
type conn struct {
	group           *Group
	link            link.Conn
	addr            string
	parser          *http1.Parser
	inFlight        []*attempt // attempts without a response, in the order of sending
	connected       bool
	partialResponse bool // bytes were received since the last complete response
	keepUnused      bool // the connection stays open after one request and is never used again
	noReuse         bool // the connection gets no further request
	closed          bool
}

// assignConn assigns a connection to an attempt: a new one if the attempt is fresh or
// resent, else one to share if it may pipeline, else an idle one, else a new one.
// If the limits on connections are reached, the attempt waits.
func (c *Group) assignConn(t *attempt) {
	if !c.tryAssign(t) {
		c.waiting = append(c.waiting, t)
	}
}

func (c *Group) tryAssign(t *attempt) bool {
	if !t.fresh && !t.resent {
		if k := c.reuse(t); k != nil {
			k.assign(t)
			return true
		}
	}
	return c.dial(t)
}

func (c *Group) reuse(t *attempt) *conn {
	if t.pipelined {
		for _, k := range c.conns {
			if k.connected && !k.noReuse && !k.keepUnused && len(k.inFlight) == 1 && k.inFlight[0].sent {
				return k
			}
		}
	}
	if n := len(c.idle); n > 0 {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return k
	}
	return nil
}

// maxPicks is the maximum number of times the front is asked for a node to which
// the group may open one more connection.
const maxPicks = 4

func (c *Group) dial(t *attempt) bool {
	for range maxPicks {
		addr, ok := c.env.Front.Pick(c.config.Zone, t.draws)
		if !ok {
			t.finish(unreached, 0)
			return true
		}
		if c.config.Conns > 0 && c.connCounts[addr] >= c.config.Conns {
			continue
		}
		c.connCounts[addr]++
		k := &conn{group: c, addr: addr, parser: http1.NewResponseParser(), noReuse: t.fresh, inFlight: []*attempt{t}}
		t.conn = k
		c.conns = append(c.conns, k)
		k.link = c.env.Fabric.Dial(c.config.Name, addr, dialTimeout, k)
		k.keepUnused = figure.Stream(c.env.Seed, "keeps "+k.link.ID()).Float64() < c.config.Keep
		return true
	}
	return false
}

// detach removes an attempt from its connection. assignWaiting removes ended
// attempts from the waiting ones.
func (c *Group) detach(t *attempt) {
	if k := t.conn; k != nil {
		k.inFlight = slices.DeleteFunc(k.inFlight, func(o *attempt) bool { return o == t })
		t.conn = nil
	}
}

// assignWaiting assigns connections to waiting attempts, in order, until one finds none.
func (c *Group) assignWaiting() {
	if c.assigning { // an attempt may end as soon as it is assigned, which calls this method again
		return
	}
	c.assigning = true
	defer func() { c.assigning = false }()
	for len(c.waiting) > 0 {
		waiting := c.waiting
		t := waiting[0]
		c.waiting = waiting[1:]
		if !t.ended && !c.tryAssign(t) {
			c.waiting = waiting
			return
		}
		waiting[0] = nil
	}
}

func (k *conn) assign(t *attempt) {
	t.conn = k
	k.inFlight = append(k.inFlight, t)
	t.send()
}

// Up implements link.Handler.
func (k *conn) Up(link.Conn) {
	k.connected = true
	if len(k.inFlight) > 0 {
		k.inFlight[0].send()
	}
}

// Data implements link.Handler.
func (k *conn) Data(_ link.Conn, b []byte) {
	k.partialResponse = true
	k.parser.Feed(b)
	k.readResponses()
}

func (k *conn) readResponses() {
	for !k.closed {
		m, err := k.parser.Next()
		switch {
		case err != nil || m != nil && len(k.inFlight) == 0: // malformed, or no attempt is in flight
			k.close(true, failAttempt)
			return
		case m == nil:
			return
		}
		t := k.inFlight[0]
		fullySent := t.sent
		k.partialResponse = k.parser.Buffered() > 0
		k.noReuse = k.noReuse || m.Close
		t.handleResponse(m)
		k.afterResponse(fullySent)
	}
}

// afterResponse closes the connection or makes it idle once no attempt is in flight.
func (k *conn) afterResponse(fullySent bool) {
	switch {
	case k.closed || len(k.inFlight) > 0:
	case k.noReuse || !fullySent: // a response before the end of the request ends the connection
		k.close(false, failAttempt)
	case !k.keepUnused:
		k.group.idle = append(k.group.idle, k)
		k.group.assignWaiting()
	}
}

// close closes or resets the connection. Its attempts in flight end with the outcome given by outcomeOf.
func (k *conn) close(reset bool, outcomeOf func(*attempt) outcome) {
	if k.closed {
		return
	}
	if reset {
		k.link.Reset()
	} else {
		k.link.Close()
	}
	k.remove(outcomeOf)
}

// failAttempt is the outcome of attempts whose connection ended.
func failAttempt(*attempt) outcome { return failed }

// End implements link.Handler.
func (k *conn) End(c link.Conn, err error) {
	if errors.Is(err, link.ErrEOF) {
		k.parser.Close()
		k.readResponses() // completes a response that ends with the connection
		if k.closed {
			return
		}
		c.Close()
	}
	unreadIndex := -1 // index of the attempt that the node provably did not read; it may have read those before
	if n := len(k.inFlight) - 1; errors.Is(err, link.ErrUnread) && (n > 0 || !k.partialResponse) {
		unreadIndex = n
	}
	index := -1
	k.remove(func(t *attempt) outcome {
		index++
		switch {
		case index == unreadIndex && !t.resent:
			return resend
		case index == unreadIndex, errors.Is(err, link.ErrRefused), errors.Is(err, link.ErrTimedOut), !t.sent:
			return unreached
		}
		return failed
	})
}

// resend is not an outcome. It marks an attempt that the node provably had not read
// completely: the client sends it once more, with the same id, on a new
// connection. The platform's rules require this, for unsafe requests too. If the
// connection ended in any other way, the node may have read the request and the
// client must not resend it.
const resend outcome = -1

// remove removes a closed connection from the group, and finishes or resends its attempts.
func (k *conn) remove(outcomeOf func(*attempt) outcome) {
	c := k.group
	k.closed = true
	c.connCounts[k.addr]--
	isThis := func(o *conn) bool { return o == k }
	c.conns, c.idle = slices.DeleteFunc(c.conns, isThis), slices.DeleteFunc(c.idle, isThis)
	attempts := k.inFlight
	k.inFlight = nil
	for _, t := range attempts {
		t.conn = nil
		if o := outcomeOf(t); o != resend {
			t.finish(o, 0)
			continue
		}
		t.resent, t.sent = true, false
		t.leaveTimer.Stop()
		t.writeTimer.Stop()
		c.assignConn(t)
	}
	c.assignWaiting()
}
