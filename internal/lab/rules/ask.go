package rules

import "time"

// ask is one call to discovery.
type ask struct {
	wait  time.Duration
	end   int64 // offset of the request
	place int   // in the book, as it came to discovery
	came  bool
	over  bool // it does not keep the node from being idle any more
	void  bool // it has nothing to tell, or has told it
}

// askConn is a connection from a node to discovery.
type askConn struct {
	*conn
	asks    []*ask // sent, and not answered whole
	answers []askAnswer
	over    bool // one side has ended it; the first counts
}

// askAnswer is a whole answer on its way to a node.
type askAnswer struct {
	ask   *ask
	end   int64
	good  bool // it can be read
	list  list
	place int // in the book, up to which it shows it
}

// dialed: to ask for a connection is to ask.
func (c *askConn) dialed() {
	c.j.idle(c.node)
	t := &c.node.told
	if t.source == "" {
		t.source = c.to
		c.j.reach(c.node)
	}
	t.rested = c.j.now
}

// request meets what a node sends to discovery.
func (c *askConn) request(e event, m *message) {
	if e != whole {
		return
	}
	wait, ok := waitOf(m.target)
	if !ok {
		return
	}
	c.j.idle(c.node)
	a := &ask{wait: wait, end: c.fwd.sent}
	c.asks = append(c.asks, a)
	c.node.told.calls++
	c.j.once(c.j.now+a.limit(), func() {
		if c.node.life == c.life && !a.came {
			c.rest(a, true)
		}
	})
}

// limit is how long after it came a call counts as answered.
func (a *ask) limit() time.Duration {
	if a.wait > 0 {
		return a.wait + afterWait
	}
	return afterCall
}

// rest ends what a call means for idleness.
func (c *askConn) rest(a *ask, failed bool) {
	if a.over {
		return
	}
	a.over = true
	t := &c.node.told
	t.calls--
	t.rested, t.failed = c.j.now, failed
}

// arrived: requests have come to discovery, or answers to the node.
func (c *askConn) arrived(back bool) {
	if !back {
		for _, a := range c.asks {
			if !a.came && a.end <= c.fwd.arrived {
				c.came(a)
			}
		}
		return
	}
	for len(c.answers) > 0 && c.answers[0].end <= c.back.arrived {
		r := c.answers[0]
		c.answers = c.answers[1:]
		c.rest(r.ask, !r.good)
		if r.good && c.followed() {
			r.ask.void = true
			c.j.learn(c.node, r.list, r.place)
		}
	}
}

// followed reports whether the node still follows this discovery.
func (c *askConn) followed() bool { return c.node.told.source == c.to }

// came: discovery has a call, and its time to tell runs.
func (c *askConn) came(a *ask) {
	a.came, a.place = true, len(c.j.book.all)
	at := c.j.now + a.limit()
	c.j.once(at, func() {
		if c.node.life != c.life {
			return
		}
		c.rest(a, false)
		if !a.void && c.followed() {
			c.j.reckon(c.node, a.place, at)
		}
	})
}

// answer meets what discovery sends.
func (c *askConn) answer(e event, m *message) {
	if e != whole || m.status < 200 || len(c.asks) == 0 {
		return
	}
	a := c.asks[0]
	c.asks = c.asks[1:]
	r := askAnswer{ask: a, end: c.back.sent}
	if r.list, r.good = parseList(m.text); r.good && m.status == 200 {
		r.place = max(a.place, c.j.book.placeOf(*r.list.Version))
	} else {
		r.good, a.void = false, true
	}
	c.answers = append(c.answers, r)
	c.arrived(true)
}

// ended: one side has ended its sending. A node that gives a call up has still
// made it; discovery that ends has failed it.
func (c *askConn) ended(byDiscovery bool) {
	if c.over {
		return
	}
	c.over = true
	for _, a := range c.asks {
		a.void = a.void || byDiscovery
		c.rest(a, byDiscovery)
	}
	if !byDiscovery {
		for _, r := range c.answers {
			c.rest(r.ask, true)
		}
		c.answers = nil
	}
}

// broke: the connection was reset, or never came up.
func (c *askConn) broke() {
	c.ended(true)
	for _, r := range c.answers { // sent, and lost on the way
		c.rest(r.ask, true)
	}
	if t := &c.node.told; !c.open {
		t.rested, t.failed = c.j.now, true
	}
}
