package rules

import (
	"slices"
	"time"
)

// node is the state of one node. Everything but its name belongs to its
// present incarnation.
type node struct {
	name         string
	incarnation  int  // counts its processes
	alive        bool // it has started, and was not killed
	calls        map[string]*call
	conns        map[*conn]struct{}
	view         discoveryView
	suspended    map[string]suspension // by peer
	terminatedAt time.Duration         // when SIGTERM reached it; 0: it did not
	pausedSince  time.Duration         // when operators paused it; 0: it is not paused
}

// reset begins a new incarnation of a node.
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

// call finds a call by its ID, or adds one.
func (n *node) call(id string) *call {
	found := n.calls[id]
	if found == nil {
		found = &call{id: id, node: n}
		n.calls[id] = found
	}
	return found
}

// endNode ends the incarnation of a node.
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
