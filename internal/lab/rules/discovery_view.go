package rules

import "time"

// Durations after which the judge assumes that a node knows the current list,
// even if no answer with that list was observed. Each comment states the event
// that starts the duration.
const (
	longPollGrace    = 2 * time.Second // after the end of a long poll's wait
	pollGrace        = 6 * time.Second // after the arrival of a poll that must be answered immediately
	switchGrace      = 4 * time.Second // after SIGHUP with another discovery
	reachableGrace   = 6 * time.Second // after a listed change, while polls are served; applies even if polls fail
	failedPollFactor = 4               // multiplies Contract.AskEvery after a failed poll
)

// discoveryView is the part of the discovery data of which a node counts as
// notified, by an answer on the wire or because a time limit has passed.
type discoveryView struct {
	peers map[string]*peerView // by name

	discovery      string        // address of the discovery that the node polls; "": it has dialed none yet
	pendingPolls   int           // the number of polls in transit or waiting at discovery
	idleSince      time.Duration // when the last poll ended
	lastPollFailed bool
	idlePosition   int // position in the listing log up to which time without polls has notified the node

	reachable      bool // the node's polls to discovery are served
	reachableEpoch int  // the number of periods so far in which polls were served
}

// discoveryRoute is a network path from a node to an address of discovery. An empty node
// stands for all nodes.
type discoveryRoute struct {
	node string
	addr string
}

// peerView is the state of one peer as far as a node counts as notified of it.
type peerView struct {
	addr         string
	position     int           // position in the listing log of the last notification
	started      time.Duration // the peer's last start since the run began; 0: none
	leaving      bool          // the peer was Terminating or Gone and not Ready since
	leavingSince time.Duration // when the node was notified that the peer leaves
	terminating  bool          // the state Terminating was seen, which binds even under Contract.DroppedStay
}

func newDiscoveryView() discoveryView { return discoveryView{peers: map[string]*peerView{}} }

// peer returns the view of a peer and creates it if necessary.
func (v *discoveryView) peer(name string) *peerView {
	peer := v.peers[name]
	if peer == nil {
		peer = &peerView{}
		v.peers[name] = peer
	}
	return peer
}

// startOf returns the last start of a peer of which the node has been notified,
// or 0 if there is none.
func (v *discoveryView) startOf(name string) time.Duration {
	if peer := v.peers[name]; peer != nil {
		return peer.started
	}
	return 0
}

// leavingBefore reports whether a peer has been leaving since before the instant
// late, and since when. A peer whose name is unknown to the node is looked up by
// its address.
func (v *discoveryView) leavingBefore(latest time.Duration, name, addr string) (since time.Duration, leaving bool) {
	if peer := v.peers[name]; peer != nil {
		return peer.leavingSince, peer.leaving && peer.leavingSince < latest
	}
	for _, peer := range v.peers {
		if peer.addr != addr {
			continue
		}
		if !peer.leaving || peer.leavingSince >= latest {
			return 0, false
		}
		leaving = true
		since = max(since, peer.leavingSince)
	}
	return since, leaving
}

// markLeaving records the state Terminating or Gone. Gone has no effect if
// droppedStay is set; leavingSince is that of the first state with an effect.
func (p *peerView) markLeaving(state string, at time.Duration, droppedStay bool) {
	p.terminating = p.terminating || state == terminating
	if !p.leaving && (p.terminating || !droppedStay) {
		p.leaving = true
		p.leavingSince = at
	}
}

// initializeView initializes the view of a node that starts with the list of a
// version.
func (j *Judge) initializeView(n *node, version int64) {
	n.view.idleSince = j.now
	j.assumeNotified(n, j.listings.positionOfVersion(version), j.now)
	n.view.idlePosition = 0
}

// assumeNotified marks a node as notified, at an instant, of the listings up to a
// position, except for peers with a later notification. It makes no leaving peer
// usable: only an answer on the wire notifies of Ready.
func (j *Judge) assumeNotified(n *node, position int, at time.Duration) {
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

// applyList updates the view of a node from a list that the node received. The
// list is current up to a position in the listing log.
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
	if j.config.OnListReceived != nil {
		j.config.OnListReceived(*l.Version)
	}
}

// applyListed updates the view of one peer from its entry in a list.
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

// assumeNotifiedWhenIdle marks a node that has not polled discovery for at least
// the polling interval as notified of the listings that are older than the
// interval.
func (j *Judge) assumeNotifiedWhenIdle(n *node) {
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
		j.assumeNotified(n, view.idlePosition, max(listed.at, view.idleSince)+interval)
	}
}

// updateReachability recomputes whether a node's polls are served. When they
// become served, the time limit starts after which the node counts as notified
// of the current listings.
func (j *Judge) updateReachability(n *node) {
	view := &n.view
	forAll := discoveryRoute{addr: view.discovery}
	forNode := discoveryRoute{node: n.name, addr: view.discovery}
	served := view.discovery != "" && !j.unreachable[forAll] && !j.unreachable[forNode]
	if served == view.reachable {
		return
	}
	view.reachable = served
	if served {
		view.reachableEpoch++
		j.assumeNotifiedWhenReachable(n)
	}
}

// assumeNotifiedWhenReachable marks a node as notified of the current listings after
// reachableGrace, even if its polls fail, provided that polls are served for the
// whole time.
func (j *Judge) assumeNotifiedWhenReachable(n *node) {
	incarnation := n.incarnation
	epoch := n.view.reachableEpoch
	position := len(j.listings.listings)
	at := j.now + reachableGrace
	j.schedule(at, func() {
		if n.incarnation == incarnation && n.view.reachable && n.view.reachableEpoch == epoch {
			j.assumeNotified(n, position, at)
		}
	})
}

// switchDiscovery records that a node polls another address of discovery from
// now on.
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
			j.assumeNotified(n, j.listings.positionAt(at), at)
		}
	})
}

// checkDrain checks that an attempt to a leaving peer began within the drain
// grace period.
func (j *Judge) checkDrain(c *peerConn, a *attempt) {
	latestSince := a.begunAt - j.config.Contract.DrainGrace.D() - j.config.Slack
	since, leaving := c.node.view.leavingBefore(latestSince, c.name, c.to)
	if !leaving {
		return
	}
	j.report(Drain, j.now, "%s: call %s is sent to peer %s %v after %s was told that it leaves",
		c.id, a.call.id, c.name, a.begunAt-since, c.node.name)
}
