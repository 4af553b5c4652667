package budget

import "time"

// The messages between holders and the leader, each a JSON object on a stream of HolderChannel. The leader answers
// each request with one response. Nodes of different builds exchange them: the keys of the JSON stay.

// Request is what a holder asks the leader for.
type Request struct {
	Counts      map[string]CountRequest `json:"counts,omitempty"`
	Holder      string                  `json:"holder"` // name of the node
	Incarnation string                  `json:"life"`   // of its process: grants of an earlier one are not its own
	Number      uint64                  `json:"number"` // rises with each request of the incarnation
	Demand      map[string]float64      `json:"want,omitempty"`
	// Current is the number of the grant that it uses now, and it uses no earlier one, by quota.
	Current map[string]uint64 `json:"have,omitempty"`
	// Final says that the holder admits nothing any more, and requests nothing.
	Final bool `json:"over,omitempty"`
	// InUse goes with Final: units that were admitted and are in use still, by quota.
	InUse map[string]int `json:"using,omitempty"`
	// Periods are those that counts are in by the holder's wall clock, by quota.
	Periods map[string]int64 `json:"periods,omitempty"`
}

// Response is what the leader lends.
type Response struct {
	Counts    map[string]CountGrant `json:"counts,omitempty"`
	Number    uint64                `json:"number"` // of the Request
	Rejection Rejection             `json:"refuse,omitempty"`
	Leader    string                `json:"keeper,omitempty"` // name of the leader, if that is another voter
	Lease     time.Duration         `json:"lease,omitempty"`
	Grants    map[string]Grant      `json:"grants,omitempty"` // by quota
}

// Grant is a part of a quota that is lent.
type Grant struct {
	Number uint64  `json:"number"` // rises with each grant, over all terms: the term is in its upper half
	Amount float64 `json:"amount"` // of Rate a second, of InUse at one time
}

// Rejection is why a request was rejected; "": it was not.
type Rejection string

// The rejections.
const (
	rejectedNotLeader  Rejection = "another keeps the book, or nobody"
	rejectedOtherTerms Rejection = "the budgets of this node's fleet file are not the leader's"
	rejectedNewLeader  Rejection = "the leader is new: what was lent before it has not ended"
	rejectedDeposed    Rejection = "the leader was not in office any more"
)

// CountRequest is a request for a stock of a count.
type CountRequest struct {
	Period   int64 `json:"period"`         // its number, by the holder's wall clock
	Need     int64 `json:"need,omitempty"` // units
	Returned int64 `json:"back,omitempty"` // units that the holder gives back
}

// CountGrant is a stock of a count.
type CountGrant struct {
	Period    int64 `json:"period"`
	Units     int64 `json:"units"`
	Remaining int64 `json:"left"` // units that nobody has
}

// holderRequest is a Request with what the ledger needs besides.
type holderRequest struct {
	Request
	Home  string `json:"home"`
	Seat  int    `json:"seat,omitempty"` // that the home has by its own disk; 0: none
	Terms string `json:"terms"`          // see termsText
}

// leaderResponse is a Response with the home's seat.
type leaderResponse struct {
	Response
	Seat int `json:"seat,omitempty"` // 0: none
}
