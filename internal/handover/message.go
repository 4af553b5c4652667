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
	State Kind = "state" // to the successor: servers, in as many messages as it takes
	Serve Kind = "serve" // to the successor: that was all; the listener comes with it
	Ready Kind = "ready" // from the successor: it takes clients
	Asked Kind = "call"  // an operator's call that the other process has taken
	Done  Kind = "done"  // that call holds here, too
	Conn  Kind = "conn"  // a client connection that carries nothing comes with it
)

// Message is what the processes tell each other.
type Message struct {
	Kind    Kind
	Servers []maintenance.Record // of State
	Version int64                // of the list that they are of
	Source  string               // discovery's address, where versions are its own
	Paused  bool
	Carried float64 // see balancer.Settings
	Number  uint64  // of a call
	Word    string
	ID      string
	Fault   string // of Done: why the call does not hold
}

// Heritage is what a successor takes over.
type Heritage struct {
	Servers []maintenance.Record
	Version int64
	Source  string
	Paused  bool
	Carried float64
}

// Messages are those that bring a heritage, the listener's last.
func (h Heritage) Messages() (all []Message) {
	for rest := h.Servers; len(rest) > 0; {
		n := min(len(rest), batch)
		all = append(all, Message{Kind: State, Servers: rest[:n]})
		rest = rest[n:]
	}
	return append(all, Message{Kind: Serve, Version: h.Version, Source: h.Source, Paused: h.Paused, Carried: h.Carried})
}

// take adds a message to a heritage, and reports whether it was the last.
func (h *Heritage) take(m Message) (last bool, err error) {
	switch m.Kind {
	case State:
		h.Servers = append(h.Servers, m.Servers...)
		return false, nil
	case Serve:
		h.Version, h.Source, h.Paused, h.Carried = m.Version, m.Source, m.Paused, m.Carried
		return true, nil
	}
	return false, fmt.Errorf("hand-over: %q where the heritage was to come", m.Kind)
}

// Part is the part of the node's limits that one of its processes may hold:
// both count together.
func Part(processes int) float64 { return 1 / float64(max(processes, 1)) }
