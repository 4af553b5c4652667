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

// The run is what the faults of its script act on.

// Peer implements fault.Target.
func (r *run) Peer(name string) fault.Peer { return server{r.peers[name], r} }

// Node implements fault.Target.
func (r *run) Node(name string) fault.Node {
	for _, n := range r.nodes {
		if n.c.Name == name {
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
func (r *run) Discovery() fault.Discovery { return mover{r.registry, r} }

// Network implements fault.Target.
func (r *run) Network() fault.Network { return ways{r.net, r} }

// Zone implements fault.Target.
func (r *run) Zone(host string) string { return r.zones[host] }

// server is a peer with its machine.
type server struct {
	*peer.Peer
	run *run
}

// Start implements fault.Peer: the process starts, cold.
func (s server) Start() {
	if err := s.Peer.Start(false); err != nil {
		s.run.fail("crash", "%v", err)
	}
}

// Kill implements fault.Peer: the process dies, and its connections with it.
func (s server) Kill() {
	if s.Down() {
		return
	}
	s.Peer.Kill()
	s.run.net.Kill(s.run.hosts[s.Name()])
}

// mover is discovery, whose place the nodes' configuration files name.
type mover struct {
	*registry.Registry
	run *run
}

// Move implements fault.Discovery.
func (m mover) Move() string {
	m.run.discovery = m.Registry.Move()
	return m.run.discovery
}

// ways is the network, whose partitions the judge hears of where they lie between
// nodes and discovery.
type ways struct {
	*network.Net
	run *run
}

// Cut implements fault.Network.
func (w ways) Cut(a, b func(host string) bool) (heal func()) {
	mend := w.Net.Cut(a, b)
	w.run.reach()
	return func() {
		mend()
		w.run.reach()
	}
}

// reach tells which nodes are cut off from discovery, as far as that has changed.
func (r *run) reach() {
	d := r.script.World.Discovery
	for _, n := range r.script.World.Nodes {
		for _, addr := range []string{d.Addr, d.Spare} {
			host, _, _ := strings.Cut(addr, ":")
			way, cut := [2]string{n.Name, addr}, r.net.Partitioned(n.Name, host)
			if cut != r.parted[way] {
				r.parted[way] = cut
				r.observer.DiscoveryReachable(n.Name, addr, !cut)
			}
		}
	}
}

// Start implements fault.Node: a start with a list that is some changes old, as
// a restarted process has it.
func (i *instance) Start() { i.start(true) }

// Kill implements fault.Node.
func (i *instance) Kill() { i.kill() }

// Down implements fault.Node.
func (i *instance) Down() bool { return i.live == nil }

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

// startWarm starts the peers that are there when the run begins.
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
