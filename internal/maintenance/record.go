package maintenance

import (
	"maps"
	"slices"

	"olivebridge/balancer"
)

// ListedServer is a balancer.Server in the encoding in which a process of a node passes it to its successor. The JSON
// names are those that earlier builds write and read, so they must not change when a field is renamed. The fields have
// the names, types and order of the fields of balancer.Server, which makes the two types convertible.
type ListedServer struct {
	ID            balancer.ServerID    `json:"ID"`
	Cell          uint16               `json:"Cell"`
	Zone          uint8                `json:"Zone"`
	Kind          uint8                `json:"Kind"`
	StartedAt     balancer.Time        `json:"Born"`
	Weight        float32              `json:"Weight"`
	State         balancer.ServerState `json:"State"`
	OutsideSubset bool                 `json:"Aside"`
}

// Record is the state of one server in a Registry, in the encoding in which a successor process receives it.
type Record struct {
	Name             string        `json:"name"`
	Addr             string        `json:"addr"`
	Listed           ListedServer  `json:"said"`
	Suspended        bool          `json:"held,omitempty"`
	SuspendedAt      balancer.Time `json:"since,omitempty"`
	StartedNotBefore balancer.Time `json:"not_before,omitempty"` // lower bound of the start time; 0 if there is none
}

// Export returns the records of all servers, sorted by name, and the version of the last list.
func (r *Registry) Export() (records []Record, listVersion int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		records = append(records, r.entries[name].toRecord(name))
	}
	return records, r.listVersion
}

// Import stores the records that another Registry exported.
func (r *Registry) Import(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		e := r.getOrCreateEntry(record.Name)
		e.fromRecord(record)
		r.markChanged(e)
	}
}

func (e *entry) toRecord(name string) Record {
	return Record{
		Name:             name,
		Addr:             e.addr,
		Listed:           ListedServer(e.listed),
		Suspended:        e.suspension.Active(),
		SuspendedAt:      e.suspendedAt,
		StartedNotBefore: e.startedNotBefore,
	}
}

func (e *entry) fromRecord(record Record) {
	e.addr = record.Addr
	e.listed = balancer.Server(record.Listed)
	e.suspendedAt = record.SuspendedAt
	e.startedNotBefore = record.StartedNotBefore
	e.suspension.active.Store(record.Suspended)
}
