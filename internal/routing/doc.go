// Package routing routes the calls of clients on a node. It does not depend on HTTP: a front end passes a call to
// Router.Handle and receives one answer, a Transport sends attempts to upstream servers, and a Watcher watches the
// endpoint list.
//
// A call passes through these stages, each in its own file:
//
//	receive.go     the front end's goroutine enqueues the call and waits for its only answer
//	admit.go       the call is added to the call table, and the Balancer decides how to proceed with it
//	dispatch.go    an attempt at the server that the Balancer chose is created and started
//	attempt_run.go the attempt runs on its own goroutine until its only outcome is known
//	respond.go     the outcome ends the attempt; the first final outcome answers the call
//	call_table.go  a call that has been answered and has no attempt in flight is removed from the table
//
// The event loop, which is the goroutine of Router.Run, owns the Balancer and the call table. All other goroutines
// communicate with it by events on a channel, so routing decisions need no lock. Comments mark the fields and types
// that belong to the event loop: only its goroutine may access them.
package routing
