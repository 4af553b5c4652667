package balancer

import "time"

// request is the state of a request from its arrival until the outcome of its last attempt.
type request struct {
	id     RequestID
	class  *class
	tenant *tenant // nil if the request has none
	// admittedClass holds the settings of the request's class at arrival. UpdateSettings does not
	// change them, because they are the guarantees given to the client.
	admittedClass *Class
	affinityKey   uint64 // 0 if the request has none

	arrivedAt Time
	deadline  Time
	waitUntil Time // end of the wait for capacity

	expectedWork float64 // expected processing time in seconds
	limitShare   float64 // share of a server's concurrency limit that the request may use
	// draw is a uniform random number in [0, 1). Load shedding, the even share, the spread of hedged
	// requests and the choice among underserved servers all use this one number.
	draw float64
	// expectedFailure is the mean wait of the request's class or tenant, whichever is longer, from 0
	// (answered at once) to 1 (late or failed).
	expectedFailure float64

	attemptCount int
	outstanding  int // number of attempts without an outcome

	finished    bool // the request has its final answer or its client has disconnected
	pending     bool // the request is in the queue for capacity
	streamsBody bool // the body is still being received, see Request.StreamsBody
	// connectionReset is set if the last attempt ended with Reset: the request may have crashed the
	// server.
	connectionReset bool

	attempts [maxAttempts]attempt
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server      *server
	sentAt      Time
	outstanding bool // the attempt has no outcome yet
	neverRan    bool // the outcome proves that the server never ran the attempt
	released    bool // the attempt no longer counts as in flight
	// silenceExplained is set if a missing answer does not indicate load at the server, because the
	// attempt was overtaken or its body is still being sent.
	silenceExplained bool
}

// sentAttempts returns the attempts that were sent so far.
func (r *request) sentAttempts() []attempt { return r.attempts[:r.attemptCount] }

// outstandingAttempt returns attempt n if it has no outcome yet, else nil. The host supplies n,
// which may be out of range.
func (r *request) outstandingAttempt(n int) *attempt {
	if n < 0 || n >= r.attemptCount || !r.attempts[n].outstanding {
		return nil
	}
	return &r.attempts[n]
}

// release removes the attempt from the in-flight count of its server. Further calls have no effect.
func (a *attempt) release() {
	if a.released {
		return
	}
	a.released = true
	a.server.load.inFlight = max(a.server.load.inFlight-1, 0)
}

// HandleDisconnect handles the disconnect of a request's client.
func (b *Balancer) HandleDisconnect(now Time, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// finish ends a request without a successful answer. It cancels the outstanding attempts and
// deletes the request once all of them have an outcome.
func (b *Balancer) finish(r *request) {
	if !r.finished {
		r.finished = true
		b.stopWaiting(r)
		b.cancelOutstanding(r)
	}
	b.deleteIfDone(r)
}

// finishServed ends a request that was answered successfully. Its other attempts continue, to show
// whether they are overtaken.
func (b *Balancer) finishServed(r *request) {
	r.finished = true
	b.deleteIfDone(r)
}

// deleteIfDone deletes a finished request if all its attempts have an outcome.
func (b *Balancer) deleteIfDone(r *request) {
	if r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) cancelOutstanding(r *request) {
	if !b.settings.CancelAttempts {
		return
	}
	for i := range r.sentAttempts() {
		if r.attempts[i].outstanding {
			b.host.Cancel(r.id, i)
		}
	}
}

// retryAfterLatencies is the retry delay advised to clients, as a multiple of the mean latency.
const retryAfterLatencies = 2

// giveUp answers a request at once: with a rejection if the client may safely retry, else with a
// failure.
func (b *Balancer) giveUp(r *request) {
	retryAfter := b.retryAfter(r)
	if r.clientMayRetry() {
		b.host.Reject(r.id, retryAfter)
	} else {
		b.host.Fail(r.id)
	}
	b.finish(r)
}

// retryAfter returns the retry delay to send with a rejection, 0 for none. It is MaxRetryAfter for
// a request that may have crashed a server.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.settings.RetryAfter {
		return 0
	}
	after := b.random.jitter(time.Duration(retryAfterLatencies * b.meanLatency * float64(time.Second)))
	if r.connectionReset {
		return b.settings.MaxRetryAfter
	}
	return min(after, b.settings.MaxRetryAfter)
}
