package rules

import (
	"slices"
	"time"
)

// PeerStarted implements event.Observer.
func (j *Judge) PeerStarted(peer, addr string, cold bool) {
	now := j.clock()
	j.at[addr] = peer
	if delete(j.starts, peer); cold {
		j.starts[peer] = &start{at: now}
	}
}

// PeerStopped implements event.Observer.
func (j *Judge) PeerStopped(peer string) {
	j.clock()
	delete(j.starts, peer)
}

// PeerAttempt implements event.Observer.
func (j *Judge) PeerAttempt(peer, call string, work, capacity float64) {
	j.clock()
	j.work(peer, call, work, capacity)
}

// PeerListed implements event.Observer.
func (j *Judge) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	j.book.put(listing{version: version, name: peer, addr: addr, state: state, started: started, at: j.clock()})
	for _, name := range j.c.Nodes {
		if n := j.nodes[name]; n.told.reaches {
			j.owe(n)
		}
	}
}

// DiscoveryReachable implements event.Observer.
func (j *Judge) DiscoveryReachable(node, addr string, served bool) {
	j.clock()
	j.barred[way{node, addr}] = !served
	for _, name := range j.c.Nodes {
		j.reach(j.nodes[name])
	}
}

// MalformedInput implements event.Observer.
func (j *Judge) MalformedInput(id, why string, within time.Duration) {
	j.clock()
	m := badMark{why, within}
	if k := j.conns[id]; k == nil {
		j.bad[id] = m
	} else if k.client != nil {
		k.client.mark(m)
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
		j.end(n)
	}
	n.alive = true
	j.begin(n, version)
}

// NodeKilled implements event.Observer.
func (j *Judge) NodeKilled(name string) {
	j.clock()
	if n := j.nodes[name]; n != nil {
		j.end(n)
	}
}

// end ends a node's life.
func (j *Judge) end(n *node) {
	var some []*conn
	for k := range n.conns {
		some = append(some, k)
	}
	slices.SortFunc(some, byID)
	for _, k := range some {
		k.killed(j.now)
	}
	n.reset()
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
		n.term = max(now, 1)
	case "SIGHUP":
		j.moved(n, discovery)
	}
}
