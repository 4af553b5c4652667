package live

import (
	"fmt"

	"olivebridge/internal/lab/world"
	"olivebridge/internal/lab/world/client"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// build creates all parts of a run. Only discovery, the peers without Late and the
// front are running afterwards.
func (r *Run) build() error {
	s, c := r.script, &r.script.World
	r.net.Seed = s.Seed
	for _, n := range c.Nodes {
		r.net.AddNode(n.Name)
	}
	r.placeHosts()
	observer := worldObserver{run: r}
	var err error
	if r.registry, err = registry.New(c.Discovery, c.Peers, registry.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer,
	}); err != nil {
		return err
	}
	r.discovery = c.Discovery.Addr
	for _, p := range c.Peers {
		one := &peerHost{run: r, c: p, Peer: peer.New(p, peer.Env{
			Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer, Classes: c.Classes, Registrar: r.registry,
			Attempts: r.checker,
		})}
		r.peers = append(r.peers, one)
		if p.Late {
			continue
		}
		if one.started = true; one.Peer.Start(true) != nil {
			return fmt.Errorf("peer %s did not start", p.Name)
		}
	}
	r.front = client.NewFront(c.Front, c.Nodes, client.FrontEnv{Loop: r.loop, Fabric: r.net, Seed: s.Seed})
	env := client.Env{
		Loop: r.loop, Fabric: r.net, Seed: s.Seed, Observer: observer, Classes: c.Classes, Tenants: c.Tenants,
		Front: r.front, Contract: c.Contract, OnRequestEnd: r.reporter.request, OnResponse: r.checker.checkResponse,
	}
	for _, one := range c.Clients {
		r.crowds = append(r.crowds, client.New(one, env))
	}
	for _, n := range c.Nodes {
		r.nodes = append(r.nodes, &instance{run: r, c: n, listenAddr: r.net.Resolve(n.Name + nodePort)})
	}
	return nil
}

// placeHosts assigns an address to each host and records its zone.
func (r *Run) placeHosts() {
	c := &r.script.World
	put := func(host, zone string) {
		r.zones[host] = zone
		r.net.Place(host)
	}
	for _, n := range c.Nodes {
		put(n.Name, n.Zone)
	}
	for _, p := range c.Peers {
		put(hostOf(p), p.Zone)
	}
	for _, addr := range []string{c.Discovery.Addr, c.Discovery.Spare} {
		put(addr[:len(addr)-len(portOf(addr))], c.Zones[0])
	}
}

// hostOf returns the host on which a peer runs.
func hostOf(p world.Peer) string {
	if p.Host != "" {
		return p.Host
	}
	return p.Name
}
