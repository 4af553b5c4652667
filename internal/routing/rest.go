package routing

import (
	"context"
	"errors"
)

// Rest is what a Router holds at one moment. A node that nothing is asked of
// holds its peers, its watch and its one timer.
type Snapshot struct {
	Calls            int // in the table
	ClientRequestIDs int // of the open calls
	AttemptsInFlight int // whose outcome is not in
	Upstreams        int
	Timers           int
	WatchRunning     bool // one runs
	// Carried is what the Balancer has learnt that warm peers carry; for a successor.
	WarmThroughput float64
}

// errStopped says that the decisions have ended.
var errStopped = errors.New("routing: the decisions have ended")

// restEvent asks what the Router holds.
type restEvent chan<- Snapshot

func (e restEvent) handle(r *Router) {
	s := Snapshot{Calls: len(r.open), ClientRequestIDs: len(r.names), Upstreams: len(r.peers), Timers: len(r.timers),
		WatchRunning: r.watch != nil, WarmThroughput: r.balancer.WarmThroughput()}
	for _, c := range r.open {
		s.AttemptsInFlight += c.out
	}
	e <- s
}

// Rest asks the decision goroutine what it holds, between two events.
func (r *Router) Snapshot(ctx context.Context) (Snapshot, error) {
	rest := make(chan Snapshot, 1)
	r.post(restEvent(rest))
	select {
	case s := <-rest:
		return s, nil
	case <-r.stopped:
		return Snapshot{}, errStopped
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}
