package stage

import (
	"strings"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/network"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// build creates all parts of a run. Only discovery, the warm peers and the front are started; nodes and clients are
// not.
func (r *run) build() error {
	s, c := r.script, &r.script.World
	r.judge = rules.New(rules.Config{
		Contract: c.Contract, Classes: c.Classes, Nodes: names(c.Nodes, func(n int) string { return c.Nodes[n].Name }),
		Discovery: []string{c.Discovery.Addr, c.Discovery.Spare}, Peers: map[string]string{},
		Now: r.loop.Now, Slack: slack,
	})
	r.observer = observers{r.trace, r.judge}
	if r.options.Watch != nil {
		r.watch = &sampler{run: r, sink: r.options.Watch}
		r.observer = observers{r.trace, r.judge, r.watch}
	}
	r.net = network.New(r.loop, s.Seed, c.Net, taps{r.trace, r.judge})
	r.placeHosts()

	var err error
	if r.registry, err = registry.New(c.Discovery, c.Peers, registry.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: r.observer,
	}); err != nil {
		return err
	}
	r.discovery = c.Discovery.Addr
	for i, p := range c.Peers {
		r.peerIndex[p.Name], r.hosts[p.Name] = i, hostOf(p)
		r.peers[p.Name] = peer.New(p, peer.Env{
			Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: r.observer, Classes: c.Classes, Registrar: r.registry,
		})
	}
	if err := r.startWarm(); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		r.nodes = append(r.nodes, &instance{run: r, conf: n})
	}
	r.front = client.NewFront(c.Front, c.Nodes, client.FrontEnv{Loop: r.loop, Fabric: r.net, Seed: s.Seed})
	env := client.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: r.observer, Classes: c.Classes, Tenants: c.Tenants,
		Front: r.front, Contract: c.Contract,
	}
	if r.watch != nil {
		env.OnRequestEnd = r.watch.sink.Request
	}
	for _, one := range c.Clients {
		r.crowds = append(r.crowds, client.New(one, env))
	}
	for _, one := range c.Malformed {
		r.rogues = append(r.rogues, client.NewMalformedClient(one, env))
	}
	return nil
}

// placeHosts assigns every host to its zone.
func (r *run) placeHosts() {
	c := &r.script.World
	put := func(host, zone string) {
		r.zones[host] = zone
		r.net.Place(host, zone, false)
	}
	for _, addr := range []string{c.Discovery.Addr, c.Discovery.Spare} {
		host, _, _ := strings.Cut(addr, ":")
		put(host, c.Zones[0])
	}
	for _, n := range c.Nodes {
		put(n.Name, n.Zone)
	}
	for _, p := range c.Peers {
		put(hostOf(p), p.Zone)
	}
	r.net.Place(client.FrontHost, c.Zones[0], true)
	for _, one := range c.Clients {
		r.net.Place(one.Name, one.Zone, true)
	}
	for _, one := range c.Malformed {
		r.net.Place(one.Name, one.Zone, true)
	}
}

func names[T any](list []T, name func(int) string) []string {
	var all []string
	for i := range list {
		all = append(all, name(i))
	}
	return all
}

// observers forwards every event to the trace, the judge and, if set, the sampler, in this order.
type observers []event.Observer

func (f observers) each(notify func(event.Observer)) {
	for _, observer := range f {
		notify(observer)
	}
}

// PeerStarted and the methods below implement event.Observer.
func (f observers) PeerStarted(peer, addr string, cold bool) {
	f.each(func(w event.Observer) { w.PeerStarted(peer, addr, cold) })
}

// PeerStopped implements event.Observer.
func (f observers) PeerStopped(peer string) { f.each(func(w event.Observer) { w.PeerStopped(peer) }) }

// PeerAttempt implements event.Observer.
func (f observers) PeerAttempt(peer, call string, work, capacity float64) {
	f.each(func(w event.Observer) { w.PeerAttempt(peer, call, work, capacity) })
}

// PeerMisframed implements event.Observer.
func (f observers) PeerMisframed(peer, call string) {
	f.each(func(w event.Observer) { w.PeerMisframed(peer, call) })
}

// PeerAnswersInParts implements event.Observer.
func (f observers) PeerAnswersInParts(peer, call string) {
	f.each(func(w event.Observer) { w.PeerAnswersInParts(peer, call) })
}

// PeerListed implements event.Observer.
func (f observers) PeerListed(version int64, peer, addr, state string, started time.Duration) {
	f.each(func(w event.Observer) { w.PeerListed(version, peer, addr, state, started) })
}

// DiscoveryReachable implements event.Observer.
func (f observers) DiscoveryReachable(node, addr string, served bool) {
	f.each(func(w event.Observer) { w.DiscoveryReachable(node, addr, served) })
}

// MalformedInput implements event.Observer.
func (f observers) MalformedInput(conn, why string, within time.Duration) {
	f.each(func(w event.Observer) { w.MalformedInput(conn, why, within) })
}

// NodeStarted implements event.Observer.
func (f observers) NodeStarted(node string, version int64) {
	f.each(func(w event.Observer) { w.NodeStarted(node, version) })
}

// NodeKilled implements event.Observer.
func (f observers) NodeKilled(node string) { f.each(func(w event.Observer) { w.NodeKilled(node) }) }

// NodeCommanded implements event.Observer.
func (f observers) NodeCommanded(node, call, peer string) {
	f.each(func(w event.Observer) { w.NodeCommanded(node, call, peer) })
}

// NodeSignaled implements event.Observer.
func (f observers) NodeSignaled(node, signal, discovery string) {
	f.each(func(w event.Observer) { w.NodeSignaled(node, signal, discovery) })
}
