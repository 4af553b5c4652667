package callstore

import "time"

// BeginRequest requests permission to send a call.
type BeginRequest struct {
	Key         string `json:"key"`   // the idempotency key
	Fingerprint string `json:"print"` // fingerprint of the client's request; all requests with one key must have the same
	Owner       Owner  `json:"owner"`
	Idempotent  bool   `json:"again,omitempty"` // the call may run more than once
	MaxOwners   int    `json:"most"`            // limit on owners of the call; Begin replaces 0 by Config.MaxOwners
}

// BeginResult is the result of a BeginRequest. Exactly one of Granted, State, KeyConflict, StoreFull and
// OwnersExhausted is set: the request was granted, or State is the state of the call, or the field names the reason for
// the rejection.
type BeginResult struct {
	Granted         bool     `json:"yours,omitempty"`   // the owner may send the call
	State           State    `json:"state,omitempty"`   // set if the call has another owner or has ended
	Owner           Owner    `json:"owner,omitzero"`    // owner of the call, if State is set
	Outcome         *Outcome `json:"outcome,omitempty"` // outcome of an answered call
	KeyConflict     bool     `json:"other,omitempty"`   // a different request has used the key
	StoreFull       bool     `json:"full,omitempty"`    // the ledger has MaxEntries, and drops none before it expires
	OwnersExhausted bool     `json:"over,omitempty"`    // MaxOwners owners may already have sent the call
}

// EndRequest reports the final state of an owner's attempt to run a call.
type EndRequest struct {
	Key         string   `json:"key"`
	Owner       Owner    `json:"owner"`
	State       State    `json:"state"`
	Fingerprint string   `json:"print,omitempty"` // set with Free if the ledger may have no entry for the call
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// ReleaseRequest reports processes that have failed permanently. The ledger releases their running calls.
type ReleaseRequest struct {
	Processes []process `json:"processes"`
}

// Limits bounds the ledger.
type Limits struct {
	Retention  time.Duration `json:"window"` // duration for which a call is stored after its last change
	MaxEntries int           `json:"most"`
}

// command is a log entry with exactly one of the three requests. It includes the limits because all voters must derive
// the same state from the same log, even while their fleet files differ.
type command struct {
	Now     int64           `json:"now"`    // the ledger's clock, in milliseconds
	Limits  Limits          `json:"limits"` // limits of the leader that proposed the command
	Begin   *BeginRequest   `json:"begin,omitempty"`
	End     *EndRequest     `json:"end,omitempty"`
	Release *ReleaseRequest `json:"lost,omitempty"`
}

// request is a message to a voter with exactly one of Begin and End.
type request struct {
	Number uint64        `json:"number"` // identifies the request on its stream; the response has the same number
	Begin  *BeginRequest `json:"begin,omitempty"`
	End    *EndRequest   `json:"end,omitempty"`
}

// isFrom reports whether the owner in the request belongs to the node with the given name.
func (r request) isFrom(name string) bool {
	if r.Begin != nil && r.Begin.Owner.Name != name {
		return false
	}
	return r.End == nil || r.End.Owner.Name == name
}

// response is the response to a request.
type response struct {
	Number      uint64      `json:"number"`
	Refusal     string      `json:"refuse,omitempty"` // reason why the voter did not process the request; "" if it did
	Leader      string      `json:"keeper,omitempty"` // set with Refusal: the leader known to the voter; "" if none
	NotProposed bool        `json:"never,omitempty"`  // set with Refusal if the request will certainly not be committed
	BeginResult BeginResult `json:"verdict,omitzero"`
	EndAccepted bool        `json:"taken,omitempty"`
}
