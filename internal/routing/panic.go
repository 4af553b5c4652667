package routing

import (
	"context"
	"fmt"
	"runtime/debug"

	"olivebridge/balancer"
)

// callEvent is an event that concerns one call. The call fails if handling the event panics.
type callEvent interface {
	requestID() balancer.RequestID
}

// handleWithRecover handles an event and recovers from a panic, which would otherwise end the node with all its calls.
// If the event concerns a call, that call fails. Any other call that the fault affects is answered by its watchdog.
func (r *Router) handleWithRecover(e event) {
	defer func() {
		if p := recover(); p != nil {
			r.logPanic(fmt.Sprintf("%T", e), p)
			if concerned, ok := e.(callEvent); ok {
				r.abandon(concerned.requestID())
			}
		}
	}()
	e.handle(r)
}

// abandon fails a call and cancels its attempts after handling one of its events has panicked.
func (r *Router) abandon(id balancer.RequestID) {
	call := r.calls.byID[id]
	if call == nil {
		return
	}
	r.respond(call, Answer{Verdict: Failed})
	for number := range call.attempts {
		r.Cancel(id, number)
	}
	r.removeIfDone(call)
	defer r.recoverPanic("abandoned call") // an invalid state of the call may make HandleDisconnect panic
	r.balancer.HandleDisconnect(r.now(), id)
}

// spawn runs task on a goroutine of its own. If task panics, onPanic is called, so a receiver of the outcome always
// gets one.
func (r *Router) spawn(task func(context.Context), onPanic func()) {
	ctx := r.ctx
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		completed := false
		defer func() {
			if !completed {
				onPanic()
			}
		}()
		defer r.recoverPanic("task")
		task(ctx)
		completed = true
	}()
}

// recoverPanic recovers from a panic and logs it, so the node keeps running. It must be deferred.
func (r *Router) recoverPanic(location string) {
	if p := recover(); p != nil {
		r.logPanic(location, p)
	}
}

func (r *Router) logPanic(location string, value any) {
	r.counters.Panics.Add(1)
	r.log.Error("panic", "in", location, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}
