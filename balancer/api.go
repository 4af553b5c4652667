// Package balancer makes the decisions of one load-balancing node in front of a
// fleet of HTTP servers.
//
// A Balancer is a deterministic state machine: it is made from Settings, a seed
// and a time, takes one call per event with the time of that event, and acts
// through the Host that embeds it. It starts no goroutine, reads no clock and
// does no I/O. This file holds the whole interface; every decision is in balancer.go.
package balancer

import "time"

// Time is an instant: nanoseconds since an arbitrary origin; it never runs backwards.
type Time int64

// ServerID names a server. It is opaque, but the same at every node.
type ServerID uint64

// RequestID names a request; it is never used twice within one node's life.
type RequestID uint64

// Host carries out what a Balancer decides. Its methods must not call back
// into the Balancer.
type Host interface {
	// Send starts the next attempt of a request; the host abandons it at the
	// client's deadline. Where holds is not 0 it asks Begin if the first byte
	// would leave then or later, and always if the server has started anew
	// since; an attempt that may not begin ends as Moot.
	Send(id RequestID, to ServerID, holds Time)
	// Cancel stops waiting for the numbered attempt.
	Cancel(id RequestID, attempt int)
	// Refuse is a final answer: trying again is harmless, best after retryAfter (0: no advice).
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Probe asks one server whether it is well; the answer comes as Probed.
	CheckHealth(to ServerID)
	// Watch asks discovery for the changes missed and all further ones.
	Watch()
	// SetTimer asks for a Wake with ref after d.
	SetTimer(d time.Duration, ref uint64)
	// Log adds a line for the people on call.
	Log(line string)
}

// Effect says how safe it is to run a request twice.
type Idempotency uint8

// The effects.
const (
	NonIdempotent    Idempotency = iota // must never run twice
	IdempotencyKeyed                    // repeats are dropped within Scope, for Window
	Idempotent                          // repeats are harmless
)

// Scope says which servers drop the repeats of a Token request.
type DedupScope uint8

// The scopes.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupFleet
)

// Class is one kind of request.
type Class struct {
	LatencyObjective time.Duration // full worth is earned within this time
	ObjectivePerWork float64       // the aim grows by this multiple of the request's work
	Deadline         time.Duration // the client's patience over all its tries
	PriorityWeight   float64
	LateWeightShare  float64 // share of Worth for an answer after the aim
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration
	Streaming        bool
}

// Tenant is one customer and its share of the fleet.
type Tenant struct {
	Share float64
	Quota float64 // requests a second over all nodes; 0 sets none
}

// Settings are what a node is told when it starts.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant
	Nodes                int           // nodes of this tier, this one included
	WeightPerWork        bool          // worth counts per unit of work, not per request
	OverQuotaWeightShare float64       // what is left of the worth beyond a tenant's share
	LiveWeights          bool          // listed weights sink with a server's load
	PollDiscovery        bool          // the list comes only when asked for
	PollInterval         time.Duration // longest pause between questions without a watch
	DrainGrace           time.Duration // sends to a draining or gone server end within this time
	ServeRemoved         bool          // gone alone does not bind, draining does
	InitialCapacity      float64       // a server starts with this share of its capacity or more
	SlowStart            time.Duration // and is warm after this time at most
	OverloadFactor       float64       // sent more than this multiple of its present capacity
	OverloadWindow       time.Duration // for this long, a cold server falls over
	MaxAttempts          int           // attempts per request
	HealthChecks         bool
	Zone                 uint8 // of this node
	Zones                int
	CrossZoneCost        float64 // taken off the result if each request crosses zones once
	HealthCheckCost      float64 // taken off the result for one probe a request
	CancelAttempts       bool
	Hedging              bool
	RetryAfter           bool
	MaxRetryAfter        time.Duration
	// Carried is what the node's process before this one had learnt that warm servers carry, see Carried.
	WarmThroughput float64
}

// State is what the list says of a server.
type ServerState uint8

// The states, numbered as discovery numbers them.
const (
	Removed ServerState = iota
	Ready
	Draining
)

// Server is one entry of the list.
type Server struct {
	ID        ServerID
	Cell      uint16
	Zone      uint8
	Kind      uint8
	StartedAt Time // when it last started; 0: long ago
	Weight    float32
	State     ServerState
	Suspended bool // this node works with others alone: it is sent nothing, and not probed
}

// ListKind says how the entries of a list relate to the list held.
type UpdateKind uint8

// The kinds of list, numbered as discovery numbers them.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all entries; what is missing is gone
	UpdateCached                   // as Full, but perhaps stale: what a restarted node had last
	UpdateFailed                   // no entries: a call to discovery failed, or the watch broke
)

// Request is a client's request as it arrives.
type Request struct {
	ID           RequestID
	Timeout      time.Duration // until the client gives this try up
	ExpectedWork time.Duration // expected work; 0: no hint
	AffinityKey  uint64        // 0: none
	Class        int
	Tenant       int
	ClientRetry  bool // the client marked it as a repeat
	// Slow: its last byte is still to come, and goes on to the server as it comes. It can be sent once only.
	// Its time begins, and the server holds it, with Written; Budget counts until then.
	StreamsBody bool
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota // served
	Errored                     // an error was returned; it may have run
	Rejected                    // turned away unseen; it never ran
	TimedOut                    // no answer in time; it may have run
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn; it may have run
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that its attempt never ran.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// MaxLoad is the most values a load report holds.
const MaxLoadValues = 4

// Load is a server's load report. The Balancer keeps none of it at present;
// hosts pass it so that ports need no new call when it does.
type LoadReport struct {
	N      int
	Values [MaxLoadValues]float32
}

// Outcome is how an attempt ended; there is exactly one for each Send.
type Outcome struct {
	ID          RequestID
	Attempt     int
	Server      ServerID
	Latency     time.Duration
	Result      Result
	RequestDone bool // the request is finished, by this outcome or before
	Load        LoadReport
}

// ProbeResult is the answer to one Probe.
type HealthCheckResult struct {
	Server  ServerID
	Latency time.Duration
	Result  Result
	Load    LoadReport
}
