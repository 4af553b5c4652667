package rules

import (
	"slices"
	"time"
)

// Figures of what operators ask for.
const (
	emptied   = 4 * time.Second // since PAUSE: no client connection is held idle
	inUse     = 5 * time.Second // since RESTORE: the peer is used again
	usedSince = time.Second     // before its suspension, a peer in use got a try
	// enoughTries have to go somewhere for a cold peer to be owed one.
	enoughTries = 200
)

// ban is a peer that operators keep out of use at a node.
type ban struct {
	since time.Duration
	inUse bool // it got a try shortly before
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
		if _, again := n.banned[peer]; !again {
			last, tried := j.used[peer]
			n.banned[peer] = ban{now, tried && now-last <= usedSince}
		}
	case "RESTORE":
		if b, was := n.banned[peer]; was {
			delete(n.banned, peer)
			if s := j.starts[peer]; s != nil { // whoever puts it back says that it was restarted
				k := n.told.peer(peer)
				k.started = max(k.started, s.at)
			}
			if b.inUse {
				j.expectUse(peer)
			}
		}
	case "PAUSE":
		n.paused = max(now, 1)
		life := n.life
		j.once(now+emptied+j.c.Slack, func() {
			if n.life == life && n.paused == max(now, 1) {
				j.emptied(n)
			}
		})
	case "RESUME":
		n.paused = 0
	}
}

// suspended judges a send of any kind to a peer.
func (j *Judge) suspended(c *peerConn, t *try) {
	if b, banned := c.node.banned[c.name]; banned && t.begunAt > b.since+j.c.Slack {
		j.breaks(Suspended, j.now, "%s: something is sent to peer %s %v after %s has suspended it",
			c.id, c.name, t.begunAt-b.since, c.node.name)
	}
}

// expectUse waits for a peer that is put back, and was in use, to be used.
func (j *Judge) expectUse(peer string) {
	restored, tries := j.now, j.tries
	j.once(restored+inUse+j.c.Slack, func() {
		if j.tries-tries < enoughTries || j.used[peer] > restored || !j.available(peer, restored) {
			return
		}
		j.breaks(Unused, j.now, "peer %s is unused %v after it was put back", peer, j.now-restored)
	})
}

// available reports whether some node could have used a peer since a time: it
// runs since then, and the node holds it for ready and was not told to ban it again.
func (j *Judge) available(peer string, since time.Duration) bool {
	if s := j.starts[peer]; s == nil || s.at > since {
		return false
	}
	for _, n := range j.nodes {
		k := n.told.peers[peer]
		if _, banned := n.banned[peer]; n.alive && k != nil && !k.leaves && k.started > 0 && !banned {
			return true
		}
	}
	return false
}

// emptied judges what a paused node still holds.
func (j *Judge) emptied(n *node) {
	var idle []string
	for k := range n.conns {
		if c := k.client; c != nil && k.open && !k.broken && !k.back.ended && !k.fwd.ended && !c.last &&
			len(c.queue) == 0 {
			idle = append(idle, k.id)
		}
	}
	if len(idle) > 0 {
		slices.Sort(idle)
		j.breaks(Paused, j.now, "%s holds %d client connections idle %v after PAUSE: %v", n.name, len(idle),
			j.now-n.paused, idle[:min(len(idle), 3)])
	}
}

// asReady judges a yes to the question whether a node is ready.
func (c *clientConn) asReady(r *request, m *message) {
	if n := c.node; m.status == 200 && n.paused != 0 && r.takenAt > n.paused+c.j.c.Slack {
		c.j.breaks(Paused, c.j.now, "%s: %s says that it is ready, %v after PAUSE", c.id, n.name, r.takenAt-n.paused)
	}
}
