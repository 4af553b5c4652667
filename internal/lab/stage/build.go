package stage

import (
	"strings"
	"time"

	"olivebridge/internal/lab/fact"
	"olivebridge/internal/lab/network"
	"olivebridge/internal/lab/rules"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// build makes everything of a run; nothing has begun yet but discovery, the
// warm peers and the front.
func (r *run) build() error {
	s, c := r.script, &r.script.World
	r.judge = rules.New(rules.Config{
		Contract: c.Contract, Classes: c.Classes, Nodes: names(c.Nodes, func(n int) string { return c.Nodes[n].Name }),
		Discovery: []string{c.Discovery.Addr, c.Discovery.Spare}, Peers: map[string]string{},
		Now: r.loop.Now, Slack: slack,
	})
	r.facts = facts{r.trace, r.judge}
	if r.options.Watch != nil {
		r.watch = &watch{run: r, to: r.options.Watch}
		r.facts = facts{r.trace, r.judge, r.watch}
	}
	r.net = network.New(r.loop, s.Seed, c.Net, taps{r.trace, r.judge})
	r.place()

	var err error
	if r.registry, err = registry.New(c.Discovery, c.Peers, registry.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Facts: r.facts,
	}); err != nil {
		return err
	}
	r.discovery = c.Discovery.Addr
	for i, p := range c.Peers {
		r.places[p.Name], r.hosts[p.Name] = i, hostOf(p)
		r.peers[p.Name] = peer.New(p, peer.Env{
			Loop: r.loop, Fabric: r.net, Seed: s.Seed, Facts: r.facts, Classes: c.Classes, Listed: r.registry,
		})
	}
	if err := r.startWarm(); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		r.nodes = append(r.nodes, &instance{run: r, c: n})
	}
	r.front = client.NewFront(c.Front, c.Nodes, client.FrontEnv{Loop: r.loop, Fabric: r.net, Seed: s.Seed})
	env := client.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Facts: r.facts, Classes: c.Classes, Tenants: c.Tenants,
		Front: r.front, Contract: c.Contract,
	}
	if r.watch != nil {
		env.Ended = r.watch.to.Request
	}
	for _, one := range c.Clients {
		r.crowds = append(r.crowds, client.New(one, env))
	}
	for _, one := range c.Rogues {
		r.rogues = append(r.rogues, client.NewRogue(one, env))
	}
	return nil
}

// place puts every machine where it stands.
func (r *run) place() {
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
	for _, one := range c.Rogues {
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

// facts lets the trace and the judge both hear what the world tells.
type facts []fact.Witness

func (f facts) each(tell func(fact.Witness)) {
	for _, one := range f {
		tell(one)
	}
}

// PeerStarted and the methods below implement fact.Witness.
func (f facts) PeerStarted(peer, addr string, cold bool) {
	f.each(func(w fact.Witness) { w.PeerStarted(peer, addr, cold) })
}

// PeerStopped implements fact.Witness.
func (f facts) PeerStopped(peer string) { f.each(func(w fact.Witness) { w.PeerStopped(peer) }) }

// PeerWork implements fact.Witness.
func (f facts) PeerWork(peer, call string, work, capacity float64) {
	f.each(func(w fact.Witness) { w.PeerWork(peer, call, work, capacity) })
}

// Listed implements fact.Witness.
func (f facts) Listed(version int64, peer, addr, state string, started time.Duration) {
	f.each(func(w fact.Witness) { w.Listed(version, peer, addr, state, started) })
}

// Reach implements fact.Witness.
func (f facts) Reach(node, addr string, served bool) {
	f.each(func(w fact.Witness) { w.Reach(node, addr, served) })
}

// Bad implements fact.Witness.
func (f facts) Bad(conn, why string, within time.Duration) {
	f.each(func(w fact.Witness) { w.Bad(conn, why, within) })
}

// NodeStarted implements fact.Witness.
func (f facts) NodeStarted(node string, version int64) {
	f.each(func(w fact.Witness) { w.NodeStarted(node, version) })
}

// NodeKilled implements fact.Witness.
func (f facts) NodeKilled(node string) { f.each(func(w fact.Witness) { w.NodeKilled(node) }) }

// NodeOperated implements fact.Witness.
func (f facts) NodeOperated(node, call, peer string) {
	f.each(func(w fact.Witness) { w.NodeOperated(node, call, peer) })
}

// NodeTold implements fact.Witness.
func (f facts) NodeTold(node, signal, discovery string) {
	f.each(func(w fact.Witness) { w.NodeTold(node, signal, discovery) })
}
