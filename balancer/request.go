package balancer

import "time"

// request is a request from its arrival until its last attempt is back.
type request struct {
	id     RequestID
	class  *class
	tenant *tenant // nil: none
	// admittedClass is its class as it was on arrival, whatever UpdateSettings
	// brings: what the client was promised.
	admittedClass *Class
	affinityKey   uint64 // 0: none

	arrivedAt Time
	deadline  Time
	waitUntil Time // when it stops waiting for capacity

	work       float64 // expected, in seconds
	limitShare float64 // the share of a server's concurrency limit that it may use
	// draw is a uniform draw from [0, 1). One draw serves load shedding, the even
	// share, the spread of hedges and the choice of an owed server.
	draw float64
	// expectedFailure is how badly its class or tenant fares anyway, from 0 to 1.
	expectedFailure float64

	attemptCount int
	outstanding  int // attempts whose outcome is not known

	finished    bool // it has its final answer, or needs none
	pending     bool // it waits for capacity
	streamsBody bool // its body is still coming, see Request.StreamsBody
	// connectionBroke is set where its last attempt was reset: it may have
	// brought the server down.
	connectionBroke bool

	attempts [maxAttempts]attempt
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server      *server
	sentAt      Time
	outstanding bool // its outcome is not known
	neverRan    bool // its outcome proves that it never ran
	released    bool // it does not count as in flight any more
	// silenceExplained is set where silence says nothing of the server's load:
	// the attempt was overtaken, or its body is still on its way.
	silenceExplained bool
}

// made returns the attempts of the request so far.
func (r *request) made() []attempt { return r.attempts[:r.attemptCount] }

// outstandingAttempt returns the numbered attempt if its outcome is not known,
// else nil. Numbers come from the host and may be any.
func (r *request) outstandingAttempt(n int) *attempt {
	if n < 0 || n >= r.attemptCount || !r.attempts[n].outstanding {
		return nil
	}
	return &r.attempts[n]
}

// release takes an attempt out of what is in flight at its server, once.
func (a *attempt) release() {
	if a.released {
		return
	}
	a.released = true
	a.server.load.inFlight = max(a.server.load.inFlight-1, 0)
}

// HandleDisconnect takes the news that the client of a request has gone.
func (b *Balancer) HandleDisconnect(now Time, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// finish cancels what is still outstanding and forgets the request once every
// attempt is back.
func (b *Balancer) finish(r *request) {
	if !r.finished {
		r.finished = true
		b.stopWaiting(r)
		b.cancelOutstanding(r)
	}
	b.forgetIfDone(r)
}

// finishServed ends a request that was answered well. Its other attempts go on,
// to show whether they are overtaken.
func (b *Balancer) finishServed(r *request) {
	r.finished = true
	b.forgetIfDone(r)
}

// forgetIfDone drops a finished request once every attempt is back.
func (b *Balancer) forgetIfDone(r *request) {
	if r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) cancelOutstanding(r *request) {
	if !b.settings.CancelAttempts {
		return
	}
	for i := range r.made() {
		if r.attempts[i].outstanding {
			b.host.Cancel(r.id, i)
		}
	}
}

// retryAfterLatencies is the advice when to return, in mean latencies.
const retryAfterLatencies = 2

// giveUp answers a request at once: a rejection where the client may safely
// retry, else a failure.
func (b *Balancer) giveUp(r *request) {
	retryAfter := b.retryAfter(r)
	if r.clientMayRetry() {
		b.host.Reject(r.id, retryAfter)
	} else {
		b.host.Fail(r.id)
	}
	b.finish(r)
}

// retryAfter is the advice that goes with a rejection. A request that may have
// brought a server down gets MaxRetryAfter.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	after := b.random.jitter(time.Duration(retryAfterLatencies * b.meanLatency * float64(time.Second)))
	if r.connectionBroke {
		return b.settings.MaxRetryAfter
	}
	return min(after, b.settings.MaxRetryAfter)
}
