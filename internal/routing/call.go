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
	Name          string // the id its client gave it; no two open calls share one
	Class, Tenant int
	Key           uint64 // 0: none
	Repeat        bool
	Arrived       time.Time     // when its last byte came
	Budget        time.Duration // how long its client waits from then on
	Payload       any
	// Slow: its last byte is still to come, and the carrier sends it on as it comes. Arrived is when its head
	// came; Budget counts from the last byte on.
	Slow bool
}

// Verdict says how a call was answered.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota // with a peer's answer, in Reply
	Reject                 // not run: trying again is harmless
	Failed                 // no promise
	Overdue                // no promise, and its time was up
	Twice                  // a call of its name is open, and goes on; this one was not tried
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
type Try struct {
	Call    balancer.RequestID // never the same for two calls of one node's life
	Attempt int                // the call's tries count from 0
	Peer    *Peer
	Until   time.Time    // the carrier stops waiting then
	BeginBy time.Time    // from then on its first byte must not leave, whenever its connection is there; zero: it may
	Over    *atomic.Bool // its call has been answered: it must not begin any more; nil: never
	Payload any
	// What the decision rests on: it holds until Holds (zero: for as long as need be), and while its peer has not started anew.
	Holds time.Time
	born  balancer.Time
	asks  *attempt // as which the decisions know the try; nil: they need not be asked
	// Budget is a slow call's, and Written is to be called, once, when its last byte has left. Until then Until
	// does not count. nil: all of the call is there.
	Budget  time.Duration
	Written func()
}

// MayBegin reports whether the first byte may still leave at now. The carrier asks once the connection is there, which
// may be long after the decision.
func (t *Try) MayBegin(now time.Time) bool {
	return (t.Over == nil || !t.Over.Load()) && (t.BeginBy.IsZero() || now.Before(t.BeginBy))
}

// Stands reports whether the decision still stands at now, and asks the decisions if need be: what a cold peer was to be sent
// by now must not come with what it is sent next, nor what a warm one was to be sent with that once it has started anew. The
// carrier asks once the connection is there, and then whether the try may begin: the answer is waited for.
func (t *Try) Stands(now time.Time) bool {
	if t.asks == nil || t.born == t.Peer.bornAt() && (t.Holds.IsZero() || now.Before(t.Holds)) {
		return true
	}
	return t.asks.confirm()
}

// TryResult is how a try ended.
type TryResult struct {
	Result balancer.Result
	Reply  any // with balancer.OK; a Dropper is told if nobody takes it
}

// Dropper is a reply that holds more than memory.
type Dropper interface{ Drop() }

// drop lets go of a reply that nobody takes.
func drop(reply any) {
	if d, ok := reply.(Dropper); ok {
		d.Drop()
	}
}

// Carrier brings tries and probes to peers. Its methods block until the end is
// known, at the latest at the context's end, or when the try's Until has come;
// each is called on a goroutine of its own. A result that says "never ran" must
// rest on proof. A try's context has a method OnEnd(Interrupter) bool, which
// costs less than to wait for its end does.
type Carrier interface {
	Try(ctx context.Context, t Try) TryResult
	Probe(ctx context.Context, p *Peer) balancer.Result
}

// ErrRefused is why a watch stopped where discovery was there and refused. It is begun again at once: the watcher itself pauses
// before its next call, as after each that was refused. After any other end the decisions say when to ask again.
var ErrRefused = errors.New("refused")

// Watcher follows the upstream group until ctx ends or the watch breaks. It
// hands every list that comes to told, and returns why it stopped.
type Watcher interface {
	Watch(ctx context.Context, told func(Group)) error
}
