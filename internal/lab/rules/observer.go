package rules

import "time"

// PeerStarted implements event.Observer.
func (j *Judge) PeerStarted(peer, addr string, cold bool) {
	now := j.clock()
	j.peerNames[addr] = peer
	delete(j.coldStarts, peer)
	if cold {
		j.coldStarts[peer] = &coldStart{at: now}
	}
}

// PeerStopped implements event.Observer.
func (j *Judge) PeerStopped(peer string) {
	j.clock()
	delete(j.coldStarts, peer)
}

// PeerAttempt implements event.Observer.
func (j *Judge) PeerAttempt(peer, call string, work, capacity float64) {
	j.clock()
	j.checkColdLoad(peer, call, work, capacity)
}

// PeerMisframed implements event.Observer.
func (j *Judge) PeerMisframed(peer, call string) {
	j.clock()
	j.misframed[peerCall{peer, call}] = true
}

// PeerAnswersInParts implements event.Observer.
func (j *Judge) PeerAnswersInParts(peer, call string) {
	j.clock()
	for _, name := range j.config.Nodes {
		if k := j.nodes[name].calls[call]; k != nil {
			k.answersInParts(peer)
		}
	}
}

// PeerListed implements event.Observer.
func (j *Judge) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	j.listings.append(listing{
		version: version,
		peer:    peer,
		addr:    addr,
		state:   state,
		started: started,
		at:      j.clock(),
	})
	for _, name := range j.config.Nodes {
		if n := j.nodes[name]; n.view.reachable {
			j.assumeNotifiedWhenReachable(n)
		}
	}
}

// DiscoveryReachable implements event.Observer.
func (j *Judge) DiscoveryReachable(node, addr string, served bool) {
	j.clock()
	j.unreachable[discoveryRoute{node: node, addr: addr}] = !served
	for _, name := range j.config.Nodes {
		j.updateReachability(j.nodes[name])
	}
}

// MalformedInput implements event.Observer.
func (j *Judge) MalformedInput(id, reason string, timeLimit time.Duration) {
	j.clock()
	input := malformedInput{reason: reason, timeLimit: timeLimit}
	k := j.conns[id]
	switch {
	case k == nil:
		j.malformedConns[id] = input
	case k.client != nil:
		k.client.markMalformed(input)
	}
}

// NodeStarted implements event.Observer.
func (j *Judge) NodeStarted(name string, version int64) {
	j.clock()
	n := j.nodes[name]
	if n == nil {
		return
	}
	if n.alive {
		j.endNode(n)
	}
	n.alive = true
	j.initializeView(n, version)
}

// NodeKilled implements event.Observer.
func (j *Judge) NodeKilled(name string) {
	j.clock()
	if n := j.nodes[name]; n != nil {
		j.endNode(n)
	}
}

// NodeSignaled implements event.Observer.
func (j *Judge) NodeSignaled(name, signal, discovery string) {
	now := j.clock()
	n := j.nodes[name]
	if n == nil {
		return
	}
	switch signal {
	case "SIGTERM":
		n.terminatedAt = max(now, 1)
	case "SIGHUP":
		j.switchDiscovery(n, discovery)
	}
}
