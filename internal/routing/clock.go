package routing

import (
	"time"

	"olivebridge/balancer"
)

// now is the Balancer's time: the wall clock at the Router's start, run on by the monotonic clock. So it never goes
// back, and the starts that servers report compare with it.
func (r *Router) now() balancer.Time { return r.balancerTime(time.Now()) }

// balancerTime turns the clock's time into the Balancer's.
func (r *Router) balancerTime(t time.Time) balancer.Time {
	return balancer.Time(r.startedAt.UnixNano()) + balancer.Time(t.Sub(r.startedAt))
}

// clockTime turns the Balancer's time into the clock's.
func (r *Router) clockTime(t balancer.Time) time.Time {
	return r.startedAt.Add(time.Duration(t - balancer.Time(r.startedAt.UnixNano())))
}

// timerEvent is a timer of the Balancer's.
type timerEvent struct {
	ref   uint64 // the Balancer's name for it
	timer *time.Timer
}

func (e *timerEvent) handle(r *Router) {
	delete(r.timers, e)
	r.balancer.HandleTimer(r.now(), e.ref)
}

// SetTimer implements balancer.Host.
func (r *Router) SetTimer(delay time.Duration, timer uint64) {
	e := &timerEvent{ref: timer}
	r.timers[e] = struct{}{}
	e.timer = time.AfterFunc(delay, func() { r.post(e) })
}

// stopTimers stops all timers, as the node ends.
func (r *Router) stopTimers() {
	for e := range r.timers {
		e.timer.Stop()
	}
}
