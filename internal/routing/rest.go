package routing

import (
	"context"
	"errors"
)

// Rest is what a Router holds at one moment. A node that nothing is asked of
// holds its peers, its watch and its one timer.
type Rest struct {
	Calls  int // in the table
	Names  int // of the open calls
	Tries  int // whose outcome is not in
	Peers  int
	Timers int
	Watch  bool // one runs
	// Carried is what the Balancer has learnt that warm peers carry; for a successor.
	Carried float64
}

// errStopped says that the decisions have ended.
var errStopped = errors.New("routing: the decisions have ended")

// restEvent asks what the Router holds.
type restEvent chan<- Rest

func (e restEvent) handle(r *Router) {
	s := Rest{Calls: len(r.open), Names: len(r.names), Peers: len(r.peers), Timers: len(r.timers),
		Watch: r.watch != nil, Carried: r.balancer.WarmThroughput()}
	for _, c := range r.open {
		s.Tries += c.out
	}
	e <- s
}

// Rest asks the decision goroutine what it holds, between two events.
func (r *Router) Rest(ctx context.Context) (Rest, error) {
	rest := make(chan Rest, 1)
	r.post(restEvent(rest))
	select {
	case s := <-rest:
		return s, nil
	case <-r.stopped:
		return Rest{}, errStopped
	case <-ctx.Done():
		return Rest{}, ctx.Err()
	}
}
