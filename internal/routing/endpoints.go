package routing

import (
	"maps"
	"time"

	"olivebridge/balancer"
)

// Endpoint is a server in an endpoint list of discovery.
type Endpoint struct {
	balancer.Server
	Name string // name by which operators identify the server
	Addr string // host:port; if empty, the known address is kept
}

// EndpointList is a complete endpoint list or a set of changes to one, depending on Kind.
type EndpointList struct {
	Kind       balancer.UpdateKind
	Endpoints  []Endpoint
	ReceivedAt time.Time
	Version    int64 // assigned by discovery
}

// updateEndpoints stores the addresses of a list and passes its servers to the Balancer. It then removes the upstreams
// that the Balancer no longer knows.
func (r *Router) updateEndpoints(list EndpointList) {
	listed := list.Endpoints
	list = r.withReplaced(list)
	servers := r.subset.apply(list.Kind, r.effectiveServers(list))
	for _, endpoint := range listed {
		upstream := r.upstreamFor(endpoint)
		upstream.listed = endpoint.Server
		r.upstreams[endpoint.ID] = upstream
	}
	r.forwardServers(list.Kind, servers, list.ReceivedAt)
	maps.DeleteFunc(r.upstreams, func(id balancer.ServerID, _ *Upstream) bool { return !r.balancer.HasServer(id) })
	if len(r.upstreams) > 0 {
		r.ready.Store(true)
	}
}

// upstreamFor returns the Upstream of a listed endpoint: the known one unless its address has changed.
func (r *Router) upstreamFor(endpoint Endpoint) *Upstream {
	known := r.upstreams[endpoint.ID]
	if known == nil {
		upstream := NewUpstream(endpoint.ID, endpoint.Name, endpoint.Addr)
		upstream.suspension = r.maintenance.SuspensionOf(endpoint.Name)
		return upstream
	}
	if endpoint.Addr == "" || endpoint.Addr == known.Addr {
		return known
	}
	return known.withAddress(endpoint.Name, endpoint.Addr)
}

// forwardServers passes servers to the Balancer. It stores their start times before that. An attempt that reads a new
// start time posts a confirmEvent, which the event loop handles after this update; the Balancer then knows of the
// restart.
func (r *Router) forwardServers(kind balancer.UpdateKind, servers []balancer.Server, at time.Time) {
	r.convertStarts(servers)
	r.balancer.HandleServers(r.now(), kind, servers)
	r.updateAccepting(at)
}

// updateAccepting records at each upstream whether the Balancer allows new attempts to the server. This depends on
// state of the Balancer in addition to the entry of the server in the list.
func (r *Router) updateAccepting(at time.Time) {
	for id, upstream := range r.upstreams {
		upstream.SetAccepting(r.balancer.Accepts(id), at)
	}
}
