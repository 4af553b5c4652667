package node

import (
	"olivebridge/internal/admin"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// ownDescriptors are held whatever comes: the three standard ones, the poller's two, the listeners of clients,
// operators and a successor, two links to other processes of the node, a file that is read, and one accepted but
// not yet counted on each listener. Some are left for those that are closed a moment after they are counted.
const ownDescriptors = 16

// shares is how a process of the node divides the descriptors that it may hold. What has to come through when all
// else is full, calls to discovery above all, has its part to itself: no client's and no peer's takes from it.
type shares struct {
	discovery int // calls side by side, each on a connection of its own
	callers   int // at the operators' door
	crowd     int // clients' beyond those that may stay, taken to be turned away
	side      int // clients' that may stay; as many again to peers: tries and probes
}

// share divides this process's part of the node's descriptors. Callers and the crowd have less where there are few.
func share(c *protocol.Config, part float64) shares {
	all := int(float64(c.Sockets) * part)
	few := max(all/16, 1)
	s := shares{discovery: transport.MaxWatchRequests, callers: min(admin.MaxConnections, few), crowd: min(transport.DefaultOverflow, few)}
	s.side = max((all-ownDescriptors-s.discovery-s.callers-s.crowd)/2, 8)
	return s
}

// clientBounds keeps idle client connections well under what clients may hold.
func clientBounds(c *protocol.Config, part float64) transport.ClientLimits {
	s := share(c, part)
	return transport.ClientLimits{MaxOpen: s.side, MaxIdle: int(float64(c.Sockets) * part / 4), MaxOverflow: s.crowd}
}

func (n *Node) carrierConfig(c *protocol.Config, part float64) transport.UpstreamConfig {
	return transport.UpstreamConfig{ConnectTimeout: c.ConnectTimeout, ServerIdleTimeout: c.IdleTimeout,
		DrainGrace: c.Settings.DrainGrace, MaxConns: share(c, part).side,
		Dial: n.parts.Dial, Log: n.log}
}

// boundDoor keeps the operators' door to its callers.
func (n *Node) boundDoor(c *protocol.Config, part float64) {
	if n.door != nil {
		n.door.SetMaxConnections(share(c, part).callers)
	}
}
