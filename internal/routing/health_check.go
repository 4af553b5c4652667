package routing

import (
	"context"
	"time"

	"olivebridge/balancer"
)

// CheckHealth implements balancer.Host. The check runs on its own goroutine, and its result arrives as an event.
func (r *Router) CheckHealth(to balancer.ServerID) {
	upstream := r.upstreams[to]
	if upstream == nil {
		return
	}
	r.counters.HealthChecks.Add(1)
	start := time.Now()
	finish := func(result balancer.Result) {
		r.post(healthCheckEvent{balancer.HealthCheckResult{Server: to, Latency: time.Since(start), Result: result}})
	}
	r.spawn(
		func(ctx context.Context) { finish(r.transport.CheckHealth(ctx, upstream)) },
		func() { finish(balancer.Reset) },
	)
}

// healthCheckEvent reports the result of an active health check.
type healthCheckEvent struct{ result balancer.HealthCheckResult }

func (e healthCheckEvent) handle(r *Router) {
	if e.result.Result != balancer.OK {
		r.counters.HealthChecksFailed.Add(1)
	}
	r.subset.observe(r.upstreams[e.result.Server], e.result.Result, true)
	r.balancer.HandleHealthCheck(r.now(), e.result)
}
