package stage

import (
	"context"
	"net"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// pacedListener accepts connections at least acceptInterval apart. Otherwise a node that accepts again after it had
// reached its connection limit would read, at one instant, several connections whose requests have already arrived, in
// an order that is not deterministic.
type pacedListener struct{ net.Listener }

const acceptInterval = time.Microsecond + 3

// Accept implements net.Listener.
func (p pacedListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	time.Sleep(acceptInterval)
	return c, err
}

// delayedWatcher delays the updates and the end of a watch by watchDelay. Otherwise a call to discovery that starts
// with the node and is never answered would end at the same instant as one of the node's ticks.
type delayedWatcher struct{ routing.Watcher }

const watchDelay = 3*staggerSlots + 7

// Watch implements routing.Watcher.
func (w delayedWatcher) Watch(ctx context.Context, update func(routing.EndpointList)) error {
	defer time.Sleep(watchDelay)
	return w.Watcher.Watch(ctx, func(g routing.EndpointList) {
		time.Sleep(watchDelay)
		update(g)
	})
}

// staggeredTransport delays the start and the end of each attempt by some nanoseconds that follow from the number of
// its request, and so differ within a node. Attempts that one decision starts at the same instant are thereby ordered:
// it is deterministic which of two attempts uses the only idle connection.
type staggeredTransport struct {
	routing.Transport
	peers map[string]int // index of each peer by name
}

// staggerSlots is the number of different delays of attempts, in nanoseconds. It is prime and exceeds the number of
// attempts that can start at one instant.
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
