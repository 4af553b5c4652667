// Package routing takes calls through the stages of a node: take in, admit,
// route, send, relay, book. One goroutine, Run, owns the Balancer and the table
// of open calls; everything else reaches it as an event on a channel.
//
// The package knows no HTTP. A front hands calls to Take and gets one answer
// for each; a Carrier brings tries and probes to peers; a Watcher follows the
// upstream group. Another front, or another carrier, passes the same stages.
package routing

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// Call is a client's request, reduced to what decisions need. The rest stays
// as it came, in Payload, and goes on to the carrier unread.
type Call struct {
	ClientRequestID string // the id its client gave it; no two open calls share one
	Class, Tenant   int
	AffinityKey     uint64 // 0: none
	ClientRetry     bool
	ReceivedAt      time.Time     // when its last byte came
	Timeout         time.Duration // how long its client waits from then on
	Payload         any
	// Slow: its last byte is still to come, and the carrier sends it on as it comes. Arrived is when its head
	// came; Budget counts from the last byte on.
	StreamsBody bool
}

// Verdict says how a call was answered.
type Verdict uint8

// The verdicts.
const (
	Served           Verdict = iota // with a peer's answer, in Reply
	Rejected                        // not run: trying again is harmless
	Failed                          // no promise
	DeadlineExceeded                // no promise, and its time was up
	Duplicate                       // a call of its name is open, and goes on; this one was not tried
)

func (v Verdict) String() string {
	return [...]string{"served", "reject", "failed", "overdue", "twice"}[v]
}

// Answer is the one final answer to a call.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // with Reject: when to come back; 0: no advice
	Reply      any           // with Served: the carrier's, unchanged
}

// Try is one attempt at a call, on its way to a peer.
type Attempt struct {
	RequestID   balancer.RequestID // never the same for two calls of one node's life
	Number      int                // the call's tries count from 0
	Upstream    *Upstream
	ExpiresAt   time.Time    // the carrier stops waiting then
	StartBefore time.Time    // from then on its first byte must not leave, whenever its connection is there; zero: it may
	CallDone    *atomic.Bool // its call has been answered: it must not begin any more; nil: never
	Payload     any
	// What the decision rests on: it holds until Holds (zero: for as long as need be), and while its peer has not started anew.
	ValidUntil    time.Time
	upstreamStart balancer.Time
	confirmer     *runningAttempt // as which the decisions know the try; nil: they need not be asked
	// Budget is a slow call's, and Written is to be called, once, when its last byte has left. Until then Until
	// does not count. nil: all of the call is there.
	BodyTimeout time.Duration
	OnBodySent  func()
}

// MayBegin reports whether the first byte may still leave at now. The carrier asks once the connection is there, which
// may be long after the decision.
func (t *Attempt) MayStart(now time.Time) bool {
	return (t.CallDone == nil || !t.CallDone.Load()) && (t.StartBefore.IsZero() || now.Before(t.StartBefore))
}

// Stands reports whether the decision still stands at now, and asks the decisions if need be: what a cold peer was to be sent
// by now must not come with what it is sent next, nor what a warm one was to be sent with that once it has started anew. The
// carrier asks once the connection is there, and then whether the try may begin: the answer is waited for.
func (t *Attempt) StillValid(now time.Time) bool {
	if t.confirmer == nil || t.upstreamStart == t.Upstream.startTime() && (t.ValidUntil.IsZero() || now.Before(t.ValidUntil)) {
		return true
	}
	return t.confirmer.confirm()
}

// TryResult is how a try ended.
type AttemptResult struct {
	Result balancer.Result
	Reply  any // with balancer.OK; a Dropper is told if nobody takes it
}

// Dropper is a reply that holds more than memory.
type Releaser interface{ Release() }

// drop lets go of a reply that nobody takes.
func drop(reply any) {
	if d, ok := reply.(Releaser); ok {
		d.Release()
	}
}

// Carrier brings tries and probes to peers. Its methods block until the end is
// known, at the latest at the context's end, or when the try's Until has come;
// each is called on a goroutine of its own. A result that says "never ran" must
// rest on proof. A try's context has a method InterruptOnDone(Interrupter) bool, which
// costs less than to wait for its end does.
type Transport interface {
	RoundTrip(ctx context.Context, t Attempt) AttemptResult
	CheckHealth(ctx context.Context, p *Upstream) balancer.Result
}

// ErrRefused is why a watch stopped where discovery was there and refused. It is begun again at once: the watcher itself pauses
// before its next call, as after each that was refused. After any other end the decisions say when to ask again.
var ErrDiscoveryRejected = errors.New("refused")

// Watcher follows the upstream group until ctx ends or the watch breaks. It
// hands every list that comes to told, and returns why it stopped.
type Watcher interface {
	Watch(ctx context.Context, told func(EndpointList)) error
}
