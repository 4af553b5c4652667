package routing

import (
	"errors"
	"maps"
	"slices"

	"olivebridge/balancer"
)

// ErrCalledOff is the cause with which a try's context ends when the Balancer
// no longer wants it.
var ErrCancelled = errors.New("called off")

// ErrTimeUp is the cause when its time is up.
var ErrDeadlineExceeded = errors.New("time up")

// send is the fourth stage: the carrier takes the try to its peer on a
// goroutine of its own, and exactly one outcome comes back.
func (r *Router) send(a *runningAttempt) {
	r.tasks.Add(1)
	go a.run()
}

// Cancel implements balancer.Host.
func (r *Router) Cancel(id balancer.RequestID, attempt int) {
	if e := r.open[id]; e != nil && attempt >= 0 && attempt < len(e.tries) && !e.tries[attempt].in {
		r.count.Cancelled.Add(1)
		e.tries[attempt].end(ErrCancelled)
	}
}

// callOff ends the tries of all open calls, as the node ends.
func (r *Router) callOff() {
	for _, id := range slices.Sorted(maps.Keys(r.open)) {
		for _, a := range r.open[id].tries {
			a.end(errStopped)
		}
	}
}
