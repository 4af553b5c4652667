package rules

import "time"

// When a node counts as notified of what discovery lists, without an answer
// that says so.
const (
	longPollGrace    = 2 * time.Second // after the end of a long poll's wait
	pollGrace        = 6 * time.Second // after a poll that may not wait
	switchGrace      = 4 * time.Second // after SIGHUP with another discovery
	reachableGrace   = 6 * time.Second // after discovery lists it and is reachable, whatever fails
	failedPollFactor = 4               // times Contract.AskEvery after a failed poll
)

// discoveryView is what a node has been notified of by discovery, on the wire
// or by the passing of time.
type discoveryView struct {
	peers map[string]*peerView

	discovery      string        // address of the discovery that it follows; "": it has called none yet
	pendingPolls   int           // polls on their way or waiting
	idleSince      time.Duration // when the last poll ended
	lastPollFailed bool
	idlePosition   int // position in the listing log up to which time without polls has notified it

	reachable      bool // its polls to the discovery that it follows are served
	reachableEpoch int  // counts the periods in which they are
}

// route is a way from a node to an address of discovery; an empty node stands
// for every node.
type route struct {
	node string
	addr string
}

// peerView is what a node has been notified of about one peer.
type peerView struct {
	addr         string
	position     int           // in the listing log, as of which this is
	started      time.Duration // its last start since the run began; 0: none
	leaving      bool
	leavingSince time.Duration // when the node was notified of that
	terminating  bool          // by Terminating, which binds where Gone alone may not
}

func newDiscoveryView() discoveryView { return discoveryView{peers: map[string]*peerView{}} }

// peer finds the view of a peer, or adds an empty one.
func (v *discoveryView) peer(name string) *peerView {
	peer := v.peers[name]
	if peer == nil {
		peer = &peerView{}
		v.peers[name] = peer
	}
	return peer
}

// startOf is a peer's last start that the node has been notified of; 0: none.
func (v *discoveryView) startOf(name string) time.Duration {
	if peer := v.peers[name]; peer != nil {
		return peer.started
	}
	return 0
}

// leavingBefore reports whether a peer has been leaving since before an
// instant, and since when. A peer that the node was not notified of by name is
// known by its address.
func (v *discoveryView) leavingBefore(late time.Duration, name, addr string) (since time.Duration, leaving bool) {
	if peer := v.peers[name]; peer != nil {
		return peer.leavingSince, peer.leaving && peer.leavingSince < late
	}
	for _, peer := range v.peers {
		if peer.addr != addr {
			continue
		}
		if !peer.leaving || peer.leavingSince >= late {
			return 0, false
		}
		leaving = true
		since = max(since, peer.leavingSince)
	}
	return since, leaving
}

// markLeaving notes that a peer is Terminating or Gone; the first notice counts.
func (p *peerView) markLeaving(state string, at time.Duration, droppedStay bool) {
	p.terminating = p.terminating || state == terminating
	if !p.leaving && (p.terminating || !droppedStay) {
		p.leaving = true
		p.leavingSince = at
	}
}

// nodeBegan notifies a node that starts of the list of a version.
func (j *Judge) nodeBegan(n *node, version int64) {
	n.view.idleSince = j.now
	j.assumeKnown(n, j.listings.positionOfVersion(version), j.now)
	n.view.idlePosition = 0
}

// assumeKnown lets a node count as notified of what is listed up to a
// position, except where it was notified of something later. It makes no
// leaving peer usable: only an answer on the wire notifies of Ready.
func (j *Judge) assumeKnown(n *node, position int, at time.Duration) {
	for _, name := range j.listings.peers {
		i := j.listings.lastBefore(name, position)
		if i < 0 {
			continue
		}
		listed := &j.listings.listings[i]
		peer := n.view.peer(name)
		if peer.position > i {
			continue
		}
		peer.position = i + 1
		if peer.addr == "" {
			peer.addr = listed.addr
		}
		if listed.state == ready {
			peer.started = listed.started
		} else {
			peer.markLeaving(listed.state, at, j.config.Contract.DroppedStay)
		}
	}
}

