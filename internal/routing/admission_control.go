package routing

import (
	"time"

	"olivebridge/balancer"
)

// minWarmUpCapacity is the smallest initial capacity, as a share of the full capacity, that warmUpCost computes with.
// It keeps the cost finite: an initial capacity of 0 would give 0/0 at the start of the server.
const minWarmUpCapacity = 0.01

// AdmissionControl admits calls and attempts against quotas and budgets that the whole fleet shares. Its methods are
// called concurrently and must not block.
type AdmissionControl interface {
	// Admit reports whether a call of the tenant is admitted. If it is not, retryAfter is the duration for which the
	// client should wait before a retry.
	Admit(tenant int) (ok bool, retryAfter time.Duration)
	// AdmitRetry reports whether a retry or a hedged request may be sent. It is not called for the first attempt of a
	// call.
	AdmitRetry() bool
	// AdmitWarmUp reports whether an attempt may be sent to a server in slow start. cost is the amount charged to the
	// warm-up budget: 1 right after the start of the server, decreasing while the server warms up.
	AdmitWarmUp(server balancer.ServerID, cost float64) bool
	// Release is called once for each admitted call, when the call has been answered or no longer needs an answer.
	Release(tenant int)
}

// admitWarmUp charges cost to the fleet's warm-up budget and reports whether the attempt may be sent. It does not ask
// the AdmissionControl if cost is 0.
func (r *Router) admitWarmUp(upstream *Upstream, cost float64) bool {
	if cost == 0 || r.admission.AdmitWarmUp(upstream.ID, cost) {
		return true
	}
	r.counters.WarmUpOverFleetBudget.Add(1)
	return false
}

// warmUpCost returns the cost of an attempt in the fleet's warm-up budget: the initial capacity of the server divided
// by its current capacity, both as shares of its full capacity. It returns 0 if the server has completed slow start or
// there is no AdmissionControl.
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
