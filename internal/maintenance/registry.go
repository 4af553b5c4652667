package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"olivebridge/balancer"
)

const (
	// maxEntries bounds the servers remembered, but for those that are listed or suspended. With one server replaced a
	// second it is over an hour of them.
	maxEntries = 4096
	// entriesAfterForgetting is to how many entries the Registry shrinks, so that it seldom has to.
	entriesAfterForgetting = maxEntries * 7 / 8
)

// NamedServer is a listed server with the id that operators know it by.
type NamedServer struct {
	balancer.Server
	Name string
	Addr string // host:port; empty: not listed, the known one stays
}

// UnknownServerError says that a server is not in the Registry.
type UnknownServerError string

// Error implements error.
func (e UnknownServerError) Error() string {
	return fmt.Sprintf("no list has ever named server %q", string(e))
}

// Registry knows the servers that are listed, suspended or were removed lately (see maxEntries). It is safe for
// concurrent use.
type Registry struct {
	mu          sync.Mutex
	entries     map[string]*entry
	changes     uint64 // of entries so far
	listVersion int64  // of the last list, as discovery numbers it
}

// entry is what a Registry knows of one server.
type entry struct {
	addr             string
	listed           balancer.Server // as the lists have it; Removed: they name it no more
	suspension       *Suspension
	suspendedAt      balancer.Time // the last time
	startedNotBefore balancer.Time // since when it counts as started at the earliest; 0: as listed
	changedAt        uint64        // the Registry's changes then
}

// New makes an empty Registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Update takes in a list and returns the servers as the Balancer is to be shown them. A server that a full list does
// not name is removed.
func (r *Registry) Update(kind balancer.UpdateKind, version int64, list []NamedServer) []balancer.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listVersion = version
	if kind != balancer.UpdateDelta {
		r.removeUnlisted(list)
	}
	effective := make([]balancer.Server, 0, len(list))
	for _, server := range list {
		e := r.entry(server.Name)
		e.listed = server.Server
		if server.Addr != "" {
			e.addr = server.Addr
		}
		r.markChanged(e)
		effective = append(effective, e.effective())
	}
	r.forgetRemoved()
	return effective
}

// removeUnlisted marks the servers as removed that a full list does not name. The lock is held.
func (r *Registry) removeUnlisted(list []NamedServer) {
	listed := make(map[string]bool, len(list))
	for _, server := range list {
		listed[server.Name] = true
	}
	for name, e := range r.entries {
		if !listed[name] {
			e.listed.State = balancer.Removed
		}
	}
}

// entry is a server's entry, made if there is none. The lock is held.
func (r *Registry) entry(name string) *entry {
	e := r.entries[name]
	if e == nil {
		e = &entry{suspension: new(Suspension)}
		r.entries[name] = e
	}
	return e
}

// markChanged notes that an entry has changed. The lock is held.
func (r *Registry) markChanged(e *entry) {
	r.changes++
	e.changedAt = r.changes
}

// effective is the server as the Balancer is to be shown it. A restored server was restarted while it was suspended: it
// counts as started when it was restored, unless a list had told of the restart by then.
func (e *entry) effective() balancer.Server {
	server := e.listed
	if e.suspension.Active() {
		server.State = balancer.Draining // Removed would not do: by some settings removed servers are still used
		return server
	}
	server.StartedAt = max(server.StartedAt, e.startedNotBefore)
	return server
}

// Suspend keeps a server out of use from its return on. It is idempotent, and fails with an UnknownServerError.
func (r *Registry) Suspend(name string, now balancer.Time) error {
	return r.setSuspended(name, true, now)
}

// Restore puts a server back into use, however often it was suspended. It fails with an UnknownServerError.
func (r *Registry) Restore(name string, now balancer.Time) error {
	return r.setSuspended(name, false, now)
}

func (r *Registry) setSuspended(name string, suspended bool, now balancer.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name]
	if e == nil {
		return UnknownServerError(name)
	}
	r.markChanged(e)
	wasSuspended := e.suspension.active.Swap(suspended)
	switch {
	case suspended && !wasSuspended:
		e.suspendedAt = now
	case wasSuspended && !suspended && e.listed.StartedAt <= e.suspendedAt:
		e.startedNotBefore = now
	}
	return nil
}

// Add takes a server for listed, as another process of the node has seen it.
func (r *Registry) Add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry(name)
}

// Effective is a server as the Balancer is to be shown it. ok is false if no list of this process has named it.
func (r *Registry) Effective(name string) (server balancer.Server, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name]
	if e == nil || e.listed.ID == 0 {
		return balancer.Server{}, false
	}
	return e.effective(), true
}

// SuspensionOf is a server's Suspension, which stays the same. nil: the server is not known, or r is nil.
func (r *Registry) SuspensionOf(name string) *Suspension {
	if r == nil { // a node without an admin listener
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[name]; e != nil {
		return e.suspension
	}
	return nil
}

// SuspendedServers are the names of the servers that are suspended, in order.
func (r *Registry) SuspendedServers() []string {
	return r.names(func(e *entry) bool { return e.suspension.Active() })
}

// ReadyServers are the names of the servers that the lists have as ready, in order. Some may be suspended.
func (r *Registry) ReadyServers() []string {
	return r.names(func(e *entry) bool { return e.listed.State == balancer.Ready })
}

func (r *Registry) names(match func(*entry) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, e := range r.entries {
		if match(e) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// forgetRemoved bounds the memory: of the servers that are removed and not suspended, those that changed longest ago go
// first. The lock is held.
func (r *Registry) forgetRemoved() {
	if len(r.entries) <= maxEntries {
		return
	}
	var removed []string
	for name, e := range r.entries {
		if e.listed.State == balancer.Removed && !e.suspension.Active() {
			removed = append(removed, name)
		}
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Compare(r.entries[a].changedAt, r.entries[b].changedAt)
	})
	excess := min(len(removed), len(r.entries)-entriesAfterForgetting)
	for _, name := range removed[:excess] {
		delete(r.entries, name)
	}
}
