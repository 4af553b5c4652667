package rules

import (
	"net/http"
	"slices"
	"time"
)

// Time limits and amounts of the rules on operators' commands.
const (
	// pausedIdleLimit is how long after PAUSE client connections may be idle.
	pausedIdleLimit = 4 * time.Second
	// reuseLimit is how long after RESTORE a peer may be unused.
	reuseLimit = 5 * time.Second
	// recentUse is how long before its suspension a peer that counts as in use
	// received an attempt.
	recentUse = time.Second
	// minAttempts must go to any peers before a cold peer is owed one.
	minAttempts = 200
	// maxNamed bounds the connections that a violation names.
	maxNamed = 3
)

// suspension keeps a peer out of use at a node, by an operator's command.
type suspension struct {
	since time.Duration
	inUse bool // it received an attempt shortly before
}

// NodeCommanded implements event.Observer.
func (j *Judge) NodeCommanded(name, call, peer string) {
	now := j.clock()
	n := j.nodes[name]
	if n == nil || !n.alive {
		return
	}
	switch call {
	case "SUSPEND":
		j.suspend(n, peer)
	case "RESTORE":
		j.restore(n, peer)
	case "PAUSE":
		j.pause(n, max(now, 1))
	case "RESUME":
		n.pausedSince = 0
	}
}

func (j *Judge) suspend(n *node, peer string) {
	if _, again := n.suspended[peer]; again {
		return
	}
	last, used := j.lastUsed[peer]
	n.suspended[peer] = suspension{since: j.now, inUse: used && j.now-last <= recentUse}
}

func (j *Judge) restore(n *node, peer string) {
	s, was := n.suspended[peer]
	if !was {
		return
	}
	delete(n.suspended, peer)
	if start := j.coldStarts[peer]; start != nil {
		// The command itself notifies the node of a restart.
		view := n.view.peer(peer)
		view.started = max(view.started, start.at)
	}
	if s.inUse {
		j.expectUse(peer)
	}
}

// pause follows a node's PAUSE. since is not 0, which stands for no pause.
func (j *Judge) pause(n *node, since time.Duration) {
	n.pausedSince = since
	incarnation := n.incarnation
	j.schedule(j.now+pausedIdleLimit+j.config.Slack, func() {
		if n.incarnation == incarnation && n.pausedSince == since {
			j.checkPaused(n)
		}
	})
}

// checkSuspended checks a send of any kind to a peer.
func (j *Judge) checkSuspended(c *peerConn, a *attempt) {
	s, suspended := c.node.suspended[c.name]
	if suspended && a.begunAt > s.since+j.config.Slack {
		j.report(Suspended, j.now, "%s: something is sent to peer %s %v after %s has suspended it",
			c.id, c.name, a.begunAt-s.since, c.node.name)
	}
}

// expectUse checks later that a peer which is restored, and was in use, is
// used again.
func (j *Judge) expectUse(peer string) {
	restored := j.now
	attempts := j.attempts
	j.schedule(restored+reuseLimit+j.config.Slack, func() {
		if j.attempts-attempts < minAttempts || j.lastUsed[peer] > restored || !j.available(peer, restored) {
			return
		}
		j.report(Unused, j.now, "peer %s is unused %v after it was put back", peer, j.now-restored)
	})
}

// available reports whether some node could have used a peer since a time: the
// peer has run since then, and the node lists it as ready and has not
// suspended it again.
func (j *Judge) available(peer string, since time.Duration) bool {
	if start := j.coldStarts[peer]; start == nil || start.at > since {
		return false
	}
	for _, n := range j.nodes {
		if _, suspended := n.suspended[peer]; suspended || !n.alive {
			continue
		}
		view := n.view.peers[peer]
		if view != nil && !view.leaving && view.started > 0 {
			return true
		}
	}
	return false
}

// checkPaused checks that a paused node holds no idle client connection.
func (j *Judge) checkPaused(n *node) {
	var idle []string
	for k := range n.conns {
		if k.client != nil && k.client.idle() {
			idle = append(idle, k.id)
		}
	}
	if len(idle) == 0 {
		return
	}
	slices.Sort(idle)
	j.report(Paused, j.now, "%s holds %d client connections idle %v after PAUSE: %v",
		n.name, len(idle), j.now-n.pausedSince, idle[:min(len(idle), maxNamed)])
}

// checkReadiness checks an answer to a readiness check of a node.
func (c *clientConn) checkReadiness(r *request, m *message) {
	n := c.node
	if m.status != http.StatusOK || n.pausedSince == 0 || r.acceptedAt <= n.pausedSince+c.judge.config.Slack {
		return
	}
	c.judge.report(Paused, c.judge.now, "%s: %s says that it is ready, %v after PAUSE",
		c.id, n.name, r.acceptedAt-n.pausedSince)
}
