package live

import (
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/lab/world/peer"
	"olivebridge/internal/lab/world/registry"
)

// A Run is the target of its script's faults.
var _ fault.Target = (*Run)(nil)

// Peer implements fault.Target.
func (r *Run) Peer(name string) fault.Peer { return r.peer(name) }

// peer returns the named peer, or nil.
func (r *Run) peer(name string) *peerHost {
	for _, p := range r.peers {
		if p.c.Name == name {
			return p
		}
	}
	return nil
}

// Node implements fault.Target.
func (r *Run) Node(name string) fault.Node { return r.node(name) }

// node returns the named node, or nil.
func (r *Run) node(name string) *instance {
	for _, n := range r.nodes {
		if n.c.Name == name {
			return n
		}
	}
	return nil
}

// Crowd implements fault.Target.
func (r *Run) Crowd(name string) fault.Crowd {
	for i, c := range r.script.World.Clients {
		if c.Name == name {
			return r.crowds[i]
		}
	}
	return nil
}

// Discovery implements fault.Target.
func (r *Run) Discovery() fault.Discovery { return movableDiscovery{r.registry, r} }

// Network implements fault.Target.
func (r *Run) Network() fault.Network { return r.net }

// Zone implements fault.Target.
func (r *Run) Zone(host string) string { return r.zones[host] }

// movableDiscovery is the registry as a fault target. Its Move updates Run.discovery,
// the address in the nodes' configuration files.
type movableDiscovery struct {
	*registry.Registry
	run *Run
}

// Move implements fault.Discovery.
func (m movableDiscovery) Move() string {
	m.run.discovery = m.Registry.Move()
	return m.run.discovery
}

// peerHost is a peer together with its host.
type peerHost struct {
	*peer.Peer
	run      *Run
	c        world.Peer
	started  bool // its process has run at least once
	draining bool
}

// Start implements fault.Peer. The process starts cold.
func (s *peerHost) Start() {
	s.started, s.draining = true, false
	if err := s.Peer.Start(false); err != nil {
		s.run.fail("%v", err)
	}
}

// Kill implements fault.Peer. It also cuts the connections of the process.
func (s *peerHost) Kill() {
	if !s.Down() {
		s.Peer.Kill()
		s.run.net.Kill(hostOf(s.c))
	}
}

// Drain implements fault.Peer.
func (s *peerHost) Drain(rejectAfter, exitAfter time.Duration) {
	s.draining = !s.Down()
	s.Peer.Drain(rejectAfter, exitAfter)
}
