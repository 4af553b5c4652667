package balancer

import "time"

// recordOutcome learns from the end of an attempt: latency and load move the
// concurrency limit, success and failure the server's health.
func (b *Balancer) recordOutcome(r *request, a *attempt, o Outcome) {
	if o.Result == Cancelled || o.Result == NotSent {
		return
	}
	s := a.server
	silence := b.silenceOf(r, a) // before this outcome counts
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
	wait = b.recordStanding(r, wait)
	switch {
	case succeeded:
		b.updateServerWait(s, wait)
		b.adjustLimit(s, objective)
	case o.Result == TimedOut && silence == silenceMeansLoad:
		b.updateServerWait(s, wait)
		b.reduceLimitByTimeout(s, wait, objective)
	}
	// A time-out says nothing of a server that has answered since.
	if o.Result != TimedOut || s.activity.succeededAt < a.sentAt {
		b.recordHealthEvidence(a, r, succeeded)
	}
}

// recordRejection keeps work away from a server that rejected an attempt unseen:
// it is full, or drains and the list does not say so yet.
func (b *Balancer) recordRejection(s *server, objective time.Duration) {
	s.load.rejectsUntil = b.now + Time(min(objective, checkIntervalDown))
	b.reduceLimit(s, limitCutFactor, objective)
}

// recordSuccess learns from a good answer and returns how long it waited, as a
// share of the latency objective.
func (b *Balancer) recordSuccess(r *request, a *attempt, latency, objective time.Duration) float64 {
	s := a.server
	b.overtakenShare -= overtakenSmoothing * b.overtakenShare
	b.lastSuccessAt = b.now
	s.activity.succeededAt = b.now
	s.activity.newestAnswered = max(s.activity.newestAnswered, a.sentAt)
	s.load.completed++
	b.updateMeanWork(r)
	wait := r.class.recordWait(latency, objective)
	b.updateMeanLatency(r.class, latency)
	return wait
}
