package budget

import "time"

// The messages between holders and the leader are JSON objects on a stream of HolderChannel. Each request gets one
// response. Nodes of different builds exchange them, so the JSON keys must not change.

// Request is a holder's request to the leader for new grants of all quotas.
type Request struct {
	Counts      map[string]CountRequest `json:"counts,omitempty"`
	Holder      string                  `json:"holder"` // name of the node
	Incarnation string                  `json:"life"`   // of the process, which does not own grants of earlier ones
	Number      uint64                  `json:"number"` // increases with each request of the incarnation
	Demand      map[string]float64      `json:"want,omitempty"`
	// Current is the number of the grant in use, by quota. The holder uses no grant with a lower number.
	Current map[string]uint64 `json:"have,omitempty"`
	// Final means that this is the holder's last request: it admits no more units.
	Final bool `json:"over,omitempty"`
	// InUse is set if Final is true: the number of admitted units that are still in use, by quota.
	InUse map[string]int `json:"using,omitempty"`
	// Periods are the current periods of the counts by the holder's wall clock, by quota.
	Periods map[string]int64 `json:"periods,omitempty"`
}

// Response is the answer to a Request: the leader's grants, or a rejection.
type Response struct {
	Counts    map[string]CountGrant `json:"counts,omitempty"`
	Number    uint64                `json:"number"` // number of the Request
	Rejection Rejection             `json:"refuse,omitempty"`
	Leader    string                `json:"keeper,omitempty"` // in a rejection: name of the leader; "": not stated
	Lease     time.Duration         `json:"lease,omitempty"`
	Grants    map[string]Grant      `json:"grants,omitempty"` // by quota
}

// Grant is a part of a quota that is lent to a holder for the duration of a lease.
type Grant struct {
	Number uint64  `json:"number"` // increases with each grant and over terms: the raft term is in the upper 32 bits
	Amount float64 `json:"amount"` // Rate: units per second; InUse: units at one time
}

// Rejection is the reason why a request was rejected; "": it was not rejected.
type Rejection string

// Reasons for a rejection. They are sent to other nodes, so their text must not change.
const (
	rejectedNotLeader  Rejection = "another keeps the book, or nobody"
	rejectedOtherTerms Rejection = "the budgets of this node's fleet file are not the leader's"
	rejectedNewLeader  Rejection = "the leader is new: what was lent before it has not ended"
	rejectedDeposed    Rejection = "the leader was not in office any more"
)

// CountRequest is a request for a stock of a count, or for the return of one.
type CountRequest struct {
	Period   int64 `json:"period"`         // number of the period by the holder's wall clock
	Need     int64 `json:"need,omitempty"` // number of units requested
	Returned int64 `json:"back,omitempty"` // number of units that the holder returns
}

// CountGrant is a stock of a count that the ledger granted.
type CountGrant struct {
	Period    int64 `json:"period"`
	Units     int64 `json:"units"`
	Remaining int64 `json:"left"` // units of the period that are left in the ledger
}

// holderRequest is a Request with the fields that are needed to assign a seat and to compare the terms.
type holderRequest struct {
	Request
	Home  string `json:"home"`
	Seat  int    `json:"seat,omitempty"` // seat of the home, as stored in seatFile; 0: none
	Terms string `json:"terms"`          // see termsText
}

// leaderResponse is a Response with the seat of the holder's home.
type leaderResponse struct {
	Response
	Seat int `json:"seat,omitempty"` // 0: none
}
