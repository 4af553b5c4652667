package rules

import (
	"net/http"
	"time"
)

// discoveryPoll is one poll of discovery by a node.
type discoveryPoll struct {
	wait     time.Duration // maximum wait of a long poll; 0: discovery must answer immediately
	end      int64         // offset of its last byte
	position int           // position in the listing log when discovery received the poll
	received bool          // discovery has received the poll
	settled  bool          // the poll is not pending any more
	resolved bool          // its answer reached the node, or it cannot get one
}

// discoveryConn is a connection from a node to discovery.
type discoveryConn struct {
	*conn
	polls   []*discoveryPoll  // sent and not completely answered
	answers []discoveryAnswer // sent completely and not yet arrived
	ended   bool              // one side has ended its sending
}

// discoveryAnswer is a complete answer on its way to a node.
type discoveryAnswer struct {
	poll     *discoveryPoll
	end      int64 // offset of its last byte
	valid    bool  // it contains a valid list
	list     list
	position int // position in the listing log up to which the list is current
}

// dialed is called when the node dials discovery, which counts as a poll.
func (c *discoveryConn) dialed() {
	c.judge.assumeNotifiedWhenIdle(c.node)
	view := &c.node.view
	if view.discovery == "" {
		view.discovery = c.to
		c.judge.updateReachability(c.node)
	}
	view.idleSince = c.judge.now
}

// request handles a scan event in the bytes that the node sends to discovery.
func (c *discoveryConn) request(e scanEvent, m *message) {
	if e != messageComplete {
		return
	}
	wait, ok := pollWait(m.target)
	if !ok {
		return
	}
	c.judge.assumeNotifiedWhenIdle(c.node)
	poll := &discoveryPoll{wait: wait, end: c.forward.sent}
	c.polls = append(c.polls, poll)
	c.node.view.pendingPolls++
	c.judge.schedule(c.judge.now+poll.limit(), func() {
		if c.node.incarnation == c.incarnation && !poll.received {
			c.settle(poll, true)
		}
	})
}

// limit returns the duration after its arrival at discovery from which a poll
// counts as answered.
func (poll *discoveryPoll) limit() time.Duration {
	if poll.wait > 0 {
		return poll.wait + longPollGrace
	}
	return pollGrace
}

// settle marks a poll as no longer pending. failed is true if the node got no
// valid answer.
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

// arrived is called when bytes have reached discovery or, if back is true, the
// node. It handles the polls or answers that have arrived completely.
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

// isFollowed reports whether the node still polls this address of discovery.
func (c *discoveryConn) isFollowed() bool { return c.node.view.discovery == c.to }

// pollReceived is called when discovery has received a poll. Unless an answer
// says otherwise, the node counts as notified once the poll's limit has passed.
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
			c.judge.assumeNotified(c.node, poll.position, at)
		}
	})
}

// answer handles a scan event in the bytes that discovery sends.
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

// closed is called when one side has ended its sending. Open polls count as
// failed if discovery ended the connection, and as made if the node did.
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

// reset is called when the connection was reset or could not be established.
func (c *discoveryConn) reset() {
	c.closed(true)
	for _, answer := range c.answers { // sent, but they will not arrive
		c.settle(answer.poll, true)
	}
	if !c.open {
		c.node.view.idleSince = c.judge.now
		c.node.view.lastPollFailed = true
	}
}
