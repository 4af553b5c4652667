package rules

import (
	"slices"
	"time"
)

// node is the state of one node. All fields except name and incarnation are
// reset when its process ends.
type node struct {
	name         string
	incarnation  int  // number of the node's current process
	alive        bool // the process has started and was not killed
	calls        map[string]*call
	conns        map[*conn]struct{}
	view         discoveryView
	suspended    map[string]suspension // by peer
	terminatedAt time.Duration         // when it received SIGTERM; 0: it did not
	pausedSince  time.Duration         // when operators paused it; 0: it is not paused
}

// reset discards the state of the node's process and begins a new incarnation.
func (n *node) reset() {
	*n = node{
		name:        n.name,
		incarnation: n.incarnation + 1,
		calls:       map[string]*call{},
		conns:       map[*conn]struct{}{},
		view:        newDiscoveryView(),
		suspended:   map[string]suspension{},
	}
}

// call returns the call with an ID and creates it if necessary.
func (n *node) call(id string) *call {
	found := n.calls[id]
	if found == nil {
		found = &call{id: id, node: n}
		n.calls[id] = found
	}
	return found
}

// endNode handles the end of a node's process: it ends the node's connections
// and resets its state.
func (j *Judge) endNode(n *node) {
	var conns []*conn
	for k := range n.conns {
		conns = append(conns, k)
	}
	slices.SortFunc(conns, byID)
	for _, k := range conns {
		k.killed(j.now)
	}
	n.reset()
}
