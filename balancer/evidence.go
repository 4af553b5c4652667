package balancer

import "time"

// recordOutcome updates the statistics with the outcome of an attempt: latency and load adjust the
// concurrency limit, success and failure the server's health.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	s := a.server
	silence := b.classifySilence(r, a) // classified before this outcome changes the statistics
	objective := r.latencyObjective()
	succeeded := o.Result == OK
	if succeeded || o.Result == Errored || o.Result == Rejected {
		s.activity.silentSince = b.now
	}
	if o.Result == Rejected {
		b.recordRejection(s, objective)
		return
	}
	wait := fullWait
	if succeeded {
		wait = b.recordSuccess(r, a, o.Latency, objective)
	}
	wait = b.subtractExcessWait(r, wait)
	switch {
	case succeeded:
		b.updateServerWait(s, wait)
		b.adjustLimit(s, objective)
	case o.Result == TimedOut && silence == silenceLoad:
		b.updateServerWait(s, wait)
		b.reduceLimitByTimeout(s, wait, objective)
	}
	// A time-out does not indicate the health of a server that has answered another attempt since.
	if o.Result != TimedOut || s.activity.succeededAt < a.sentAt {
		b.recordHealthOutcome(a, r, succeeded)
	}
}

// recordRejection stops sending to a server for a while after it rejected an attempt unprocessed:
// it is full, or it is draining and the endpoint list is not updated yet.
func (b *Balancer) recordRejection(s *server, objective time.Duration) {
	s.load.rejectsUntil = b.now + Time(min(objective, checkIntervalDown))
	b.reduceLimit(s, limitCutFactor, objective)
}

// recordSuccess updates the statistics with a successful answer. It returns the wait of the answer,
// as a share of the latency objective.
func (b *Balancer) recordSuccess(r *request, a *attempt, latency, objective time.Duration) float64 {
	s := a.server
	b.overtakenShare -= overtakenSmoothing * b.overtakenShare
	b.lastSuccessAt = b.now
	s.activity.succeededAt = b.now
	s.activity.newestAnsweredSentAt = max(s.activity.newestAnsweredSentAt, a.sentAt)
	s.load.completed++
	b.updateMeanWork(r)
	wait := r.class.recordWait(latency, objective)
	b.updateMeanLatency(r.class, latency)
	return wait
}
