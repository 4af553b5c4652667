package routing

import (
	"time"

	"olivebridge/balancer"
)

// now returns the current time of the Balancer: the wall clock at the start of the Router plus the monotonic time
// elapsed since then. It never goes backwards and is comparable with the start times that servers report.
func (r *Router) now() balancer.Time { return r.balancerTime(time.Now()) }

// balancerTime converts a time.Time to the time of the Balancer.
func (r *Router) balancerTime(t time.Time) balancer.Time {
	return balancer.Time(r.startedAt.UnixNano()) + balancer.Time(t.Sub(r.startedAt))
}

// clockTime converts a time of the Balancer to a time.Time.
func (r *Router) clockTime(t balancer.Time) time.Time {
	return r.startedAt.Add(time.Duration(t - balancer.Time(r.startedAt.UnixNano())))
}

// timerEvent reports the expiry of a timer that the Balancer has set.
type timerEvent struct {
	timerID uint64 // identifier that the Balancer assigned to the timer
	timer   *time.Timer
}

func (e *timerEvent) handle(r *Router) {
	delete(r.timers, e)
	r.balancer.HandleTimer(r.now(), e.timerID)
}

// SetTimer implements balancer.Host.
func (r *Router) SetTimer(delay time.Duration, timer uint64) {
	e := &timerEvent{timerID: timer}
	r.timers[e] = struct{}{}
	e.timer = time.AfterFunc(delay, func() { r.post(e) })
}

// stopTimers stops all pending timers when Run returns.
func (r *Router) stopTimers() {
	for e := range r.timers {
		e.timer.Stop()
	}
}
