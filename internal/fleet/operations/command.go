package operations

import "time"

// command is a log entry with exactly one of the requests.
type command struct {
	Suspend *ServerRequest     `json:"suspend,omitempty"`
	Restore *ServerRequest     `json:"restore,omitempty"`
	Begin   *BeginRoundRequest `json:"begin,omitempty"`
	Stop    *StopRoundRequest  `json:"stop,omitempty"`
	Advance *AdvanceRequest    `json:"move,omitempty"`
}

// ServerRequest is an operator's call to suspend or restore one server.
type ServerRequest struct {
	Server string `json:"server"`
	By     string `json:"by"` // node at which the operator made the call
}

// BeginRoundRequest begins a round.
type BeginRoundRequest struct {
	Key     string        `json:"key"` // name of the round, chosen by the operator
	By      string        `json:"by"`  // node at which the operator made the call
	Servers []string      `json:"servers"`
	Hold    time.Duration `json:"hold"` // duration for which each server stays out of use once it is drained
}

// StopRoundRequest stops a round before it is complete.
type StopRoundRequest struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// AdvanceRequest advances a round by one step. It is rejected if the round has left the given position and step.
type AdvanceRequest struct {
	Round    uint64 `json:"id"`
	Position int    `json:"at"`
	From     Step   `json:"from"`
}

// Result is the result of a command: a text for operators, or the reason for the rejection.
type Result struct {
	Text      string `json:"Text"`
	Rejection string `json:"No"` // "" if the command was not rejected
}

// request is a message from a node to a voter. It carries an operator's command if Command is set, or the request of a
// starting node for the suspended servers if AtStart is set, which any node answers. Otherwise it is a report of the
// node.
type request struct {
	Incarnation string         `json:"life,omitempty"`
	Version     uint64         `json:"version"`        // ledger version that the node has applied
	OpenCalls   map[string]int `json:"busy,omitempty"` // number of the node's open calls, by suspended server
	Command     *command       `json:"do,omitempty"`
	AtStart     bool           `json:"peek,omitempty"`
}

// response is the response to a request.
type response struct {
	Refusal    string   `json:"refuse,omitempty"` // reason why the voter did not process the request; "" if it did
	Leader     string   `json:"keeper,omitempty"` // set with Refusal: the leader known to the voter; "" if none
	Version    uint64   `json:"version"`          // version of the ledger
	Suspended  []string `json:"out,omitempty"`
	Rounds     []Round  `json:"rounds,omitempty"`
	WaitingFor []string `json:"waits,omitempty"` // nodes for which the running round waits
	Result     Result   `json:"answer"`          // result of a command
}
