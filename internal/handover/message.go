// Package handover joins the two processes that are one node during an upgrade:
// the one in service, and its successor. This file has what they tell each other
// and who may hold how much meanwhile; link.go has the socket between them.
package handover

import (
	"encoding/json"
	"fmt"

	"olivebridge/internal/maintenance"
)

// form is the version of the messages. A process of another form joins nothing:
// it starts as if it were alone.
const form = 1

// maxMessage bounds a message's bytes.
const maxMessage = 48 << 10

// batch is how many servers go in one message; with ids of 200 bytes it stays under maxMessage.
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
	Form    int                  `json:"form"`
	Kind    Kind                 `json:"kind"`
	Servers []maintenance.Record `json:"servers,omitempty"` // of State
	Version int64                `json:"version,omitempty"` // of the list that they are of
	Source  string               `json:"source,omitempty"`  // discovery's address, where versions are its own
	Paused  bool                 `json:"paused,omitempty"`
	Carried float64              `json:"carried_rate,omitempty"` // see balancer.Settings
	Number  uint64               `json:"number,omitempty"`       // of a call
	Word    string               `json:"word,omitempty"`
	ID      string               `json:"id,omitempty"`
	Fault   string               `json:"fault,omitempty"` // of Done: why the call does not hold
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

func encode(m Message) ([]byte, error) {
	m.Form = form
	data, err := json.Marshal(m)
	if err == nil && len(data) > maxMessage {
		err = fmt.Errorf("hand-over: a message of %d bytes, %d at most", len(data), maxMessage)
	}
	return data, err
}

func decode(data []byte) (m Message, err error) {
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("hand-over: %w", err)
	}
	if m.Form != form {
		return m, fmt.Errorf("hand-over: form %d, this process knows %d", m.Form, form)
	}
	return m, nil
}

// Part is the part of the node's limits that one of its processes may hold:
// both count together.
func Part(processes int) float64 { return 1 / float64(max(processes, 1)) }
