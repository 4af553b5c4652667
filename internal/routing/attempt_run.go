package routing

import (
	"context"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// runningAttempt is an attempt from its start until its outcome is known. It is its own context.
type runningAttempt struct {
	Attempt // never changes once the attempt is started
	attemptContext
	router     *Router
	startedAt  time.Time
	warmUpCost float64                   // of the fleet's budget; 0: none
	bodySentAt atomic.Pointer[time.Time] // nil inside: no streamed body has been sent whole

	// The outcome belongs to the attempt's goroutine until it is posted, then to the goroutine of Run.
	result   AttemptResult
	latency  time.Duration
	finished bool // the outcome is known to the goroutine of Run
}

// run is the attempt's goroutine: exactly one outcome comes back.
func (a *runningAttempt) run() {
	defer a.router.tasks.Done()
	a.roundTrip()
	start := a.startedAt
	if sentAt := a.bodySentAt.Load(); sentAt != nil {
		start = *sentAt
	}
	a.latency = time.Since(start)
	if !a.router.post(outcomeEvent{a}) {
		releaseReply(a.result.Reply)
	}
}

// roundTrip lets the transport bring the attempt to its server, unless the fleet's budgets have nothing left for it.
func (a *runningAttempt) roundTrip() {
	r := a.router
	defer r.recoverPanic("task")
	if a.Upstream == nil {
		a.result.Result = balancer.NotSent // the Balancer and the table disagree
		return
	}
	if r.admission != nil && a.Number > 0 && !r.admission.AdmitRetry() {
		r.counters.RetriesOverFleetBudget.Add(1)
		a.result.Result = balancer.NotSent
		return
	}
	if !r.admitWarmUp(a.Upstream, a.warmUpCost) {
		a.result.Result = balancer.Rejected // as the server would do: it is left alone for a while, and others are tried
		return
	}
	a.result.Result = balancer.Reset // holds after a panic: the attempt may have run
	a.result = r.transport.RoundTrip(a, a.Attempt)
}

// bodySent notes that the last byte of a streamed body has left: the server's time begins.
func (a *runningAttempt) bodySent() {
	now := time.Now()
	a.bodySentAt.Store(&now)
	a.router.post(bodySentEvent{a, now})
}

// bodySentEvent tells the decisions that the last byte of a streamed body has left.
type bodySentEvent struct {
	attempt *runningAttempt
	at      time.Time
}

func (e bodySentEvent) requestID() balancer.RequestID { return e.attempt.RequestID }

func (e bodySentEvent) handle(r *Router) {
	call := r.calls.byID[e.attempt.RequestID]
	if call == nil || e.attempt.finished {
		return
	}
	timeout := call.Timeout - answerMargin
	call.deadline = r.balancerTime(e.at.Add(timeout))
	r.balancer.HandleBodySent(r.now(), e.attempt.RequestID, e.attempt.Number, timeout)
}

// confirm asks the decisions whether the attempt may still begin. Once the attempt is cancelled, its time is up or the
// decisions have ended, it may not.
func (a *runningAttempt) confirm() bool {
	ctx, stop := context.WithDeadline(a, a.ExpiresAt)
	defer stop()
	confirmed := make(chan bool, 1)
	select {
	case a.router.events <- confirmEvent{a, confirmed}:
	case <-ctx.Done():
		return false
	case <-a.router.stopped:
		return false
	}
	select {
	case mayBegin := <-confirmed:
		return mayBegin
	case <-ctx.Done():
		return false
	case <-a.router.stopped:
		return false
	}
}

// confirmEvent asks the decisions whether an attempt may still begin.
type confirmEvent struct {
	attempt   *runningAttempt
	confirmed chan<- bool // holds the answer, so that sending never blocks
}

func (e confirmEvent) requestID() balancer.RequestID { return e.attempt.RequestID }

func (e confirmEvent) handle(r *Router) {
	upstream := e.attempt.Upstream
	mayBegin := r.balancer.MayBegin(r.now(), e.attempt.RequestID, e.attempt.Number)
	e.confirmed <- mayBegin && r.admitWarmUp(upstream, r.warmUpCost(upstream))
}
