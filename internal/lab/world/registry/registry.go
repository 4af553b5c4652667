// Package registry models the one discovery service of a platform: it learns
// late what the peers' processes do, lists them, lets nodes watch its list,
// serves all calls in turn, and fails in every way that real ones do.
package registry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// Env is where a Registry lives.
type Env struct {
	Loop     *loop.Loop
	Fabric   link.Fabric
	Seed     uint64
	Observer event.Observer
}

// Registry is the discovery service.
type Registry struct {
	conf world.Discovery
	env  Env

	// What it knows, and what it does not know yet.
	book     *book
	subjects map[string]*subject // by name; never ranged over
	held     []func()            // news that came due while it was deaf
	deaf     int                 // faults that keep all news from it
	numbers  *rand.Rand          // steps of versions
	moves    *rand.Rand

	// Whom it serves.
	addr     string
	listener link.Listener // nil while it is down
	down     int
	failing  bool    // it was told that calls are not served
	conns    []*conn // the oldest first
	turns    []*call // that wait for their turn
	serving  bool    // a call has its turn
	watches  []*call // that wait for news

	slowness, broken, stalled, refused, garbled figure.ActiveFaults
}

// New makes a discovery service that listens at c.Addr and knows of none of the
// peers yet.
func New(c world.Discovery, peers []world.Peer, e Env) (*Registry, error) {
	r := &Registry{
		conf: c, env: e, addr: c.Addr, subjects: map[string]*subject{},
		numbers: figure.Stream(e.Seed, "registry versions"), moves: figure.Stream(e.Seed, "registry moves"),
	}
	r.book = newBook(firstVersion + r.numbers.Int64N(firstVersion))
	for _, p := range peers {
		if r.subjects[p.Name] != nil {
			return nil, fmt.Errorf("discovery: peer %q: named twice", p.Name)
		}
		r.subjects[p.Name] = &subject{peer: p, draws: figure.Stream(e.Seed, "registry "+p.Name)}
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Registry) listen() (err error) {
	if r.listener, err = r.env.Fabric.Listen(r.addr, r.accept); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// Version is that of the list as it is now.
func (r *Registry) Version() int64 { return r.book.version }

// How old a stale list may be.
const (
	staleTime    = 12 * time.Second
	staleChanges = 4
)

// Known is the list that a node's configuration carries, as KnownBy has it.
func (r *Registry) Known(stale bool) []byte { return r.KnownBy("", stale) }

// KnownBy is the list that the configuration of a node on that machine carries,
// with addresses as they are seen from there. A stale one is as it
// was up to 12 s ago, and at least one change ago; a node that starts along
// with the run misses the peers that were listed last.
func (r *Registry) KnownBy(by string, stale bool) []byte {
	b := r.book
	n := len(b.changes)
	if stale {
		now := r.env.Loop.Now()
		draws := figure.Stream(r.env.Seed, fmt.Sprintf("registry stale %d %d", b.version, now/time.Second))
		then := now - figure.Seconds(figure.Uniform(draws, 2, staleTime.Seconds()))
		n -= 1 + draws.IntN(staleChanges)
		for n > b.first && b.changes[n-1].at > then {
			n--
		}
		n = max(n, (b.first+1)/2) // of nobody a node could make nothing
	}
	l := b.list(n)
	r.seen(by, l.Servers)
	return l.json()
}

// seen puts the addresses of a list as they are seen from a machine.
func (r *Registry) seen(by string, list []entry) {
	for i := range list {
		list[i].Addr = link.MapAddress(r.env.Fabric, by, list[i].Addr)
	}
}
