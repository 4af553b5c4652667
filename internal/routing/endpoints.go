package routing

import (
	"maps"
	"time"

	"olivebridge/balancer"
)

// Endpoint is one server as discovery lists it.
type Endpoint struct {
	balancer.Server
	Name string // as operators know it
	Addr string // host:port; empty: not listed, the known one stays
}

// EndpointList is a list of endpoints, or of changes to one.
type EndpointList struct {
	Kind       balancer.UpdateKind
	Endpoints  []Endpoint
	ReceivedAt time.Time
	Version    int64 // as discovery numbers it
}

// updateEndpoints takes over the addresses of a list, then shows it to the Balancer.
func (r *Router) updateEndpoints(list EndpointList) {
	servers := r.subset.apply(list.Kind, r.effectiveServers(list))
	for _, endpoint := range list.Endpoints {
		r.upstreams[endpoint.ID] = r.updatedUpstream(endpoint)
	}
	r.showServers(list.Kind, servers, list.ReceivedAt)
	maps.DeleteFunc(r.upstreams, func(id balancer.ServerID, _ *Upstream) bool { return !r.balancer.HasServer(id) })
	if len(r.upstreams) > 0 {
		r.ready.Store(true)
	}
}

// updatedUpstream is the Upstream of a listed endpoint: the known one unless its address has changed.
func (r *Router) updatedUpstream(endpoint Endpoint) *Upstream {
	known := r.upstreams[endpoint.ID]
	if known == nil {
		upstream := NewUpstream(endpoint.ID, endpoint.Name, endpoint.Addr)
		upstream.suspension = r.maintenance.SuspensionOf(endpoint.Name)
		return upstream
	}
	if endpoint.Addr == "" || endpoint.Addr == known.Addr {
		return known
	}
	return known.movedTo(endpoint.Name, endpoint.Addr)
}

// showServers shows servers to the Balancer. Their starts are noted first: an attempt that finds another start than the
// one it was decided by asks for confirmation, and that question is handled after this.
func (r *Router) showServers(kind balancer.UpdateKind, servers []balancer.Server, at time.Time) {
	for _, server := range servers {
		if upstream := r.upstreams[server.ID]; upstream != nil {
			upstream.startedAt.Store(int64(server.StartedAt))
		}
	}
	r.balancer.HandleServers(r.now(), kind, servers)
	r.updateAccepting(at)
}

// updateAccepting notes at each upstream whether the Balancer lets new attempts go to it, which depends on more than
// its entry in the list.
func (r *Router) updateAccepting(at time.Time) {
	for id, upstream := range r.upstreams {
		upstream.SetAccepting(r.balancer.Accepts(id), at)
	}
}
