package routing

import (
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// inFlightTimeout is the maximum duration for which AttemptsInFlight waits for the event loop.
const inFlightTimeout = 200 * time.Millisecond

// effectiveServers returns the servers of a list in the state that the Balancer receives, which takes suspensions by
// operators into account.
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

// AddUnlistedServer registers a server that only the list of another process of the node contains.
func (r *Router) AddUnlistedServer(name string) { r.maintenance.Add(name) }

// Suspend takes a server out of use. After it returns, no new attempt sends its first byte to the server. The Balancer
// is notified asynchronously, so the caller never waits for room in a full queue. It returns a
// maintenance.UnknownServerError if the server is not in the maintenance registry.
func (r *Router) Suspend(name string) error {
	return r.changeSuspension(name, r.maintenance.Suspend)
}

// Restore returns a suspended server to use. It returns a maintenance.UnknownServerError if the server is not in the
// maintenance registry.
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

// suspensionEvent passes the current state of a server to the Balancer. The order of such events is irrelevant, because
// each reads the state when it is handled.
type suspensionEvent struct{ name string }

func (e suspensionEvent) handle(r *Router) {
	server, ok := r.maintenance.Effective(e.name)
	if !ok {
		return
	}
	servers := r.subset.apply(balancer.UpdateDelta, []balancer.Server{server})
	r.forwardServers(balancer.UpdateDelta, servers, time.Now())
}

// inFlightEvent requests the number of attempts in flight at a server.
type inFlightEvent struct {
	name  string
	count chan<- int // buffered, so the event loop does not block on it
}

func (e inFlightEvent) handle(r *Router) {
	e.count <- r.calls.attemptsInFlight(func(attempt *runningAttempt) bool {
		return attempt.Upstream != nil && attempt.Upstream.Name == e.name
	})
}

// AttemptsInFlight returns the number of attempts in flight at a server. It returns 1 if the event loop does not
// respond within inFlightTimeout, because some attempts may be in flight.
func (r *Router) AttemptsInFlight(name string) int {
	count := make(chan int, 1)
	if !r.post(inFlightEvent{name, count}) {
		return 0 // the event loop has stopped, which ends all attempts
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
