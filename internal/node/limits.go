package node

import (
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

// spareDescriptors are kept for discovery, the log and the runtime.
const spareDescriptors = 64

// descriptors is how many each side may hold, clients and peers, of this
// process's part of the node.
func descriptors(c *protocol.Config, part float64) int {
	return max(int(float64(c.Sockets-spareDescriptors)*part/2), 8)
}

// clientBounds keeps idle client connections well under the third of the
// descriptors that clients may hold.
func clientBounds(c *protocol.Config, part float64) transport.ClientBounds {
	return transport.ClientBounds{Open: descriptors(c, part), Idle: int(float64(c.Sockets) * part / 4)}
}

func (n *Node) carrierConfig(c *protocol.Config, part float64) transport.CarrierConfig {
	return transport.CarrierConfig{ConnectTimeout: c.ConnectTimeout, IdleClose: c.IdleClose,
		DrainGrace: c.Settings.DrainGrace, MaxConns: descriptors(c, part),
		Dial: n.parts.Dial, Log: n.log}
}
