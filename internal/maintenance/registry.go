package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"olivebridge/balancer"
)

const (
	// maxEntries is the number of entries above which removed servers are evicted. Servers that are listed or suspended
	// are never evicted. With one server replaced per second, the entries cover over an hour.
	maxEntries = 4096
	// entriesAfterEviction is the number of entries to which the Registry shrinks when it exceeds maxEntries. The
	// difference makes shrinking rare.
	entriesAfterEviction = maxEntries * 7 / 8
)

// NamedServer is a server of an endpoint list with the name by which operators identify it.
type NamedServer struct {
	balancer.Server
	Name string
	Addr string // host:port; if empty, the known address is kept
}

// UnknownServerError is the name of a requested server that the Registry does not contain.
type UnknownServerError string

// Error implements error.
func (e UnknownServerError) Error() string {
	return fmt.Sprintf("no list has ever named server %q", string(e))
}

// Registry contains the servers that are listed, are suspended or were removed recently (see maxEntries). It is safe
// for concurrent use.
type Registry struct {
	mu          sync.Mutex
	entries     map[string]*entry
	changes     uint64 // number of changes of entries
	listVersion int64  // version of the last list, assigned by discovery
}

// entry is the state of one server in a Registry.
type entry struct {
	addr             string
	listed           balancer.Server // last listed state; Removed once the lists do not contain the server
	suspension       *Suspension
	suspendedAt      balancer.Time // time of the last suspension
	startedNotBefore balancer.Time // lower bound of the start time; 0 if there is none
	changedAt        uint64        // Registry.changes at the last change
}

// New creates an empty Registry.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Update applies an endpoint list and returns its servers in the state that the Balancer receives. A server that is
// missing from a full list becomes Removed.
func (r *Registry) Update(kind balancer.UpdateKind, version int64, list []NamedServer) []balancer.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listVersion = version
	if kind != balancer.UpdateDelta {
		r.removeUnlisted(list)
	}
	effective := make([]balancer.Server, 0, len(list))
	for _, server := range list {
		e := r.getOrCreateEntry(server.Name)
		e.listed = server.Server
		if server.Addr != "" {
			e.addr = server.Addr
		}
		r.markChanged(e)
		effective = append(effective, e.effective())
	}
	r.evictRemoved()
	return effective
}

// removeUnlisted marks the servers that a full list does not contain as Removed. The lock must be held.
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

// getOrCreateEntry returns the entry of a server and creates it if necessary. The lock must be held.
func (r *Registry) getOrCreateEntry(name string) *entry {
	e := r.entries[name]
	if e == nil {
		e = &entry{suspension: new(Suspension)}
		r.entries[name] = e
	}
	return e
}

// markChanged records a change of an entry. The lock must be held.
func (r *Registry) markChanged(e *entry) {
	r.changes++
	e.changedAt = r.changes
}

// effective returns the server in the state that the Balancer receives. A server that was restored is assumed to have
// restarted while it was suspended: its start time is the time of the restoration unless a list reported the restart
// before that.
func (e *entry) effective() balancer.Server {
	server := e.listed
	if e.suspension.Active() {
		server.State = balancer.Draining // not Removed: with some settings removed servers are still used
		return server
	}
	server.StartedAt = max(server.StartedAt, e.startedNotBefore)
	return server
}

// Suspend takes a server out of use before it returns. It is idempotent and returns an UnknownServerError if the
// Registry does not contain the server.
func (r *Registry) Suspend(name string, now balancer.Time) error {
	return r.setSuspended(name, true, now)
}

// Restore returns a server to use, regardless of the number of times it was suspended. It returns an UnknownServerError
// if the Registry does not contain the server.
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

// Add adds a server that only the list of another process of the node contains.
func (r *Registry) Add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreateEntry(name)
}

// Effective returns a server in the state that the Balancer receives. ok is false if no list of this process has
// contained the server.
func (r *Registry) Effective(name string) (server balancer.Server, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name]
	if e == nil || e.listed.ID == 0 {
		return balancer.Server{}, false
	}
	return e.effective(), true
}

// SuspensionOf returns the Suspension of a server, which is the same for the lifetime of its entry. It returns nil if
// the server is unknown or r is nil.
func (r *Registry) SuspensionOf(name string) *Suspension {
	if r == nil { // the node has no admin listener
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[name]; e != nil {
		return e.suspension
	}
	return nil
}

// SuspendedServers returns the sorted names of the suspended servers.
func (r *Registry) SuspendedServers() []string {
	return r.names(func(e *entry) bool { return e.suspension.Active() })
}

// ReadyServers returns the sorted names of the servers that the lists report as ready. Some may be suspended.
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

// evictRemoved bounds the memory of the Registry: it deletes servers that are removed and not suspended, starting with
// the one whose last change is the oldest. The lock must be held.
func (r *Registry) evictRemoved() {
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
	excess := min(len(removed), len(r.entries)-entriesAfterEviction)
	for _, name := range removed[:excess] {
		delete(r.entries, name)
	}
}
