package maintenance

import (
	"maps"
	"slices"

	"olivebridge/balancer"
)

// ListedServer is a balancer.Server in the form in which one process of a node hands it to the next. The JSON names
// are those that earlier builds write and read, so they stay when a field is renamed. Its fields are those of
// balancer.Server in name, type and order, which lets the two convert into each other.
type ListedServer struct {
	ID        balancer.ServerID    `json:"ID"`
	Cell      uint16               `json:"Cell"`
	Zone      uint8                `json:"Zone"`
	Kind      uint8                `json:"Kind"`
	StartedAt balancer.Time        `json:"Born"`
	Weight    float32              `json:"Weight"`
	State     balancer.ServerState `json:"State"`
	Suspended bool                 `json:"Aside"`
}

// Record is what a Register knows of one server, as a successor takes it over.
type Record struct {
	Name             string        `json:"name"`
	Addr             string        `json:"addr"`
	Listed           ListedServer  `json:"said"`
	Suspended        bool          `json:"held,omitempty"`
	SuspendedAt      balancer.Time `json:"since,omitempty"`
	StartedNotBefore balancer.Time `json:"not_before,omitempty"`
}

// Export gives all that is known, in the order of names, and the version of the
// list it comes from.
func (r *Registry) Export() (all []Record, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[name]
		all = append(all, Record{name, e.addr, ListedServer(e.said), e.ban.Active(), e.since, e.notBefore})
	}
	return all, r.version
}

// Import takes over what another Register knew.
func (r *Registry) Import(all []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range all {
		e := r.of(in.Name)
		e.addr, e.said, e.since, e.notBefore = in.Addr, balancer.Server(in.Listed), in.SuspendedAt, in.StartedNotBefore
		e.ban.on.Store(in.Suspended)
		r.touch(e)
	}
}
