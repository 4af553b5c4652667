package operations

import "time"

// command is an entry of the log, with one of the requests.
type command struct {
	Suspend *ServerRequest     `json:"suspend,omitempty"`
	Restore *ServerRequest     `json:"restore,omitempty"`
	Begin   *BeginRoundRequest `json:"begin,omitempty"`
	Stop    *StopRoundRequest  `json:"stop,omitempty"`
	Advance *AdvanceRequest    `json:"move,omitempty"`
}

// ServerRequest is an operator's call that concerns one server.
type ServerRequest struct {
	Server string `json:"server"`
	By     string `json:"by"` // the node at which it was made
}

// BeginRoundRequest begins a round.
type BeginRoundRequest struct {
	Key     string        `json:"key"`
	By      string        `json:"by"`
	Servers []string      `json:"servers"`
	Hold    time.Duration `json:"hold"`
}

// StopRoundRequest stops a round before it is done.
type StopRoundRequest struct {
	Key    string `json:"key"`
	Reason string `json:"why"`
}

// AdvanceRequest takes a round one step further, if it still is where the sender saw it.
type AdvanceRequest struct {
	Round    uint64 `json:"id"`
	Position int    `json:"at"`
	From     Step   `json:"from"`
}

// Result is what came of a command: a text for operators, or why it was rejected.
type Result struct {
	Text      string `json:"Text"`
	Rejection string `json:"No"` // "": it was not rejected
}

// request goes from a node to a voter: a report of the node, an operator's command, or the question of a node that
// starts which servers are suspended, which any node answers.
type request struct {
	Incarnation string         `json:"life,omitempty"`
	Version     uint64         `json:"version"`        // of the ledger, that the node has applied
	OpenCalls   map[string]int `json:"busy,omitempty"` // of this node, by suspended server
	Command     *command       `json:"do,omitempty"`
	AtStart     bool           `json:"peek,omitempty"`
}

// response answers a request.
type response struct {
	Refusal    string   `json:"refuse,omitempty"` // why the voter did not take the request; "": it did
	Leader     string   `json:"keeper,omitempty"` // with a rejection, as far as the voter knows
	Version    uint64   `json:"version"`
	Suspended  []string `json:"out,omitempty"`
	Rounds     []Round  `json:"rounds,omitempty"`
	WaitingFor []string `json:"waits,omitempty"` // nodes that the round waits for
	Result     Result   `json:"answer"`          // of a command
}
