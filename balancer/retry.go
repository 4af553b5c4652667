package balancer

// Limits of the retry budget. The first retry of a request does not use the budget if the failed
// attempt provably never ran.
const (
	// retryTokensPerRequest is the number of retries that each request adds to the budget.
	retryTokensPerRequest = 0.15
	// maxRetryTokens is the maximum number of unused retries in the budget.
	maxRetryTokens = 10
)

// HandleOutcome handles the end of an attempt: it sends a retry or ends the request. It ignores
// attempts that are not outstanding.
func (b *Balancer) HandleOutcome(now Time, o Outcome) {
	b.now = now
	r := b.requests[o.ID]
	if r == nil {
		return
	}
	a := r.outstandingAttempt(o.Attempt)
	if a == nil {
		return
	}
	a.outstanding = false
	r.outstanding--
	a.neverRan = o.Result.NeverRan()
	a.release()
	b.recordOutcome(r, a, o)
	defer b.dispatchPending() // the outcome may have freed capacity
	switch {
	case !r.finished && !o.RequestDone:
		b.retryOrGiveUp(r, a, o.Result)
	case o.Result == OK:
		b.finishServed(r)
	default:
		b.finish(r)
	}
}

// retryOrGiveUp retries a request whose attempt has failed, or gives it up. It does not retry after
// a broken connection, because the request may have crashed the server.
func (b *Balancer) retryOrGiveUp(r *request, a *attempt, result Result) {
	r.connectionReset = result == Reset
	free := a.neverRan && r.attemptCount < 2 && result != NotSent
	switch {
	case r.outstanding > 0 && !a.neverRan:
		// another attempt, a hedged request, is still outstanding
	case !r.connectionReset && (free || b.retryTokens >= 1):
		if !free {
			b.retryTokens--
		}
		b.dispatch(r)
	case r.outstanding == 0:
		b.giveUp(r)
	}
}
