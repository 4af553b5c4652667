package routing

import (
	"cmp"
	"slices"

	"olivebridge/balancer"
)

// addressOwner is the server that was started last of those listed at an address.
type addressOwner struct {
	id        balancer.ServerID
	startedAt balancer.Time
}

// addressOwners are the owners of the addresses in an endpoint list.
type addressOwners map[string]addressOwner

// newAddressOwners returns the owners of the addresses in a list.
func newAddressOwners(endpoints []Endpoint) addressOwners {
	owners := make(addressOwners, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.State == balancer.Removed || endpoint.Addr == "" {
			continue
		}
		owner, known := owners[endpoint.Addr]
		if !known || endpoint.StartedAt > owner.startedAt {
			owners[endpoint.Addr] = addressOwner{endpoint.ID, endpoint.StartedAt}
		}
	}
	return owners
}

// replaced reports whether another server has been started at the address of a server since that was started. A
// process listens at an address alone, so the server itself is gone.
func (o addressOwners) replaced(id balancer.ServerID, addr string, startedAt balancer.Time) bool {
	owner, known := o[addr]
	return known && owner.id != id && owner.startedAt > startedAt
}

// withReplaced returns a list in which the servers are draining whose address belongs to a server that was started
// later, also those that a list of changes does not name. Otherwise attempts meant for them would reach the other
// process: discovery may tell only later that they are gone.
func (r *Router) withReplaced(list EndpointList) EndpointList {
	owners := newAddressOwners(list.Endpoints)
	listed := make(map[balancer.ServerID]bool, len(list.Endpoints))
	endpoints := make([]Endpoint, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		if endpoint.State == balancer.Ready && owners.replaced(endpoint.ID, endpoint.Addr, endpoint.StartedAt) {
			endpoint.State = balancer.Draining
		}
		endpoints = append(endpoints, endpoint)
	}
	for id, upstream := range r.upstreams {
		replaced := owners.replaced(id, upstream.Addr, upstream.listed.StartedAt)
		if replaced || listed[id] {
			r.setReplaced(upstream, replaced)
		}
		if replaced && !listed[id] && list.Kind == balancer.UpdateDelta && upstream.listed.State == balancer.Ready {
			server := upstream.listed
			server.State = balancer.Draining
			endpoints = append(endpoints, Endpoint{Server: server, Name: upstream.Name, Addr: upstream.Addr})
		}
	}
	slices.SortFunc(endpoints[len(list.Endpoints):], func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	list.Endpoints = endpoints
	return list
}

// setReplaced records whether another server has the address of a server.
func (r *Router) setReplaced(upstream *Upstream, replaced bool) {
	if upstream.replaced.Swap(replaced) != replaced && replaced {
		r.log.Info("server replaced at its address", "server", upstream.Name, "addr", upstream.Addr)
	}
}
