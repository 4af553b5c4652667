package routing

import (
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// shown is a list as the Balancer is to see it: operators may keep servers of it out of use.
func (r *Router) shown(g EndpointList) []balancer.Server {
	if r.servers == nil {
		servers := make([]balancer.Server, 0, len(g.Endpoints))
		for _, e := range g.Endpoints {
			servers = append(servers, e.Server)
		}
		return servers
	}
	named := make([]maintenance.NamedServer, 0, len(g.Endpoints))
	for _, e := range g.Endpoints {
		named = append(named, maintenance.NamedServer{Server: e.Server, Name: e.Name, Addr: e.Addr})
	}
	return r.servers.Update(g.Kind, g.Version, named)
}

// maintainEvent tells the Balancer how a server stands now. Events that overtake
// each other do no harm: each brings what holds when it is handled.
type maintainEvent struct{ name string }

func (e maintainEvent) handle(r *Router) {
	if s, ok := r.servers.Effective(e.name); ok {
		r.show(balancer.UpdateDelta, r.chosen.take(balancer.UpdateDelta, []balancer.Server{s}), time.Now())
	}
}

// Know takes a peer for one that was once listed, as another process of the node has it.
func (r *Router) AddKnownServer(name string) { r.servers.Add(name) }

// Suspend keeps a server out of use. No first byte of anything new leaves for it
// once this has returned; the Balancer hears of it a little later, so that no
// caller waits behind a full queue.
func (r *Router) Suspend(name string) error {
	return r.maintain(name, r.servers.Suspend)
}

// Restore puts a server back.
func (r *Router) Restore(name string) error {
	return r.maintain(name, r.servers.Restore)
}

func (r *Router) maintain(name string, change func(string, balancer.Time) error) error {
	if err := change(name, r.now()); err != nil {
		return err
	}
	r.tell(maintainEvent{name})
	return nil
}

// busyWithin is how long the decisions may take to tell what is open.
const busyWithin = 200 * time.Millisecond

// busyEvent asks how many tries are open at a peer.
type busyEvent struct {
	name string
	told chan int
}

func (e busyEvent) handle(r *Router) {
	n := 0
	for _, call := range r.open {
		for _, a := range call.tries {
			if !a.in && a.Upstream != nil && a.Upstream.Name == e.name {
				n++
			}
		}
	}
	e.told <- n
}

// Busy is how many tries are open at a peer. Where the decisions do not say in time it is 1: something may be.
func (r *Router) AttemptsInFlight(name string) int {
	e := busyEvent{name, make(chan int, 1)}
	if !r.post(e) {
		return 0 // the node has ended, and so have its tries
	}
	late := time.NewTimer(busyWithin)
	defer late.Stop()
	select {
	case n := <-e.told:
		return n
	case <-late.C:
		return 1
	}
}
