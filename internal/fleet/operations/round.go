package operations

import (
	"fmt"
	"time"
)

// Step is the progress of a round on its present server.
type Step string

// The steps, in the order in which a round takes them.
const (
	Pending   Step = "waits"   // the server is not suspended yet
	Draining  Step = "leaves"  // the server is suspended; nodes apply the suspension and complete their open calls there
	Drained   Step = "empty"   // no node has open calls at the server; it stays out of use for Round.Hold
	Restoring Step = "returns" // the server is restored; nodes apply the change
)

// State is the state of a round.
type State string

// The states of a round.
const (
	Running State = "runs"
	Stopped State = "stopped" // stopped by an operator; the server that the round had suspended is restored
	Done    State = "done"
)

// Suspension is the reason why the whole fleet keeps a server out of use.
type Suspension struct {
	Version uint64 `json:"version"`         // ledger version that added the suspension
	Round   uint64 `json:"round,omitempty"` // ID of the round that suspended the server; 0 if an operator did
	By      string `json:"by"`              // node at which the operator made the call
}

// reason returns the reason for the suspension, as shown to operators.
func (s Suspension) reason() string {
	if s.Round != 0 {
		return fmt.Sprintf("by round %d", s.Round)
	}
	return "by a word at " + s.By
}

// Round is a maintenance round, which takes servers out of use one after the other.
type Round struct {
	ID         uint64        `json:"id"`
	Key        string        `json:"key"` // name chosen by the operator; a second round with the same key is not begun
	By         string        `json:"by"`  // node at which the operator began the round
	Servers    []string      `json:"servers"`
	Hold       time.Duration `json:"hold"` // duration for which each server stays out of use once it is drained
	Position   int           `json:"at"`   // index of the present server in Servers
	Step       Step          `json:"step"`
	State      State         `json:"state"`
	Version    uint64        `json:"version"` // ledger version after the round's last step
	StopReason string        `json:"why,omitempty"`
}

// Server returns the present server, or "" after the last server.
func (r *Round) Server() string {
	if r.Position < len(r.Servers) {
		return r.Servers[r.Position]
	}
	return ""
}

// isAt reports whether the round is at the position and step of a request.
func (r *Round) isAt(request AdvanceRequest) bool {
	return r.Position == request.Position && r.Step == request.From
}

// toNextServer moves the round to its next server. After the last server the round is Done.
func (r *Round) toNextServer() {
	r.Position++
	r.Step = Pending
	if r.Position >= len(r.Servers) {
		r.State = Done
	}
}

// String returns a description of the round for operators.
func (r *Round) String() string {
	text := fmt.Sprintf("round %q, begun at %s: ", r.Key, r.By)
	switch r.State {
	case Done:
		return text + fmt.Sprintf("done, %d servers", len(r.Servers))
	case Stopped:
		return text + fmt.Sprintf("stopped after %d of %d servers: %s", r.Position, len(r.Servers), r.StopReason)
	}
	return text + fmt.Sprintf("server %d of %d, %s, %s", r.Position+1, len(r.Servers), r.Server(), r.Step)
}
