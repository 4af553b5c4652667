package operations

import (
	"fmt"
	"time"
)

// Step is how far a round is with its present server.
type Step string

// The steps, in their order.
const (
	Pending   Step = "waits"   // nothing was done yet
	Draining  Step = "leaves"  // it is suspended; nodes are told, and complete their calls there
	Drained   Step = "empty"   // no node has a call there; it is held out of use
	Restoring Step = "returns" // it is in use again; nodes are told
)

// State is how a round stands.
type State string

// The states.
const (
	Running State = "runs"
	Stopped State = "stopped" // by an operator; the server that was suspended is back in use
	Done    State = "done"
)

// Suspension is why the whole fleet keeps a server out of use.
type Suspension struct {
	Version uint64 `json:"version"`         // of the ledger, since which it is
	Round   uint64 `json:"round,omitempty"` // that suspended it; 0: an operator did
	By      string `json:"by"`              // the node at which the operator's call was made
}

// reason is the suspension for operators.
func (s Suspension) reason() string {
	if s.Round != 0 {
		return fmt.Sprintf("by round %d", s.Round)
	}
	return "by a word at " + s.By
}

// Round takes some servers out of use for maintenance, one after the other.
type Round struct {
	ID         uint64        `json:"id"`
	Key        string        `json:"key"` // the operators' name for it; a second one with the same is not begun
	By         string        `json:"by"`  // the node at which it was begun
	Servers    []string      `json:"servers"`
	Hold       time.Duration `json:"hold"` // for how long each server is held out once it is drained
	Position   int           `json:"at"`   // of the present server in Servers
	Step       Step          `json:"step"`
	State      State         `json:"state"`
	Version    uint64        `json:"version"` // of the ledger, at the last step
	StopReason string        `json:"why,omitempty"`
}

// Server is the present server; "" once the round is over.
func (r *Round) Server() string {
	if r.Position < len(r.Servers) {
		return r.Servers[r.Position]
	}
	return ""
}

// isAt reports whether a round is where the sender of a request saw it.
func (r *Round) isAt(request AdvanceRequest) bool {
	return r.Position == request.Position && r.Step == request.From
}

// toNextServer ends the round's work on its present server.
func (r *Round) toNextServer() {
	r.Position++
	r.Step = Pending
	if r.Position >= len(r.Servers) {
		r.State = Done
	}
}

// String is the round for operators.
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
