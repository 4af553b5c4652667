package routing

import "time"

// Call is the request of a client, reduced to the fields on which routing decisions depend. Payload holds the request
// itself, which the Router passes to the Transport unread and unmodified.
type Call struct {
	// ClientRequestID is the request id that the client sent. A call with the id of an open call is answered with
	// Duplicate. If the id is empty, the call is never treated as a duplicate.
	ClientRequestID string
	// Class is the index of the call's class in balancer.Settings.Classes.
	Class int
	// Tenant is the index of the call's tenant in balancer.Settings.Tenants. A negative index means no tenant.
	Tenant int
	// AffinityKey routes calls with the same key to the same servers. 0 means no affinity.
	AffinityKey uint64
	// ClientRetry reports whether the client marked the call as a retry.
	ClientRetry bool
	// ReceivedAt is the time at which the last byte of the request was received. If StreamsBody is set, it is the time at
	// which the head of the request was received.
	ReceivedAt time.Time
	// Timeout is the duration for which the client waits for the answer. It starts at ReceivedAt or, if StreamsBody is
	// set, when the client has sent the last byte of the body: see BodyReceived.
	Timeout time.Duration
	// StreamsBody is set if the body is still being received and the Transport forwards it while it arrives.
	StreamsBody bool
	// BodyReceived receives once the time from which Timeout counts, when the body's last byte has been received or may
	// have been waiting for all of Timeout because an upstream server did not take the bytes before it. It is nil unless
	// StreamsBody is set.
	BodyReceived <-chan time.Time
	// Payload is the request in the form in which the Transport sends it.
	Payload any
}

// Verdict is the kind of answer to a call.
type Verdict uint8

// Verdicts of a call.
const (
	// Served means that Answer.Reply is the reply of an upstream server.
	Served Verdict = iota
	// Rejected means that the call never ran, so a retry by the client is safe.
	Rejected
	// Failed means that the call may have run.
	Failed
	// DeadlineExceeded means that the call was not answered before its deadline. It may have run.
	DeadlineExceeded
	// Duplicate means that another call with the same ClientRequestID is open and continues. No attempt was made for this
	// call.
	Duplicate
)

// String returns the name of the verdict in logs and records.
func (v Verdict) String() string {
	return [...]string{"served", "reject", "failed", "overdue", "twice"}[v]
}

// Answer is the single final answer to a call.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the duration for which the client should wait before a retry. It is set for Rejected only; 0 means no
	// advice.
	RetryAfter time.Duration
	// NeverSent reports whether no attempt was made although the verdict is Failed: another call with the same
	// ClientRequestID may run in another process of the node.
	NeverSent bool
	// Reply is the unmodified reply of the Transport. It is set for Served only.
	Reply any
}
