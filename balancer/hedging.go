package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Hedging and the search for overtaken attempts guard against requests and
// answers that get lost on connections which fell silent.
const (
	// hedgesPerOvertaken bounds hedged requests by the attempts that are
	// overtaken: they cost work that serves nobody.
	hedgesPerOvertaken = 4.0
	maxHedgeTokens     = 10
	// overtakenThreshold is the share of attempts overtaken above which a late
	// one is taken for overtaken too.
	overtakenThreshold = 0.02
	// overtakenSmoothing is the weight of one attempt in that share.
	overtakenSmoothing = 0.02
)

// mayHedge reports whether a request that was sent once may be sent again,
// whatever became of the first attempt.
func (b *Balancer) mayHedge(r *request) bool {
	return r.attemptCount == 1 && r.admittedClass.Idempotency == Idempotent &&
		!r.class.Streaming && b.settings.MaxAttempts > 1
}

// scheduleHedge sets the timer of a hedged request: half its latency objective
// after its arrival.
func (b *Balancer) scheduleHedge(r *request) {
	if b.hedgeTokens < 1 || !b.settings.Hedging || !b.mayHedge(r) {
		return
	}
	half := r.class.LatencyObjective / 2
	spread := time.Duration(r.draw * float64(time.Millisecond)) // apart from others sent at this instant
	delay := max(half-time.Duration(b.now-r.arrivedAt), half/2+spread)
	b.host.SetTimer(delay, firstHedgeTimer+uint64(r.id))
}

// hedge sends a second attempt of a request that is still without an answer.
// r is nil where the request has ended.
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

// silence is what is known of an attempt that has no answer.
type silence uint8

const (
	// silenceMeansLoad: the server may be slow.
	silenceMeansLoad silence = iota
	// silenceLikelyLost: the attempt is late, and others were overtaken lately.
	silenceLikelyLost
	// silenceOvertaken: the server has answered what was sent much later.
	silenceOvertaken
)

// silenceOf judges an attempt that has no answer. One that was overtaken is
// stuck alone, on a connection that fell silent or with work far above its like,
// and tells nothing of its server's load.
func (b *Balancer) silenceOf(r *request, a *attempt) silence {
	switch {
	case a.server.activity.newestAnswered > a.sentAt+Time(r.class.LatencyObjective/2):
		return silenceOvertaken
	case b.overtakenShare > overtakenThreshold && b.now > a.sentAt+Time(r.class.LatencyObjective):
		return silenceLikelyLost
	default:
		return silenceMeansLoad
	}
}

// releaseOvertaken takes overtaken attempts out of what is in flight, where they
// would fill concurrency limits with requests that no server holds, and cancels
// them where a retry is harmless: their outcomes bring it.
func (b *Balancer) releaseOvertaken() {
	overtaken := 0
	var cancelled []Outcome
	for _, r := range b.requests { // in any order: the share changes once all have been looked at
		for i := range r.made() {
			a := &r.attempts[i]
			if !a.outstanding || a.silenceExplained {
				continue
			}
			judged := b.silenceOf(r, a)
			if judged == silenceMeansLoad {
				continue
			}
			a.release()
			if judged != silenceOvertaken {
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
