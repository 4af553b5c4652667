package routing

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// Interrupter ends what a carrier waits for. Interrupt must not wait itself.
type Interrupter interface{ Interrupt() }

// attempt is a try from its sending until its outcome is in. It is its own
// context, which ends when the try is called off or the node ends, and costs
// nothing unless somebody asks for it. It has no timer: Until is the carrier's.
type runningAttempt struct {
	Attempt
	router  *Router
	begun   time.Time
	cold    float64                   // units that it costs of the fleet's budget for cold peers; 0: the peer is warm, or there is none
	written atomic.Pointer[time.Time] // when a slow call's last byte had left

	// the outcome; of the try's goroutine until it is posted, then of the decisions
	result  AttemptResult
	latency time.Duration
	in      bool

	mu    sync.Mutex
	cause error         // why it ended; nil: it goes on
	done  chan struct{} // nil until asked for
	told  Interrupter   // of the carrier; nil: none
}

// run is the try's goroutine: exactly one outcome comes back.
func (a *runningAttempt) run() {
	r := a.router
	defer r.tasks.Done()
	a.carry()
	begun := a.begun
	if at := a.written.Load(); at != nil {
		begun = *at
	}
	a.latency = time.Since(begun)
	if !r.post(outcomeEvent{a}) {
		drop(a.result.Reply)
	}
}

// hasLeft notes that the last byte of a slow call has left: its time begins.
func (a *runningAttempt) hasLeft() {
	now := time.Now()
	a.written.Store(&now)
	a.router.post(writtenEvent{a, now})
}

// confirm asks the decisions whether the try may begin. It goes without an answer once the try is called off or its time is
// up, and with the decisions' end.
func (a *runningAttempt) confirm() bool {
	ctx, stop := context.WithDeadline(a, a.ExpiresAt)
	defer stop()
	told := make(chan bool, 1)
	select {
	case a.router.events <- confirmEvent{a, told}:
	case <-ctx.Done():
		return false
	case <-a.router.stopped:
		return false
	}
	select {
	case may := <-told:
		return may
	case <-ctx.Done():
	case <-a.router.stopped:
	}
	return false
}

// confirmEvent asks the decisions.
type confirmEvent struct {
	a    *runningAttempt
	told chan<- bool // has room for the answer
}

func (c confirmEvent) call() balancer.RequestID { return c.a.RequestID }

func (c confirmEvent) handle(r *Router) {
	c.told <- r.balancer.MayBegin(r.now(), c.a.RequestID, c.a.Number) && r.admitCold(c.a.Upstream, r.coldUnits(c.a.Upstream))
}

// admitCold asks the fleet's budget for a try to a peer that costs so much of it.
func (r *Router) admitCold(p *Upstream, units float64) bool {
	if units == 0 || r.gate.AdmitWarmUp(p.ID, units) {
		return true
	}
	r.count.WarmUpOverFleetBudget.Add(1)
	return false
}

// writtenEvent tells the decisions.
type writtenEvent struct {
	a  *runningAttempt
	at time.Time
}

func (w writtenEvent) call() balancer.RequestID { return w.a.RequestID }

func (w writtenEvent) handle(r *Router) {
	if e := r.open[w.a.RequestID]; e != nil && !w.a.in {
		e.deadline = r.balancerTime(w.at.Add(e.Timeout - answerMargin))
		r.balancer.HandleBodySent(r.now(), w.a.RequestID, w.a.Number, e.Timeout-answerMargin)
	}
}

// carry lets the carrier bring the try to its peer.
func (a *runningAttempt) carry() {
	defer a.router.caught("task")
	if a.Upstream == nil {
		a.result.Result = balancer.NotSent // the Balancer and the table disagree: nothing was sent
		return
	}
	if g := a.router.gate; g != nil && a.Number > 0 && !g.AdmitRetry() {
		a.router.count.RetriesOverFleetBudget.Add(1)
		a.result.Result = balancer.NotSent // the fleet's budget has nothing left for it
		return
	}
	if !a.router.admitCold(a.Upstream, a.cold) {
		a.result.Result = balancer.Rejected // as the peer would: it is not asked for a while, and others are
		return
	}
	a.result.Result = balancer.Reset // after a panic it may have run
	a.result = a.router.carrier.RoundTrip(a, a.Attempt)
}

// caught keeps a panic from ending the node; it is to be deferred.
func (r *Router) caught(in string) {
	if p := recover(); p != nil {
		r.count.Panics.Add(1)
		r.log.Error("panic", "in", in, "value", fmt.Sprint(p), "stack", string(debug.Stack()))
	}
}

// end ends the context for a reason; the first counts.
func (a *runningAttempt) end(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cause != nil {
		return
	}
	a.cause = cause
	if a.done != nil {
		close(a.done)
	}
	if a.told != nil { // under the lock: once InterruptOnDone has taken it back, nothing is interrupted any more
		a.told.Interrupt()
	}
}

// InterruptOnDone has i interrupted when the context ends, in place of whoever was to be
// before; nil: nobody. It reports whether the context goes on.
func (a *runningAttempt) InterruptOnDone(i Interrupter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = i
	return a.cause == nil
}

// Deadline implements context.Context: it has none.
func (a *runningAttempt) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done implements context.Context.
func (a *runningAttempt) Done() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done == nil {
		if a.done = make(chan struct{}); a.cause != nil {
			close(a.done)
		}
	}
	return a.done
}

// Err implements context.Context. It tells the cause: context.Cause does too, then.
func (a *runningAttempt) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cause
}

// Value implements context.Context: it carries none.
func (a *runningAttempt) Value(any) any { return nil }

var _ context.Context = (*runningAttempt)(nil)
