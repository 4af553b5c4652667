// Package handover joins the two processes that are one node during an upgrade:
// the one in service, and its successor. This file has what they tell each other
// and who may hold how much meanwhile; link.go has the socket between them.
package handover

import (
	"fmt"

	"olivebridge/internal/maintenance"
)

// batch is how many servers go in one message; with ids of 200 bytes it stays under maxMessageBytes.
const batch = 60

// Kind says what a message is about.
type Kind string

// The kinds.
const (
	KindServers    Kind = "state" // to the successor: servers, in as many messages as it takes
	KindListener   Kind = "serve" // to the successor: that was all; the listener comes with it
	KindReady      Kind = "ready" // from the successor: it takes clients
	KindCommand    Kind = "call"  // an operator's call that the other process has taken
	KindResult     Kind = "done"  // that call holds here, too
	KindConnection Kind = "conn"  // a client connection that carries nothing comes with it
)

// Message is what the processes tell each other.
type Message struct {
	Kind           Kind
	Servers        []maintenance.Record // of State
	ListVersion    int64                // of the list that they are of
	DiscoveryAddr  string               // discovery's address, where versions are its own
	Paused         bool
	WarmThroughput float64 // see balancer.Settings
	RequestNumber  uint64  // of a call
	Command        string
	ServerID       string
	Error          string // of Done: why the call does not hold
}

// Heritage is what a successor takes over.
type NodeState struct {
	Servers        []maintenance.Record
	ListVersion    int64
	DiscoveryAddr  string
	Paused         bool
	WarmThroughput float64
}

// Messages are those that bring a heritage, the listener's last.
func (h NodeState) Messages() (all []Message) {
	for rest := h.Servers; len(rest) > 0; {
		n := min(len(rest), batch)
		all = append(all, Message{Kind: KindServers, Servers: rest[:n]})
		rest = rest[n:]
	}
	return append(all, Message{Kind: KindListener, ListVersion: h.ListVersion, DiscoveryAddr: h.DiscoveryAddr, Paused: h.Paused, WarmThroughput: h.WarmThroughput})
}

// take adds a message to a heritage, and reports whether it was the last.
func (h *NodeState) take(m Message) (last bool, err error) {
	switch m.Kind {
	case KindServers:
		h.Servers = append(h.Servers, m.Servers...)
		return false, nil
	case KindListener:
		h.ListVersion, h.DiscoveryAddr, h.Paused, h.WarmThroughput = m.ListVersion, m.DiscoveryAddr, m.Paused, m.WarmThroughput
		return true, nil
	}
	return false, fmt.Errorf("hand-over: %q where the heritage was to come", m.Kind)
}

// Part is the part of the node's limits that one of its processes may hold:
// both count together.
func ResourceShare(processes int) float64 { return 1 / float64(max(processes, 1)) }
