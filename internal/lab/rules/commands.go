package rules

import (
	"net/http"
	"slices"
	"time"
)

// Limits of the rules on operators' commands.
const (
	// pausedIdleLimit is the duration after PAUSE in which a node may keep idle
	// client connections.
	pausedIdleLimit = 4 * time.Second
	// reuseLimit is the duration after RESTORE within which a peer must receive an
	// attempt.
	reuseLimit = 5 * time.Second
	// recentUseWindow is the maximum time from the last attempt of a peer to its
	// suspension for which the peer counts as in use.
	recentUseWindow = time.Second
	// minAttemptsForReuse is the number of attempts to any peers after RESTORE from which
	// a restored peer must have received one: it may be cold, and gets few.
	minAttemptsForReuse = 200
	// maxListedConns is the maximum number of connections that a violation lists.
	maxListedConns = 3
)

// suspension is the state of a peer that an operator has suspended at a node.
type suspension struct {
	since time.Duration
	inUse bool // the peer received an attempt within recentUseWindow before
}

// NodeCommanded implements event.Observer.
func (j *Judge) NodeCommanded(name, command, peer string) {
	now := j.clock()
	n := j.nodes[name]
	if n == nil || !n.alive {
		return
	}
	switch command {
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

// suspend records that a node has suspended a peer.
func (j *Judge) suspend(n *node, peer string) {
	if _, suspended := n.suspended[peer]; suspended {
		return
	}
	last, used := j.lastUsed[peer]
	n.suspended[peer] = suspension{since: j.now, inUse: used && j.now-last <= recentUseWindow}
}

// restore ends the suspension of a peer at a node.
func (j *Judge) restore(n *node, peer string) {
	s, suspended := n.suspended[peer]
	if !suspended {
		return
	}
	delete(n.suspended, peer)
	if start := j.coldStarts[peer]; start != nil {
		// The command itself notifies the node of a restart.
		view := n.view.peer(peer)
		view.started = max(view.started, start.at)
	}
	if s.inUse {
		j.scheduleUseCheck(peer)
	}
}

// pause records that a node is paused and schedules the check of its idle
// connections. since must not be 0, which means that the node is not paused.
func (j *Judge) pause(n *node, since time.Duration) {
	n.pausedSince = since
	incarnation := n.incarnation
	j.schedule(j.now+pausedIdleLimit+j.config.Slack, func() {
		if n.incarnation == incarnation && n.pausedSince == since {
			j.checkPaused(n)
		}
	})
}

// checkSuspended checks that an attempt or health check is not sent to a peer
// that the node has suspended.
func (j *Judge) checkSuspended(c *peerConn, a *attempt) {
	s, suspended := c.node.suspended[c.name]
	if suspended && a.begunAt > s.since+j.config.Slack {
		j.report(Suspended, j.now, "%s: something is sent to peer %s %v after %s has suspended it",
			c.id, c.name, a.begunAt-s.since, c.node.name)
	}
}

// scheduleUseCheck schedules the check that a restored peer which was in use before its
// suspension is used again.
func (j *Judge) scheduleUseCheck(peer string) {
	restoredAt := j.now
	attemptsBefore := j.attempts
	j.schedule(restoredAt+reuseLimit+j.config.Slack, func() {
		if j.attempts-attemptsBefore < minAttemptsForReuse || j.lastUsed[peer] > restoredAt ||
			!j.available(peer, restoredAt) {
			return
		}
		j.report(Unused, j.now, "peer %s is unused %v after it was put back", peer, j.now-restoredAt)
	})
}

// available reports whether at least one node could have used a peer since an
// instant: the peer has run since then, and that node regards it as ready and
// has not suspended it again.
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
		n.name, len(idle), j.now-n.pausedSince, idle[:min(len(idle), maxListedConns)])
}

// checkReadiness checks that a paused node does not answer a readiness check
// with status 200.
func (c *clientConn) checkReadiness(r *request, m *message) {
	n := c.node
	if m.status != http.StatusOK || n.pausedSince == 0 || r.acceptedAt <= n.pausedSince+c.judge.config.Slack {
		return
	}
	c.judge.report(Paused, c.judge.now, "%s: %s says that it is ready, %v after PAUSE",
		c.id, n.name, r.acceptedAt-n.pausedSince)
}
