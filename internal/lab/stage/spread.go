package stage

import (
	"context"
	"net"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// pacedListener is a listener that gives out one connection after the other: once a
// crowded node has made room, several that have sent their requests already
// would be read at one instant.
type pacedListener struct{ net.Listener }

const acceptInterval = time.Microsecond + 3

// Accept implements net.Listener.
func (p pacedListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	time.Sleep(acceptInterval)
	return c, err
}

// delayedWatcher is a watch whose news comes some nanoseconds late: a call to discovery
// that began with the node, and was never answered, ends at the very instant of
// one of its ticks.
type delayedWatcher struct{ routing.Watcher }

const watchDelay = 3*staggerSlots + 7

// Watch implements routing.Watcher.
func (w delayedWatcher) Watch(ctx context.Context, told func(routing.EndpointList)) error {
	defer time.Sleep(watchDelay)
	return w.Watcher.Watch(ctx, func(g routing.EndpointList) {
		time.Sleep(watchDelay)
		told(g)
	})
}

// staggeredTransport is a carrier that lets what one decision of a node sets off at one
// instant begin, and end, some nanoseconds apart: which of two tries takes the
// one idle connection is then no matter of luck. The nanoseconds are those of
// the call's number, so that they differ within a node.
type staggeredTransport struct {
	routing.Transport
	peers map[string]int // places by name
}

// staggerSlots is above the number of tries that one instant can set off, and prime.
const staggerSlots = 16381

// RoundTrip implements routing.Transport.
func (s staggeredTransport) RoundTrip(ctx context.Context, t routing.Attempt) routing.AttemptResult {
	d := time.Duration(1 + (uint64(t.RequestID)*8+uint64(t.Number))%staggerSlots)
	time.Sleep(d)
	defer time.Sleep(d)
	return s.Transport.RoundTrip(ctx, t)
}

// CheckHealth implements routing.Transport.
func (s staggeredTransport) CheckHealth(ctx context.Context, p *routing.Upstream) balancer.Result {
	d := staggerSlots + time.Duration(1+s.peers[p.Name])
	time.Sleep(d)
	defer time.Sleep(d)
	return s.Transport.CheckHealth(ctx, p)
}
