package routing

import (
	"context"
	"errors"
)

// Snapshot is the state of a Router at one moment. An idle Router has its upstreams, a running watch and one timer.
type Snapshot struct {
	Calls            int // number of calls in the call table
	ClientRequestIDs int // number of client request ids of open calls
	AttemptsInFlight int
	Upstreams        int
	Timers           int
	WatchRunning     bool
	// WarmThroughput is the throughput of warm servers that the Balancer has learnt, as defined by its method
	// WarmThroughput. A successor process receives it.
	WarmThroughput float64
}

// errStopped reports that the event loop has stopped.
var errStopped = errors.New("routing: the event loop has stopped")

// snapshotEvent requests a Snapshot, which is sent on the channel.
type snapshotEvent chan<- Snapshot

func (e snapshotEvent) handle(r *Router) {
	snapshot := Snapshot{
		Calls:            len(r.calls.byID),
		ClientRequestIDs: len(r.calls.clientRequestIDs),
		Upstreams:        len(r.upstreams),
		Timers:           len(r.timers),
		WatchRunning:     r.watch != nil,
		WarmThroughput:   r.balancer.WarmThroughput(),
	}
	for _, call := range r.calls.byID {
		snapshot.AttemptsInFlight += call.inFlight
	}
	e <- snapshot
}

// Snapshot returns the state of the Router between two events. It returns an error if the event loop has stopped or ctx
// ends first.
func (r *Router) Snapshot(ctx context.Context) (Snapshot, error) {
	result := make(chan Snapshot, 1)
	r.post(snapshotEvent(result))
	select {
	case snapshot := <-result:
		return snapshot, nil
	case <-r.stopped:
		return Snapshot{}, errStopped
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}
