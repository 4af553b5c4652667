package balancer

import "time"

// Time is an instant in nanoseconds. Its origin is common to the host's clock and
// to Server.StartedAt. It never runs backwards and is above 0: in fields, 0 means
// that there is no such instant.
type Time int64

// ServerID names a server. It is opaque, and the same at every node.
type ServerID uint64

// RequestID names a request. It is never used twice within one incarnation of
// a node.
type RequestID uint64

// Request is a client's request as it arrives.
type Request struct {
	ID RequestID
	// Timeout is how long the client waits for this request, from now on.
	Timeout time.Duration
	// ExpectedWork is the processing time that the client expects; 0: unknown.
	ExpectedWork time.Duration
	// AffinityKey selects the server that has served the same key; 0: none.
	AffinityKey uint64
	// Class is the index of the request's class in Settings.Classes.
	Class int
	// Tenant is the index of the request's tenant in Settings.Tenants; out of
	// range: none.
	Tenant int
	// ClientRetry is set where the client marked the request as its own retry. The
	// Balancer does not use it; hosts pass it on so that ports need no new call.
	ClientRetry bool
	// StreamsBody is set where the last byte of the body is still to come and is
	// passed on as it comes. Such a request is sent once only. It counts as in
	// flight, and Timeout begins to run, with HandleBodySent.
	StreamsBody bool
}

// Result says how an attempt or a health check ended.
type Result uint8

// The results.
const (
	OK            Result = iota // served
	Errored                     // an error was returned; it may have run
	Rejected                    // the server rejected it unseen; it never ran
	TimedOut                    // no answer in time; it may have run
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn by Cancel; it may have run
	NotSent                     // it never left this node
)

// NeverRan reports whether the result proves that its attempt never ran.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// MaxLoadValues is the most values that a load report holds.
const MaxLoadValues = 4

// LoadReport is a server's own report of its load. The Balancer uses none of it;
// hosts pass it on so that ports need no new call once it does.
type LoadReport struct {
	N      int
	Values [MaxLoadValues]float32
}

// Outcome is how an attempt ended; there is exactly one for each Send.
type Outcome struct {
	ID      RequestID
	Attempt int
	// Server and Load are not used by the Balancer, which knows the server of each
	// attempt.
	Server  ServerID
	Latency time.Duration
	Result  Result
	// RequestDone is set where the request has its final answer, by this outcome
	// or before.
	RequestDone bool
	Load        LoadReport
}

// HealthCheckResult is the result of one CheckHealth. The Balancer uses Server and
// Result.
type HealthCheckResult struct {
	Server  ServerID
	Latency time.Duration
	Result  Result
	Load    LoadReport
}

// ServerState is what the endpoint list says of a server.
type ServerState uint8

// The states, numbered as discovery numbers them.
const (
	Removed ServerState = iota
	Ready
	Draining
)

// Server is one entry of the endpoint list.
type Server struct {
	ID   ServerID
	Cell uint16
	Zone uint8
	Kind uint8
	// StartedAt is when its process last started; 0: long ago.
	StartedAt Time
	// Weight is its relative capacity; 0 or less: unknown.
	Weight float32
	State  ServerState
	// OutsideSubset is set while the server is not in the subset that this node
	// works with: it is sent nothing and not checked. Servers that operators have
	// suspended come as Draining instead.
	OutsideSubset bool
}

// UpdateKind says how the entries of an update relate to the endpoint list held.
type UpdateKind uint8

// The kinds of update, numbered as discovery numbers them.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; what is missing is removed
	UpdateCached                   // as UpdateFull, but perhaps stale: what a restarted node had last
	UpdateFailed                   // no entries: a call to discovery failed, or the watch broke
)
