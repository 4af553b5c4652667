package rules

import (
	"net/http"
	"time"

	"olivebridge/internal/lab/world"
)

// request is one request from a client to a node.
type request struct {
	conn      *clientConn
	id        string
	method    string
	target    string
	class     *world.Class // nil: missing or unknown
	body      digest
	budget    time.Duration // the client's timeout; 0: none
	call      *call         // nil: not exactly one call ID, or a readiness check
	start     int64         // offset of its first byte
	end       int64         // offset after its last byte; 0: incomplete
	malformed bool          // it must not be served
	readiness bool          // it is a readiness check

	accepted          bool // sent completely on an open connection
	acceptedAt        time.Duration
	arrived           bool // it has reached the node's machine completely
	arrivedAt         time.Duration
	deadlineScheduled bool // the check of its deadline is scheduled
	settled           bool // answered, or no answer is required any more
	reported          bool // a violation Late or Lost was reported
	attemptsForbidden bool // no attempt may begin after forbiddenSince
	forbiddenSince    time.Duration
	rejected          bool // it is not idempotent and was answered with 429 or 503: no attempt of it may run any more
}

// maxBufferedBody is the size of the longest body that a node reads before it forwards the request, in bytes.
const maxBufferedBody = 64 << 10

// isLong reports whether a node forwards the request while its body is still arriving.
func (r *request) isLong() bool { return r.body.size > maxBufferedBody }

// isArriving reports whether bytes of a complete request are on their way to a node that still receives them. Its
// client may have left behind them, which the node cannot know before they have arrived.
func (r *request) isArriving() bool {
	return r.end > r.conn.forward.arrived && !r.conn.backward.ended && !r.conn.broken
}

// needsAnswer reports whether the node must still answer the request.
func (r *request) needsAnswer() bool {
	return r.accepted && !r.settled && !r.malformed && !r.readiness && r.conn.malformedReason == ""
}

// forbidAttempts forbids attempts that begin after an instant. Further calls
// have no effect.
func (r *request) forbidAttempts(at time.Duration) {
	if r.attemptsForbidden {
		return
	}
	r.attemptsForbidden = true
	r.forbiddenSince = at
}

// idempotent reports whether the request may run more than once. Without a known
// class, only GET may.
func (r *request) idempotent() bool {
	if r.class == nil {
		return r.method == http.MethodGet
	}
	return r.class.Safe
}
