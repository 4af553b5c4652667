// Package balancer makes the load-balancing decisions of one node in front of a group of HTTP
// servers.
//
// A Balancer is a deterministic state machine. New creates it from Settings, a seed and a start
// time. Its owner calls one method for each event and passes the time of the event; the Balancer
// acts through the owner's Host. It starts no goroutine, reads no clock and does no I/O. The same
// sequence of events therefore produces the same actions in production, in the simulator and in
// tests.
//
// A request passes through these functions:
//
//	HandleRequest   admission.go      quotas (quota.go) and load shedding (shedding.go)
//	dispatch        dispatch.go       sends the next attempt, queues the request or answers it
//	selectServer    selection.go      lookup tables (maglev.go, locality.go), even shares, spill-over
//	canSend         selection.go      concurrency limits, idempotency.go, slow_start.go
//	waitForCapacity pending.go        the queue of requests that wait for capacity
//	send            dispatch.go       the only function that sends attempts
//	HandleOutcome   retry.go          a retry within the retry budget, or the end of the request
//	recordOutcome   evidence.go       updates latency.go, concurrency_limit.go and outlier.go
//
// HandleTimer (tick.go) runs at a fixed interval. It sends health checks (health_check.go), ejects
// servers that stopped answering (outlier.go), releases attempts that later ones have overtaken
// (hedging.go) and updates slow start (slow_start.go). HandleServers (endpoints.go) receives the
// endpoint list.
//
// docs/DESIGN.md explains the decisions, docs/CAPACITY.md the values of the constants.
package balancer
