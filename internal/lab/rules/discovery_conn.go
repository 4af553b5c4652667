package rules

import (
	"net/http"
	"time"
)

// discoveryPoll is one poll of discovery by a node.
type discoveryPoll struct {
	wait     time.Duration // how long it may wait; 0: it may not
	end      int64         // offset of its last byte
	position int           // in the listing log, when discovery received it
	received bool          // by discovery
	settled  bool          // it does not count as pending any more
	resolved bool          // its answer reached the node, or it cannot get one
}

// discoveryConn is a connection from a node to discovery.
type discoveryConn struct {
	*conn
	polls   []*discoveryPoll // sent, and not answered completely
	answers []discoveryAnswer
	ended   bool // one side has ended it
}

// discoveryAnswer is a complete answer on its way to a node.
type discoveryAnswer struct {
	poll     *discoveryPoll
	end      int64 // offset of its last byte
	valid    bool  // it is a list
	list     list
	position int // in the listing log, up to which the list shows it
}

// dialed: a node asks for a connection to discovery, which counts as a poll.
func (c *discoveryConn) dialed() {
	c.judge.assumeKnownWhenIdle(c.node)
	view := &c.node.view
	if view.discovery == "" {
		view.discovery = c.to
		c.judge.updateReachability(c.node)
	}
	view.idleSince = c.judge.now
}

// request takes in what a node sends to discovery.
func (c *discoveryConn) request(e scanEvent, m *message) {
	if e != messageComplete {
		return
	}
	wait, ok := pollWait(m.target)
	if !ok {
		return
	}
	c.judge.assumeKnownWhenIdle(c.node)
	poll := &discoveryPoll{wait: wait, end: c.forward.sent}
	c.polls = append(c.polls, poll)
	c.node.view.pendingPolls++
	c.judge.schedule(c.judge.now+poll.limit(), func() {
		if c.node.incarnation == c.incarnation && !poll.received {
			c.settle(poll, true)
		}
	})
}

// limit is how long after its arrival a poll counts as answered.
func (poll *discoveryPoll) limit() time.Duration {
	if poll.wait > 0 {
		return poll.wait + longPollGrace
	}
	return pollGrace
}

// settle ends the time in which a poll is pending.
func (c *discoveryConn) settle(poll *discoveryPoll, failed bool) {
	if poll.settled {
		return
	}
	poll.settled = true
	view := &c.node.view
	view.pendingPolls--
	view.idleSince = c.judge.now
	view.lastPollFailed = failed
}

// arrived: polls have reached discovery, or answers the node.
func (c *discoveryConn) arrived(back bool) {
	if !back {
		for _, poll := range c.polls {
			if !poll.received && poll.end <= c.forward.arrived {
				c.pollReceived(poll)
			}
		}
		return
	}
	for len(c.answers) > 0 && c.answers[0].end <= c.backward.arrived {
		answer := c.answers[0]
		c.answers = c.answers[1:]
		c.settle(answer.poll, !answer.valid)
		if answer.valid && c.isFollowed() {
			answer.poll.resolved = true
			c.judge.applyList(c.node, answer.list, answer.position)
		}
	}
}

// isFollowed reports whether the node still follows this discovery.
func (c *discoveryConn) isFollowed() bool { return c.node.view.discovery == c.to }

// pollReceived: discovery has received a poll, and must answer within its limit.
func (c *discoveryConn) pollReceived(poll *discoveryPoll) {
	poll.received = true
	poll.position = len(c.judge.listings.listings)
	at := c.judge.now + poll.limit()
	c.judge.schedule(at, func() {
		if c.node.incarnation != c.incarnation {
			return
		}
		c.settle(poll, false)
		if !poll.resolved && c.isFollowed() {
			c.judge.assumeKnown(c.node, poll.position, at)
		}
	})
}

// answer takes in what discovery sends.
func (c *discoveryConn) answer(e scanEvent, m *message) {
	if e != messageComplete || m.status < http.StatusOK || len(c.polls) == 0 {
		return
	}
	poll := c.polls[0]
	c.polls = c.polls[1:]
	answer := discoveryAnswer{poll: poll, end: c.backward.sent}
	parsed, ok := parseList(m.storedBody)
	answer.list = parsed
	answer.valid = ok && m.status == http.StatusOK
	if answer.valid {
		answer.position = max(poll.position, c.judge.listings.positionOfVersion(*answer.list.Version))
	} else {
		poll.resolved = true
	}
	c.answers = append(c.answers, answer)
	c.arrived(true)
}

// closed: one side has ended its sending. A poll that its node gives up has
// still been made; one that discovery ends has failed.
func (c *discoveryConn) closed(byDiscovery bool) {
	if c.ended {
		return
	}
	c.ended = true
	for _, poll := range c.polls {
		poll.resolved = poll.resolved || byDiscovery
		c.settle(poll, byDiscovery)
	}
	if !byDiscovery {
		for _, answer := range c.answers {
			c.settle(answer.poll, true)
		}
		c.answers = nil
	}
}

// reset: the connection was reset, or never came up.
func (c *discoveryConn) reset() {
	c.closed(true)
	for _, answer := range c.answers { // sent, and lost on the way
		c.settle(answer.poll, true)
	}
	if !c.open {
		c.node.view.idleSince = c.judge.now
		c.node.view.lastPollFailed = true
	}
}
