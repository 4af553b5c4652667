package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// ErrCancelled is the cause with which an attempt's context ends when the Balancer no longer wants the attempt.
var ErrCancelled = errors.New("called off")

// ErrDeadlineExceeded is the cause with which a Transport ends an attempt whose time is up.
var ErrDeadlineExceeded = errors.New("time up")

// Transport brings attempts and health checks to upstream servers. Each call of its methods has a goroutine of its own
// and blocks until the end is known, at the latest when the context ends or, for an attempt, at its ExpiresAt. A result
// that says "never ran" (see balancer.Result.NeverRan) must rest on proof.
//
// An attempt's context has a method InterruptOnDone(Interrupter) bool, which costs less than waiting for Done.
type Transport interface {
	// RoundTrip sends an attempt to its upstream server and waits for the reply.
	RoundTrip(ctx context.Context, attempt Attempt) AttemptResult
	// CheckHealth sends one active health check.
	CheckHealth(ctx context.Context, upstream *Upstream) balancer.Result
}

// Interrupter ends what a Transport waits for. Interrupt is called with the attempt's lock held and must not block.
type Interrupter interface{ Interrupt() }

// Attempt is one attempt at a call, on its way to an upstream server.
type Attempt struct {
	// RequestID is the call's; no two calls of a process share one.
	RequestID balancer.RequestID
	// Number counts the attempts of the call from 0.
	Number   int
	Upstream *Upstream
	// ExpiresAt is when the Transport stops waiting. It is not used for the reply to a streamed body: BodyTimeout is.
	ExpiresAt time.Time
	// StartBefore is from when on the first byte must not leave, however late the connection is up. Zero: no such bound.
	StartBefore time.Time
	// CallDone becomes true once the call is answered: the attempt must not start any more. nil: it never does.
	CallDone *atomic.Bool
	// Payload is the call's.
	Payload any
	// ValidUntil is how long the decision holds without being confirmed, while the upstream server does not restart.
	// Zero: as long as need be.
	ValidUntil time.Time
	// BodyTimeout is how long to wait for the reply to a streamed body, from OnBodySent on.
	BodyTimeout time.Duration
	// OnBodySent is to be called once, when the last byte of a streamed body has left. If nil, the whole call is in
	// Payload.
	OnBodySent func()

	upstreamStart balancer.Time   // the start of the upstream server that the decision rests on
	confirmer     *runningAttempt // asks the decisions; nil: the decision always holds
}

// MayStart reports whether the first byte may still leave at now. The Transport asks once the connection is up, which
// may be long after the decision.
func (a *Attempt) MayStart(now time.Time) bool {
	return (a.CallDone == nil || !a.CallDone.Load()) && (a.StartBefore.IsZero() || now.Before(a.StartBefore))
}

// StillValid reports whether the decision still holds at now, and waits for the decisions to confirm it where need be:
// what was meant for a server in one half of its overload window must not come with what the next half brings, nor what
// was meant for a warm server come to one that has restarted. The Transport asks once the connection is up, and asks
// MayStart afterwards.
func (a *Attempt) StillValid(now time.Time) bool {
	if a.confirmer == nil {
		return true
	}
	sameStart := a.upstreamStart == a.Upstream.startTime()
	if sameStart && (a.ValidUntil.IsZero() || now.Before(a.ValidUntil)) {
		return true
	}
	return a.confirmer.confirm()
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Result balancer.Result
	// Reply comes with balancer.OK. If it is a Releaser and no client takes it, it is released.
	Reply any
}

// Releaser is a reply that holds more than memory.
type Releaser interface{ Release() }

// releaseReply lets go of a reply that no client takes.
func releaseReply(reply any) {
	if r, ok := reply.(Releaser); ok {
		r.Release()
	}
}
