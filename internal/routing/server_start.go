package routing

import (
	"time"

	"olivebridge/balancer"
)

// clockTolerance is the difference between clocks up to which they count as equal.
const clockTolerance = time.Second

// convertStarts replaces the listed start times of servers by those for the Balancer, and stores these.
func (r *Router) convertStarts(servers []balancer.Server) {
	for i := range servers {
		upstream := r.upstreams[servers[i].ID]
		servers[i].StartedAt = r.serverStart(upstream, servers[i].StartedAt)
		if upstream != nil {
			upstream.startedAt.Store(int64(servers[i].StartedAt))
		}
	}
}

// serverStart returns the start time of a listed server for the Balancer. It is the listed one, unless that is of a
// clock which has been stepped. The Router's own time is the wall clock at its start and runs on without steps: after a
// step, a server that has just started would seem to have started an hour ago, or in an hour. Then the younger age by
// the two clocks applies, since a cold server must not be taken for a warm one. A listed time is converted once, so
// that it identifies the server's process.
func (r *Router) serverStart(upstream *Upstream, listed balancer.Time) balancer.Time {
	if listed == 0 || upstream == nil {
		return listed
	}
	if listed != upstream.listedStart {
		upstream.listedStart = listed
		upstream.ownStart = r.convertStart(listed)
	}
	return upstream.ownStart
}

// convertStart converts a listed start time to the time of the Balancer.
func (r *Router) convertStart(listed balancer.Time) balancer.Time {
	now := r.now()
	start := listed
	step := r.wallClock().UnixNano() - int64(now)
	if time.Duration(step).Abs() >= clockTolerance {
		start = max(listed, listed-balancer.Time(step))
		r.log.Warn("wall clock was stepped", "by", time.Duration(step).Round(time.Millisecond))
	}
	if start > now+balancer.Time(clockTolerance) {
		return now
	}
	return start
}
