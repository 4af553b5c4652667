package routing

import "time"

// Call is a client's request, reduced to what the decisions need. The rest of the request stays in Payload as it came
// and reaches the Transport unread.
type Call struct {
	// ClientRequestID is the id that the client gave. Of two open calls with one id the later is answered Duplicate.
	// Empty: the call cannot be told from others.
	ClientRequestID string
	// Class is an index into the settings' classes.
	Class int
	// Tenant is an index into the settings' tenants. Below 0: none.
	Tenant int
	// AffinityKey keeps calls with the same key at the same servers. 0: none.
	AffinityKey uint64
	// ClientRetry tells that the client has marked the call as a retry.
	ClientRetry bool
	// ReceivedAt is when the call's last byte came; with StreamsBody, when its head came.
	ReceivedAt time.Time
	// Timeout is how long the client waits for its answer, from ReceivedAt or, with StreamsBody, from the last byte on.
	Timeout time.Duration
	// StreamsBody tells that the last byte is still to come, and that the Transport forwards the body as it comes.
	StreamsBody bool
	// Payload is the request as the Transport sends it.
	Payload any
}

// Verdict says how a call was answered.
type Verdict uint8

// The verdicts.
const (
	// Served: an upstream server's answer is in Reply.
	Served Verdict = iota
	// Rejected: the call never ran, and a retry is harmless.
	Rejected
	// Failed: the call may have run.
	Failed
	// DeadlineExceeded: the call may have run, and its time was up.
	DeadlineExceeded
	// Duplicate: a call with the same client request id is open and goes on; this one had no attempt.
	Duplicate
)

// String is the verdict's name in logs and records.
func (v Verdict) String() string {
	return [...]string{"served", "reject", "failed", "overdue", "twice"}[v]
}

// Answer is the one final answer to a call.
type Answer struct {
	Verdict Verdict
	// RetryAfter is, with Rejected, how long the client should wait before a retry. 0: no advice.
	RetryAfter time.Duration
	// Reply is, with Served, the Transport's reply, unchanged.
	Reply any
}
