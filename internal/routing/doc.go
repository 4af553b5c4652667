// Package routing takes a client's call through the stages of a node. It knows no HTTP: a front end hands a call to
// Router.Handle and gets one answer, a Transport brings attempts to upstream servers, and a Watcher follows the list of
// endpoints.
//
// A call passes these stages, each in its own file:
//
//	receive.go     the front end's goroutine enqueues the call and waits for its one answer
//	admit.go       the call enters the table of open calls, and the Balancer decides what becomes of it
//	dispatch.go    the Balancer has chosen a server: the attempt is made and started
//	attempt_run.go the attempt runs on a goroutine of its own until its one outcome is known
//	respond.go     the outcome ends the attempt; the first final one answers the call
//	call_table.go  a call that is answered and has no attempt in flight leaves the table
//
// One goroutine, Router.Run, owns the Balancer and the table of open calls. Everything else reaches it as an event on a
// channel, so that decisions need no lock. Fields and types that belong to it say so.
package routing