// applyList takes in a list that a node received. It shows the listing log up
// to a position.
func (j *Judge) applyList(n *node, l list, position int) {
	named := map[string]bool{}
	for _, listed := range *l.Servers {
		named[listed.ID] = true
		j.applyListed(n.view.peer(listed.ID), listed, position)
	}
	if *l.Full {
		for name, peer := range n.view.peers {
			if !named[name] {
				peer.position = max(peer.position, position)
				peer.markLeaving(gone, j.now, j.config.Contract.DroppedStay)
			}
		}
	}
	if j.config.Known != nil {
		j.config.Known(*l.Version)
	}
}

// applyListed takes in one peer of a list.
func (j *Judge) applyListed(peer *peerView, listed listedPeer, position int) {
	peer.position = position
	if listed.Addr != "" {
		peer.addr = listed.Addr
	}
	if listed.State != ready {
		peer.markLeaving(listed.State, j.now, j.config.Contract.DroppedStay)
		return
	}
	peer.leaving = false
	peer.terminating = false
	peer.started = 0
	if i := j.listings.lastBefore(listed.ID, position); i >= 0 && listed.Started > 0 {
		peer.started = j.listings.listings[i].started
	}
}

// assumeKnownWhenIdle lets a node that has not polled discovery for long count
// as notified of what was listed before that.
func (j *Judge) assumeKnownWhenIdle(n *node) {
	view := &n.view
	interval := j.config.Contract.AskEvery.D()
	if view.lastPollFailed {
		interval *= failedPollFactor
	}
	if interval <= 0 || view.pendingPolls > 0 || j.now-view.idleSince < interval {
		return
	}
	position := j.listings.positionAt(j.now - interval)
	for view.idlePosition < position {
		listed := &j.listings.listings[view.idlePosition]
		view.idlePosition++
		j.assumeKnown(n, view.idlePosition, max(listed.at, view.idleSince)+interval)
	}
}

// updateReachability follows whether a node's polls are served. Once they are,
// the node must get to know everything that discovery lists.
func (j *Judge) updateReachability(n *node) {
	view := &n.view
	forAll := route{addr: view.discovery}
	forNode := route{node: n.name, addr: view.discovery}
	served := view.discovery != "" && !j.unreachable[forAll] && !j.unreachable[forNode]
	if served == view.reachable {
		return
	}
	view.reachable = served
	if served {
		view.reachableEpoch++
		j.assumeKnownWhenReachable(n)
	}
}

// assumeKnownWhenReachable lets a node count as notified of what discovery
// lists now once it could have polled for long enough, whatever became of its
// polls.
func (j *Judge) assumeKnownWhenReachable(n *node) {
	incarnation := n.incarnation
	epoch := n.view.reachableEpoch
	position := len(j.listings.listings)
	at := j.now + reachableGrace
	j.schedule(at, func() {
		if n.incarnation == incarnation && n.view.reachable && n.view.reachableEpoch == epoch {
			j.assumeKnown(n, position, at)
		}
	})
}

// switchDiscovery follows a node to another discovery.
func (j *Judge) switchDiscovery(n *node, discovery string) {
	if discovery == "" || discovery == n.view.discovery {
		return
	}
	n.view.discovery = discovery
	n.view.reachable = false
	j.updateReachability(n)
	incarnation := n.incarnation
	at := j.now + switchGrace
	j.schedule(at, func() {
		if n.incarnation == incarnation && n.view.discovery == discovery {
			j.assumeKnown(n, j.listings.positionAt(at), at)
		}
	})
}

// checkDrain checks that an attempt to a peer that is leaving was begun in time.
func (j *Judge) checkDrain(c *peerConn, a *attempt) {
	late := a.begunAt - j.config.Contract.DrainGrace.D() - j.config.Slack
	since, leaving := c.node.view.leavingBefore(late, c.name, c.to)
	if !leaving {
		return
	}
	j.report(Drain, j.now, "%s: call %s is sent to peer %s %v after %s was told that it leaves",
		c.id, a.call.id, c.name, a.begunAt-since, c.node.name)
}
