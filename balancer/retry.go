package balancer

// The retry budget. The first retry of an attempt that provably never ran is
// free.
const (
	retryTokensPerRequest = 0.15
	maxRetryTokens        = 10
)

// HandleOutcome takes the end of an attempt and sends a retry, or ends the
// request. Outcomes of attempts that are not outstanding are ignored.
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
	defer b.dispatchPending() // capacity may have become free
	switch {
	case !r.finished && !o.RequestDone:
		b.retryOrGiveUp(r, a, o.Result)
	case o.Result == OK:
		b.finishServed(r)
	default:
		b.finish(r)
	}
}

// retryOrGiveUp decides what becomes of a request whose attempt has failed. One
// whose connection broke is not retried: it may be what brought the server down.
func (b *Balancer) retryOrGiveUp(r *request, a *attempt, result Result) {
	r.connectionBroke = result == Reset
	free := a.neverRan && r.attemptCount < 2 && result != NotSent
	switch {
	case r.outstanding > 0 && !a.neverRan:
		// a hedged request is under way
	case !r.connectionBroke && (free || b.retryTokens >= 1):
		if !free {
			b.retryTokens--
		}
		b.dispatch(r)
	case r.outstanding == 0:
		b.giveUp(r)
	}
}
