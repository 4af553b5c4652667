package rules

import (
	"net/http"
	"time"

	"olivebridge/internal/lab/world"
)

// request is what a client sent to a node.
type request struct {
	conn      *clientConn
	id        string
	method    string
	target    string
	class     *world.Class // nil: none, or an unknown one
	body      digest
	budget    time.Duration // the client's; 0: none
	call      *call         // nil: it has no single call ID, or is a readiness check
	start     int64         // offset of its first byte
	end       int64         // offset behind its last byte; 0: it is not complete
	malformed bool          // it must not be served
	readiness bool          // it is a readiness check

	accepted          bool // complete, and the connection is open
	acceptedAt        time.Duration
	arrived           bool // at the node's machine
	arrivedAt         time.Duration
	deadlineArmed     bool // its time runs
	settled           bool // answered, or no answer is owed any more
	reported          bool // as late or lost
	attemptsForbidden bool // no attempt may begin any more
	forbiddenSince    time.Duration
}

// owed reports whether the node still owes an answer.
func (r *request) owed() bool {
	return r.accepted && !r.settled && !r.malformed && !r.readiness && r.conn.malformedReason == ""
}

// forbidAttempts lets no further attempt begin after an instant; the first
// call counts.
func (r *request) forbidAttempts(at time.Duration) {
	if r.attemptsForbidden {
		return
	}
	r.attemptsForbidden = true
	r.forbiddenSince = at
}

// idempotent reports whether a request may run twice.
func (r *request) idempotent() bool {
	if r.class == nil {
		return r.method == http.MethodGet
	}
	return r.class.Safe
}
