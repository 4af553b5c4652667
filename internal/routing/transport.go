package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// ErrCancelled is the cause with which the context of an attempt ends when the Balancer cancels the attempt.
var ErrCancelled = errors.New("attempt cancelled by the balancer")

// ErrDeadlineExceeded is the cause with which a Transport ends an attempt whose time limit has passed.
var ErrDeadlineExceeded = errors.New("attempt deadline exceeded")

// Transport sends attempts and health checks to upstream servers. Each method call runs on its own goroutine and blocks
// until the outcome is known, but not after the context ends or, for an attempt, ExpiresAt passes. It may return a
// result for which balancer.Result.NeverRan is true only with proof that the request never ran.
//
// The context of an attempt has a method InterruptOnDone(Interrupter) bool, which is cheaper than waiting on Done.
type Transport interface {
	// RoundTrip sends an attempt to its upstream server and waits for the reply.
	RoundTrip(ctx context.Context, attempt Attempt) AttemptResult
	// CheckHealth sends one active health check and returns its result.
	CheckHealth(ctx context.Context, upstream *Upstream) balancer.Result
}

// Interrupter interrupts an operation on which a Transport is blocked. Interrupt is called with the lock of the
// attempt's context held and must not block.
type Interrupter interface{ Interrupt() }

// Attempt is one attempt to run a call on an upstream server.
type Attempt struct {
	// RequestID identifies the call. It is unique within the process.
	RequestID balancer.RequestID
	// Number is the index of the attempt among the attempts of the call, starting at 0.
	Number   int
	Upstream *Upstream
	// ExpiresAt is the time at which the Transport stops waiting. It does not apply to the reply to a streamed body, which
	// BodyTimeout limits.
	ExpiresAt time.Time
	// StartBefore is the time from which the first byte must not be sent, even if the connection is established late. The
	// zero time means no limit.
	StartBefore time.Time
	// CallDone becomes true once the call is answered. The attempt must not be started after that. nil means that it is
	// always false.
	CallDone *atomic.Bool
	// Payload is the Payload of the call.
	Payload any
	// ValidUntil is the time until which the routing decision is valid without confirmation, unless the upstream server
	// restarts. The zero time means no limit.
	ValidUntil time.Time
	// BodyTimeout is the maximum wait for the reply to a streamed body, measured from the call of OnBodySent.
	BodyTimeout time.Duration
	// OnBodySent must be called once, when the last byte of a streamed body has been sent. It is nil if Payload holds the
	// complete request.
	OnBodySent func()

	upstreamStart balancer.Time   // start time of the upstream server at the time of the decision
	confirmer     *runningAttempt // asks the event loop; nil if the decision is always valid
}

// MayStart reports whether the first byte may still be sent at now. The Transport calls it once the connection is
// established, which may be long after the routing decision.
func (a *Attempt) MayStart(now time.Time) bool {
	return (a.CallDone == nil || !a.CallDone.Load()) && (a.StartBefore.IsZero() || now.Before(a.StartBefore))
}

// StillValid reports whether the routing decision is still valid at now. If ValidUntil has passed or the server has
// restarted, it blocks until the event loop confirms or refuses the attempt. This prevents two kinds of burst: attempts
// meant for one half of a server's overload window arriving together with those of the next half, and attempts meant
// for a warm server arriving at one that has restarted. The Transport calls it once the connection is established,
// before MayStart.
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

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Result balancer.Result
	// Reply is set if Result is balancer.OK. If it is a Releaser and no client receives it, it is released.
	Reply any
}

// Releaser is implemented by a reply that holds resources other than memory.
type Releaser interface{ Release() }

// releaseReply releases a reply that no client receives.
func releaseReply(reply any) {
	if r, ok := reply.(Releaser); ok {
		r.Release()
	}
}
