package routing

import (
	"context"
	"errors"
)

// Snapshot is what a Router holds at one moment. An idle node holds its upstreams, its watch and its one timer.
type Snapshot struct {
	Calls            int // in the table
	ClientRequestIDs int // of the open calls
	AttemptsInFlight int
	Upstreams        int
	Timers           int
	WatchRunning     bool
	// WarmThroughput is what the Balancer has learnt that warm servers carry, for a successor process.
	WarmThroughput float64
}

// errStopped says that the decisions have ended.
var errStopped = errors.New("routing: the decisions have ended")

// snapshotEvent asks what the Router holds.
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

// Snapshot asks the decisions what they hold, between two events. It fails once they have ended, and with ctx.
func (r *Router) Snapshot(ctx context.Context) (Snapshot, error) {
	taken := make(chan Snapshot, 1)
	r.post(snapshotEvent(taken))
	select {
	case snapshot := <-taken:
		return snapshot, nil
	case <-r.stopped:
		return Snapshot{}, errStopped
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}
