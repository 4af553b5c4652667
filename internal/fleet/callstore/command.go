package callstore

import "time"

// BeginRequest asks for the permission to send a call.
type BeginRequest struct {
	Key         string `json:"key"`   // the idempotency key
	Fingerprint string `json:"print"` // of the request: a different one under the same key is a conflict
	Owner       Owner  `json:"owner"`
	Idempotent  bool   `json:"again,omitempty"` // the call may run more than once
	MaxOwners   int    `json:"most"`            // that may have sent the call; 0 in Begin: as configured
}

// BeginResult is what came of a BeginRequest. Either it is granted, or State says how the call stands, or one of the
// others says why it was rejected.
type BeginResult struct {
	Granted         bool     `json:"yours,omitempty"`   // the owner may send the call
	State           State    `json:"state,omitempty"`   // "" unless the call is with another owner, or ended
	Owner           Owner    `json:"owner,omitzero"`    // of a call with a state
	Outcome         *Outcome `json:"outcome,omitempty"` // of an answered call
	KeyConflict     bool     `json:"other,omitempty"`   // the key belongs to a different request
	StoreFull       bool     `json:"full,omitempty"`    // nothing is dropped before it expires
	OwnersExhausted bool     `json:"over,omitempty"`    // MaxOwners may have sent it
}

// EndRequest says what became of a call.
type EndRequest struct {
	Key         string   `json:"key"`
	Owner       Owner    `json:"owner"`
	State       State    `json:"state"`
	Fingerprint string   `json:"print,omitempty"` // with Free, of a call that the ledger may not know
	Outcome     *Outcome `json:"outcome,omitempty"`
}

// ReleaseRequest says that processes have failed for good: their calls have no owner any more.
type ReleaseRequest struct {
	Processes []process `json:"processes"`
}

// Limits bound the ledger.
type Limits struct {
	Retention  time.Duration `json:"window"` // for how long a call is stored after its last change
	MaxEntries int           `json:"most"`
}

// command is an entry of the log, with one of the three requests. The limits are part of it since all voters have to
// come to the same state from the same log, also while their fleet files differ.
type command struct {
	Now     int64           `json:"now"`    // the ledger's clock, in milliseconds
	Limits  Limits          `json:"limits"` // of the leader
	Begin   *BeginRequest   `json:"begin,omitempty"`
	End     *EndRequest     `json:"end,omitempty"`
	Release *ReleaseRequest `json:"lost,omitempty"`
}

// request goes to a voter, with one of the two. The number ties it to its response.
type request struct {
	Number uint64        `json:"number"`
	Begin  *BeginRequest `json:"begin,omitempty"`
	End    *EndRequest   `json:"end,omitempty"`
}

// isFrom reports whether the owner in a request is of the node called name.
func (r request) isFrom(name string) bool {
	if r.Begin != nil && r.Begin.Owner.Name != name {
		return false
	}
	return r.End == nil || r.End.Owner.Name == name
}

// response answers a request.
type response struct {
	Number      uint64      `json:"number"`
	Refusal     string      `json:"refuse,omitempty"` // why the voter did not take the request; "": it did
	Leader      string      `json:"keeper,omitempty"` // with a rejection, as far as the voter knows
	BeginResult BeginResult `json:"verdict,omitzero"`
	EndAccepted bool        `json:"taken,omitempty"`
}
