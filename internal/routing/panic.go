package routing

import (
	"context"
	"fmt"
	"runtime/debug"

	"olivebridge/balancer"
)

// callEvent is an event about one call, which fails if handling the event panics.
type callEvent interface {
	requestID() balancer.RequestID
}

// handleGuarded keeps a panic over one event from ending the node, and all other calls with it. A call that the event
// is about fails; one that the fault has reached otherwise is answered by its watchdog.
func (r *Router) handleGuarded(e event) {
	defer func() {
		if p := recover(); p != nil {
			r.logPanic(fmt.Sprintf("%T", e), p)
			if about, ok := e.(callEvent); ok {
				r.abandon(about.requestID())
			}
		}
	}()
	e.handle(r)
}

// abandon fails a call whose event panicked and cancels its attempts.
func (r *Router) abandon(id balancer.RequestID) {
	call := r.calls.byID[id]
	if call == nil {
		return
	}
	r.respond(call, Answer{Verdict: Failed})
	for number := range call.attempts {
		r.Cancel(id, number)
	}
	r.calls.removeIfDone(call)
	defer r.recoverPanic("abandoned call") // the fault may lie in what the Balancer holds of the call
	r.balancer.HandleDisconnect(r.now(), id)
}

// spawn runs task beside the decisions. If it panics, onPanic runs, so that whoever waits for an outcome gets one.
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

// recoverPanic keeps a panic from ending the node. It is to be deferred.
func (r *Router) recoverPanic(in string) {
	if p := recover(); p != nil {
		r.logPanic(in, p)
	}
}

func (r *Router) logPanic(in string, value any) {
	r.counters.Panics.Add(1)
	r.log.Error("panic", "in", in, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}
