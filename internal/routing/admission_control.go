package routing

import (
	"time"

	"olivebridge/balancer"
)

// minWarmUpCapacity bounds from below the share of its capacity that a server counts to have at its start, so that the
// cost of an attempt stays finite.
const minWarmUpCapacity = 0.01

// AdmissionControl admits calls and attempts by budgets that the whole fleet shares. Its methods are called from many
// goroutines and must not block.
type AdmissionControl interface {
	// Admit reports whether a tenant's call may go on. If not, retryAfter is when to come back.
	Admit(tenant int) (ok bool, retryAfter time.Duration)
	// AdmitRetry reports whether an attempt that is not its call's first may leave: a retry or a hedged request.
	AdmitRetry() bool
	// AdmitWarmUp reports whether an attempt may leave for a server that is warming up. cost is 1 right after the
	// server's start and falls as it warms up.
	AdmitWarmUp(server balancer.ServerID, cost float64) bool
	// Release tells that an admitted call has its answer, or needs none any more.
	Release(tenant int)
}

// admitWarmUp asks the fleet's budget for an attempt that costs so much of it. A cost of 0 needs no asking.
func (r *Router) admitWarmUp(upstream *Upstream, cost float64) bool {
	if cost == 0 || r.admission.AdmitWarmUp(upstream.ID, cost) {
		return true
	}
	r.counters.WarmUpOverFleetBudget.Add(1)
	return false
}

// warmUpCost is what an attempt costs of the fleet's budget for servers that warm up: the share of its capacity that
// the server has at its start, divided by the share that it has by now. 0: the server is warm, or there is no budget.
func (r *Router) warmUpCost(upstream *Upstream) float64 {
	if r.admission == nil {
		return 0
	}
	now := r.now()
	start := upstream.startTime()
	slowStart := balancer.Time(r.settings.SlowStart)
	if start == 0 || slowStart <= 0 || now-start >= slowStart {
		return 0
	}
	initial := max(r.settings.InitialCapacity, minWarmUpCapacity)
	progress := max(float64(now-start), 0) / float64(slowStart)
	return initial / (initial + (1-initial)*progress)
}
