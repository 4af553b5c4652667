package routing

import (
	"context"
	"sync/atomic"
	"time"

	"olivebridge/balancer"
)

// runningAttempt is an attempt that has been started, with its outcome once that is known. It is also the
// context.Context of the attempt.
type runningAttempt struct {
	Attempt // immutable once the attempt has started
	attemptContext
	router     *Router
	startedAt  time.Time
	warmUpCost float64                   // charged to the fleet's warm-up budget; 0 if nothing is charged
	bodySentAt atomic.Pointer[time.Time] // holds nil until a streamed body has been sent completely

	// The outcome belongs to the attempt's goroutine until outcomeEvent is posted, then to the event loop.
	result   AttemptResult
	latency  time.Duration
	finished bool // set when the event loop has processed the outcome
}

// run executes the attempt on the attempt's own goroutine and posts exactly one outcomeEvent. If the event loop has
// stopped, run releases the reply instead.
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

// roundTrip sends the attempt through the Transport unless the fleet's budgets do not admit it.
func (a *runningAttempt) roundTrip() {
	r := a.router
	defer r.recoverPanic("task")
	if a.Upstream == nil {
		a.result.Result = balancer.NotSent // the Balancer chose a server that the upstream table does not contain
		return
	}
	if r.admission != nil && a.Number > 0 && !r.admission.AdmitRetry() {
		r.counters.RetriesOverFleetBudget.Add(1)
		a.result.Result = balancer.NotSent
		return
	}
	if !r.admitWarmUp(a.Upstream, a.warmUpCost) {
		a.result.Result = balancer.Rejected // like a server's rejection: it is avoided for a while and others are tried
		return
	}
	a.result.Result = balancer.Reset // remains the result after a panic: the attempt may have run
	a.result = r.transport.RoundTrip(a, a.Attempt)
}

// confirm asks the event loop whether the attempt may still be started. It returns false if the attempt is cancelled,
// its ExpiresAt passes or the event loop stops before the response.
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

// confirmEvent asks the event loop whether an attempt may still be started.
type confirmEvent struct {
	attempt   *runningAttempt
	confirmed chan<- bool // buffered, so the event loop does not block on it
}

func (e confirmEvent) requestID() balancer.RequestID { return e.attempt.RequestID }

func (e confirmEvent) handle(r *Router) {
	upstream := e.attempt.Upstream
	mayBegin := r.balancer.MayBegin(r.now(), e.attempt.RequestID, e.attempt.Number)
	e.confirmed <- mayBegin && r.admitWarmUp(upstream, r.warmUpCost(upstream))
}
