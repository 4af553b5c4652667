// Package maintenance decides which servers operators keep out of use. It
// stands between the lists of the upstream group and the decisions: a suspended
// server is shown to them as draining, whatever lists say, and once put back as
// one that has just started. It does no I/O and reads no clock.
package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"olivebridge/balancer"
)

// most bounds the servers remembered that are neither listed nor suspended. At
// one replacement a second it is over an hour of them.
const most = 4096

// Named is a server with the id that operators call it by.
type NamedServer struct {
	balancer.Server
	Name, Addr string
}

// Register knows every server that was ever listed. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	servers map[string]*entry
	turn    uint64 // grows with each change of an entry
	version int64  // of the last list
}

type entry struct {
	addr      string
	said      balancer.Server // as the upstream group has it; Gone if it lists it no more
	ban       *Suspension
	since     balancer.Time // when it was suspended
	notBefore balancer.Time // it counts as started no earlier; 0: as listed
	touched   uint64
}

// Ban is a server's mark. Whoever is about to send the first byte of something
// new asks it, since the decisions may not have heard of a ban yet.
type Suspension struct{ on atomic.Bool }

// Holds reports whether nothing new may go to the server.
func (b *Suspension) Active() bool { return b != nil && b.on.Load() }

// New makes an empty Register.
func New() *Registry { return &Registry{servers: map[string]*entry{}} }

// UnknownError says that no list has ever named a server.
type UnknownServerError string

func (e UnknownServerError) Error() string {
	return fmt.Sprintf("no list has ever named server %q", string(e))
}

// Learn takes a list in and gives what the decisions are to be shown in its
// place. What a whole list does not name is gone.
func (r *Registry) Update(kind balancer.UpdateKind, version int64, list []NamedServer) []balancer.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	if kind != balancer.UpdateDelta {
		named := make(map[string]bool, len(list))
		for _, s := range list {
			named[s.Name] = true
		}
		for name, e := range r.servers {
			if !named[name] {
				e.said.State = balancer.Removed
			}
		}
	}
	shown := make([]balancer.Server, 0, len(list))
	for _, s := range list {
		e := r.of(s.Name)
		if e.said = s.Server; s.Addr != "" {
			e.addr = s.Addr
		}
		r.touch(e)
		shown = append(shown, e.shown())
	}
	r.forget()
	return shown
}

func (r *Registry) of(name string) *entry {
	e := r.servers[name]
	if e == nil {
		e = &entry{ban: new(Suspension)}
		r.servers[name] = e
	}
	return e
}

func (r *Registry) touch(e *entry) {
	r.turn++
	e.touched = r.turn
}

// shown is a server as the decisions are to see it. One that was suspended has
// been restarted meanwhile: it counts as cold from when it was put back, unless
// a list had told of the restart by then.
func (e *entry) shown() balancer.Server {
	s := e.said
	if e.ban.Active() {
		s.State = balancer.Draining // binds, also where gone alone does not
		return s
	}
	s.StartedAt = max(s.StartedAt, e.notBefore)
	return s
}

// Suspend keeps a server out of use from its return on. Said again it changes nothing.
func (r *Registry) Suspend(name string, now balancer.Time) error { return r.set(name, true, now) }

// Restore puts a server back, however often it was suspended.
func (r *Registry) Restore(name string, now balancer.Time) error { return r.set(name, false, now) }

func (r *Registry) set(name string, banned bool, now balancer.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[name]
	if e == nil {
		return UnknownServerError(name)
	}
	r.touch(e)
	switch was := e.ban.on.Swap(banned); {
	case banned && !was:
		e.since = now
	case was && !banned && e.said.StartedAt <= e.since:
		e.notBefore = now
	}
	return nil
}

// Know takes a server for listed, as another process of the node has seen it.
func (r *Registry) Add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(name)
}

// Shown is what the decisions are to be shown of a server that was once listed.
func (r *Registry) Effective(name string) (s balancer.Server, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.servers[name]
	if e == nil || e.said.ID == 0 {
		return s, false
	}
	return e.shown(), true
}

// BanOf is the mark of a server that was once listed; nil: it never was.
func (r *Registry) SuspensionOf(name string) *Suspension {
	if r == nil { // a node without a door
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.servers[name]; e != nil {
		return e.ban
	}
	return nil
}

// Suspended are the servers that are kept out of use now, in order.
func (r *Registry) SuspendedServers() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.servers {
		if e.ban.Active() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// forget bounds the memory: of what is gone and not suspended, the longest
// unheard of goes first. The lock is held.
func (r *Registry) forget() {
	if len(r.servers) <= most {
		return
	}
	var idle []string
	for name, e := range r.servers {
		if e.said.State == balancer.Removed && !e.ban.Active() {
			idle = append(idle, name)
		}
	}
	slices.SortFunc(idle, func(a, b string) int { return cmp.Compare(r.servers[a].touched, r.servers[b].touched) })
	for _, name := range idle[:min(len(idle), len(r.servers)-most*7/8)] { // some more, so that it is seldom done
		delete(r.servers, name)
	}
}

// Listed are the servers that take new work, those included that operators keep out of use.
func (r *Registry) ReadyServers() (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.servers {
		if e.said.State == balancer.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
