// Package registry models the platform's single discovery service. It learns of
// changes in the peers' processes after a delay, lists the peers, lets nodes
// watch the list, serves all calls one at a time, and fails in every way in
// which real discovery services fail.
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

// Env holds the dependencies of a Registry.
type Env struct {
	Loop     *loop.Loop
	Fabric   link.Fabric
	Seed     uint64
	Observer event.Observer
}

// Registry is the discovery service.
type Registry struct {
	config world.Discovery
	env    Env

	// The listed state, and the changes that are not listed yet.
	history      *history
	records      map[string]*peerRecord // by peer name; never ranged over, since map order is random
	heldUpdates  []func()               // changes that became due while blindFaults was above 0, in order
	blindFaults  int                    // number of active faults that keep all changes from being listed
	versionDraws *rand.Rand             // increments between versions
	moveDraws    *rand.Rand             // outcomes of Move

	// The listener, the connections and their calls.
	addr       string
	listener   link.Listener // nil while downFaults is above 0
	downFaults int           // number of active Down faults
	failing    bool          // the last state reported to Observer.DiscoveryReachable was unreachable
	conns      []*conn       // oldest first
	queue      []*call       // calls that wait to be served
	serving    bool          // a call is being served
	watches    []*call       // calls that wait for a change

	delayFactors, broken, stalled, refused, garbled figure.ActiveFaults
}

// New returns a discovery service that listens on c.Addr and lists no peer yet.
// It returns an error if two peers have the same name or the address is taken.
func New(c world.Discovery, peers []world.Peer, e Env) (*Registry, error) {
	r := &Registry{
		config: c, env: e, addr: c.Addr, records: map[string]*peerRecord{},
		versionDraws: figure.Stream(e.Seed, "registry versions"), moveDraws: figure.Stream(e.Seed, "registry moves"),
	}
	r.history = newHistory(minFirstVersion + r.versionDraws.Int64N(minFirstVersion))
	for _, p := range peers {
		if r.records[p.Name] != nil {
			return nil, fmt.Errorf("discovery: peer %q: named twice", p.Name)
		}
		r.records[p.Name] = &peerRecord{peer: p, draws: figure.Stream(e.Seed, "registry "+p.Name)}
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

// Version returns the version of the current list.
func (r *Registry) Version() int64 { return r.history.version }

// Limits on the age of a stale list.
const (
	maxStaleAge     = 12 * time.Second
	maxStaleChanges = 4 // maximum number of latest changes that are left out whatever their age
)

// ConfiguredList returns ConfiguredListFor without the mapping of addresses for a host.
func (r *Registry) ConfiguredList(stale bool) []byte { return r.ConfiguredListFor("", stale) }

// ConfiguredListFor returns the JSON of the server list that is written into the
// configuration of a node on the given host, with addresses as they are seen from
// that host. A stale list is up to 12 s old and misses at least one change: for a
// node that starts together with the run, it misses the peers that were listed last.
func (r *Registry) ConfiguredListFor(host string, stale bool) []byte {
	b := r.history
	n := len(b.changes)
	if stale {
		now := r.env.Loop.Now()
		draws := figure.Stream(r.env.Seed, fmt.Sprintf("registry stale %d %d", b.version, now/time.Second))
		oldest := now - figure.Seconds(figure.Uniform(draws, 2, maxStaleAge.Seconds()))
		n -= 1 + draws.IntN(maxStaleChanges)
		for n > b.initialCount && b.changes[n-1].at > oldest {
			n--
		}
		n = max(n, (b.initialCount+1)/2) // a node cannot start with an empty list
	}
	l := b.list(n)
	r.mapAddresses(host, l.Servers)
	return l.json()
}

// mapAddresses replaces the addresses of a list by those that reach the peers from host.
func (r *Registry) mapAddresses(host string, list []entry) {
	for i := range list {
		list[i].Addr = link.MapAddress(r.env.Fabric, host, list[i].Addr)
	}
}
