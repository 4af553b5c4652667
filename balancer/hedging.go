package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hedging and the detection of overtaken attempts protect against requests and answers that are
// lost on connections that stopped responding without an error.
const (
	// hedgesPerOvertaken is the number of hedged requests allowed per overtaken attempt. It is limited
	// because the work for a hedged request is wasted if the first attempt is answered.
	hedgesPerOvertaken = 4.0
	// maxHedgeTokens is the maximum number of unused hedged requests in the budget.
	maxHedgeTokens = 10
	// overtakenThreshold is the share of overtaken attempts above which an attempt that has exceeded
	// its latency objective is treated as lost as well.
	overtakenThreshold = 0.02
	// overtakenSmoothing is the weight of one attempt in the share of overtaken attempts.
	overtakenSmoothing = 0.02
)

// mayHedge reports whether a request that was sent once may be sent a second time, regardless of
// the result of the first attempt.
func (b *Balancer) mayHedge(r *request) bool {
	return r.attemptCount == 1 && r.admittedClass.Idempotency == Idempotent &&
		!r.class.Streaming && b.settings.MaxAttempts > 1
}

// scheduleHedge sets the timer for a hedged request: half the latency objective after the request's
// arrival, but at least a quarter of the objective from now.
func (b *Balancer) scheduleHedge(r *request) {
	if b.hedgeTokens < 1 || !b.settings.Hedging || !b.mayHedge(r) {
		return
	}
	half := r.class.LatencyObjective / 2
	spread := time.Duration(r.draw * float64(time.Millisecond)) // spreads requests that were sent at the same instant
	delay := max(half-time.Duration(b.now-r.arrivedAt), half/2+spread)
	b.host.SetTimer(delay, firstHedgeTimer+uint64(r.id))
}

// hedge sends the second attempt of a request whose first attempt is still outstanding. r is nil if
// the request has ended.
func (b *Balancer) hedge(r *request) {
	if r == nil || r.finished || r.outstanding != 1 || !b.mayHedge(r) {
		return
	}
	if b.hedgeTokens < 1 || b.now >= r.deadline {
		return
	}
	if s := b.selectServer(r); s != nil {
		b.hedgeTokens--
		b.send(r, s)
	}
}

// silenceCause is the presumed cause of a missing answer.
type silenceCause uint8

const (
	// silenceLoad: the server may be slow.
	silenceLoad silenceCause = iota
	// silenceLikelyLost: the attempt has exceeded the latency objective, and the share of overtaken
	// attempts is high.
	silenceLikelyLost
	// silenceOvertaken: the server has answered an attempt that was sent more than half a latency
	// objective later.
	silenceOvertaken
)

// classifySilence returns the presumed cause of the missing answer to an attempt. An overtaken
// attempt is delayed alone, either on a connection that stopped responding or because it needs far
// more work than similar requests. It therefore does not indicate the load of its server.
func (b *Balancer) classifySilence(r *request, a *attempt) silenceCause {
	switch {
	case a.server.activity.newestAnsweredSentAt > a.sentAt+Time(r.class.LatencyObjective/2):
		return silenceOvertaken
	case b.overtakenShare > overtakenThreshold && b.now > a.sentAt+Time(r.class.LatencyObjective):
		return silenceLikelyLost
	default:
		return silenceLoad
	}
}

// releaseOvertaken removes attempts that are overtaken or likely lost from the in-flight counts,
// where they would use up concurrency limits although no server is processing them. It cancels an
// overtaken attempt if its request has ended or may be hedged; the outcome of the cancelled attempt
// then triggers the retry.
func (b *Balancer) releaseOvertaken() {
	overtaken := 0
	var cancelled []Outcome
	for _, r := range b.requests { // any order is fine: overtakenShare changes only after the loop
		for i := range r.sentAttempts() {
			a := &r.attempts[i]
			if !a.outstanding || a.silenceExplained {
				continue
			}
			cause := b.classifySilence(r, a)
			if cause == silenceLoad {
				continue
			}
			a.release()
			if cause != silenceOvertaken {
				continue
			}
			a.silenceExplained = true
			overtaken++
			if b.settings.CancelAttempts && (r.finished || b.mayHedge(r)) {
				cancelled = append(cancelled, Outcome{ID: r.id, Attempt: i})
			}
		}
	}
	b.overtakenShare = 1 - (1-b.overtakenShare)*math.Pow(1-overtakenSmoothing, float64(overtaken))
	slices.SortStableFunc(cancelled, func(p, q Outcome) int { return cmp.Compare(p.ID, q.ID) })
	for _, o := range cancelled {
		b.host.Cancel(o.ID, o.Attempt)
	}
}
