// Package balancer makes the decisions of one load-balancing node in front of a
// group of HTTP servers.
//
// A Balancer is a deterministic state machine. It is made from Settings, a seed
// and a time, takes one method call per event with the time of that event, and
// acts through the Host that owns it. It starts no goroutine, reads no clock and
// does no I/O, so that the same events give the same actions in service, in the
// simulator and in tests.
//
// A request passes through these steps:
//
//	HandleRequest   admission.go      quotas (quota.go) and load shedding (shedding.go)
//	dispatch        dispatch.go       the next attempt, a place among those that wait, or a final answer
//	selectServer    selection.go      lookup tables (maglev.go, locality.go), even shares, spill-over
//	fits            selection.go      concurrency limits, idempotency.go, slow_start.go
//	wait            pending.go        the queue of requests that wait for capacity
//	send            dispatch.go       the one place from which attempts leave
//	HandleOutcome   retry.go          a retry within the budget, or the end of the request
//	recordOutcome   evidence.go       latency.go, concurrency_limit.go and outlier.go learn from the outcome
//
// Beside requests, HandleTimer (tick.go) looks at every server at a fixed
// interval: active health checks (health_check.go), servers that fell silent
// (outlier.go), attempts that were overtaken (hedging.go), slow start
// (slow_start.go). HandleServers (endpoints.go) takes the endpoint list.
//
// docs/DESIGN.md explains the decisions, docs/CAPACITY.md the values of the
// constants.
package balancer
