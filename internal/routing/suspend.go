package routing

import (
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// inFlightTimeout is how long AttemptsInFlight waits for the decisions.
const inFlightTimeout = 200 * time.Millisecond

// effectiveServers are the servers of a list as the Balancer is to see them: operators may have suspended some.
func (r *Router) effectiveServers(list EndpointList) []balancer.Server {
	if r.maintenance == nil {
		servers := make([]balancer.Server, 0, len(list.Endpoints))
		for _, endpoint := range list.Endpoints {
			servers = append(servers, endpoint.Server)
		}
		return servers
	}
	named := make([]maintenance.NamedServer, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		named = append(named, maintenance.NamedServer{Server: endpoint.Server, Name: endpoint.Name, Addr: endpoint.Addr})
	}
	return r.maintenance.Update(list.Kind, list.Version, named)
}

// AddUnlistedServer takes a server for listed, as another process of the node has seen it.
func (r *Router) AddUnlistedServer(name string) { r.maintenance.Add(name) }

// Suspend keeps a server out of use. Once it returns, no first byte of a new attempt leaves for the server; the
// Balancer hears of it a little later, so that no caller waits behind a full queue. It fails with a
// maintenance.UnknownServerError.
func (r *Router) Suspend(name string) error {
	return r.changeSuspension(name, r.maintenance.Suspend)
}

// Restore puts a suspended server back into use. It fails with a maintenance.UnknownServerError.
func (r *Router) Restore(name string) error {
	return r.changeSuspension(name, r.maintenance.Restore)
}

func (r *Router) changeSuspension(name string, change func(string, balancer.Time) error) error {
	if err := change(name, r.now()); err != nil {
		return err
	}
	r.postAsync(suspensionEvent{name})
	return nil
}

// suspensionEvent shows the Balancer how a server stands now. Such events may overtake each other, since each brings
// what holds when it is handled.
type suspensionEvent struct{ name string }

func (e suspensionEvent) handle(r *Router) {
	server, ok := r.maintenance.Effective(e.name)
	if !ok {
		return
	}
	servers := r.subset.apply(balancer.UpdateDelta, []balancer.Server{server})
	r.showServers(balancer.UpdateDelta, servers, time.Now())
}

// inFlightEvent asks how many attempts are in flight at a server.
type inFlightEvent struct {
	name  string
	count chan<- int // holds the answer, so that sending never blocks
}

func (e inFlightEvent) handle(r *Router) {
	e.count <- r.calls.attemptsInFlight(func(attempt *runningAttempt) bool {
		return attempt.Upstream != nil && attempt.Upstream.Name == e.name
	})
}

// AttemptsInFlight is how many attempts are in flight at a server. Where the decisions do not say in time it is 1,
// since some may be.
func (r *Router) AttemptsInFlight(name string) int {
	count := make(chan int, 1)
	if !r.post(inFlightEvent{name, count}) {
		return 0 // the decisions have ended, and with them all attempts
	}
	timeout := time.NewTimer(inFlightTimeout)
	defer timeout.Stop()
	select {
	case n := <-count:
		return n
	case <-timeout.C:
		return 1
	}
}
