package stage

import (
	"strings"

	"olivebridge/internal/admin"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/network"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// run implements fault.Target.

// Peer implements fault.Target.
func (r *run) Peer(name string) fault.Peer { return server{r.peers[name], r} }

// Node implements fault.Target.
func (r *run) Node(name string) fault.Node {
	for _, n := range r.nodes {
		if n.conf.Name == name {
			return n
		}
	}
	return nil
}

// Crowd implements fault.Target.
func (r *run) Crowd(name string) fault.Crowd {
	for i, c := range r.script.World.Clients {
		if c.Name == name {
			return r.crowds[i]
		}
	}
	return nil
}

// Discovery implements fault.Target.
func (r *run) Discovery() fault.Discovery { return movableDiscovery{r.registry, r} }

// Network implements fault.Target.
func (r *run) Network() fault.Network { return observedNetwork{r.net, r} }

// Zone implements fault.Target.
func (r *run) Zone(host string) string { return r.zones[host] }

// server is a peer and its host.
type server struct {
	*peer.Peer
	run *run
}

// Start implements fault.Peer: it starts the process cold.
func (s server) Start() {
	if err := s.Peer.Start(false); err != nil {
		s.run.addViolation("crash", "%v", err)
	}
}

// Kill implements fault.Peer: it kills the process and closes its connections.
func (s server) Kill() {
	if s.Down() {
		return
	}
	s.Peer.Kill()
	s.run.net.Kill(s.run.hosts[s.Name()])
}

// movableDiscovery records the address of discovery for the nodes' configuration files.
type movableDiscovery struct {
	*registry.Registry
	run *run
}

// Move implements fault.Discovery.
func (m movableDiscovery) Move() string {
	m.run.discovery = m.Registry.Move()
	return m.run.discovery
}

// observedNetwork reports partitions between nodes and discovery to the observers.
type observedNetwork struct {
	*network.Net
	run *run
}

// Cut implements fault.Network.
func (w observedNetwork) Cut(a, b func(host string) bool) (heal func()) {
	healNetwork := w.Net.Cut(a, b)
	w.run.updateReachable()
	return func() {
		healNetwork()
		w.run.updateReachable()
	}
}

// updateReachable reports to the observers each node whose connectivity to an address of discovery has changed.
func (r *run) updateReachable() {
	d := r.script.World.Discovery
	for _, n := range r.script.World.Nodes {
		for _, addr := range []string{d.Addr, d.Spare} {
			host, _, _ := strings.Cut(addr, ":")
			pair, cut := [2]string{n.Name, addr}, r.net.Partitioned(n.Name, host)
			if cut != r.partitioned[pair] {
				r.partitioned[pair] = cut
				r.observer.DiscoveryReachable(n.Name, addr, !cut)
			}
		}
	}
}

// Start implements fault.Node: it starts the node with an endpoint list that is some versions old, as a restarted
// process has it.
func (i *instance) Start() { i.start(true) }

// Kill implements fault.Node.
func (i *instance) Kill() { i.kill() }

// Down implements fault.Node.
func (i *instance) Down() bool { return i.process == nil }

// Term implements fault.Node.
func (i *instance) Term() { i.term() }

// Operate implements fault.Node.
func (i *instance) Operate(call, peer string) { i.operate(admin.Command{Name: call, ServerID: peer}) }

// Hup implements fault.Node.
func (i *instance) Hup(discovery string) {
	if discovery == "" {
		discovery = i.run.discovery
	}
	i.reload(discovery)
}

// startWarm starts, warm, the peers that run from the beginning.
func (r *run) startWarm() error {
	for _, p := range r.script.World.Peers {
		if !p.Late {
			if err := r.peers[p.Name].Start(true); err != nil {
				return err
			}
		}
	}
	return nil
}

func hostOf(p world.Peer) string {
	if p.Host != "" {
		return p.Host
	}
	return p.Name
}
