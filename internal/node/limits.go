package node

import (
	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

const (
	// reservedDescriptors are held whatever comes: the three standard ones, the poller's two, the listeners of clients,
	// operators and a successor, two links to other processes of the node, a file that is read, and one accepted but not
	// yet counted on each listener. Some are left for those that are closed a moment after they are counted.
	reservedDescriptors = 16
	// smallPoolDivisor bounds what operators and clients in excess have each, where there are few descriptors.
	smallPoolDivisor = 16
	// idleClientDivisor keeps idle client connections well below what clients may hold.
	idleClientDivisor = 4
	// minConns is how many connections clients and servers have each, however few descriptors there are.
	minConns = 8
)

// descriptorBudget divides the descriptors that a process of the node may hold. What has to come through when all else
// is full, requests to discovery above all, has its part to itself: no client and no server takes from it.
type descriptorBudget struct {
	// discovery is for concurrent requests to discovery, each on a connection of its own.
	discovery int
	// operators is for connections of operators.
	operators int
	// excessClients is for client connections beyond those that may stay, accepted to be rejected.
	excessClients int
	// clients is for client connections that may stay.
	clients int
	// servers is for attempts and health checks.
	servers int
}

// divideDescriptors divides this process's share of the node's descriptors.
func divideDescriptors(c *protocol.Config, share float64) descriptorBudget {
	all := int(float64(c.Sockets) * share)
	smallPool := max(all/smallPoolDivisor, 1)
	budget := descriptorBudget{
		discovery:     transport.MaxWatchRequests,
		operators:     min(admin.MaxConnections, smallPool),
		excessClients: min(transport.DefaultOverflow, smallPool),
	}
	rest := all - reservedDescriptors - budget.discovery - budget.operators - budget.excessClients
	budget.clients = max(rest/2, minConns)
	budget.servers = budget.clients
	return budget
}

func clientLimits(c *protocol.Config, share float64) transport.ClientLimits {
	budget := divideDescriptors(c, share)
	return transport.ClientLimits{
		MaxOpen:     budget.clients,
		MaxIdle:     int(float64(c.Sockets) * share / idleClientDivisor),
		MaxOverflow: budget.excessClients,
	}
}

func (n *Node) upstreamConfig(c *protocol.Config, share float64) transport.UpstreamConfig {
	return transport.UpstreamConfig{
		ConnectTimeout:    c.ConnectTimeout,
		ServerIdleTimeout: c.IdleTimeout,
		DrainGrace:        c.Settings.DrainGrace,
		MaxConns:          divideDescriptors(c, share).servers,
		Dial:              n.options.Dial,
		Log:               n.log,
	}
}

func (n *Node) limitAdmin(c *protocol.Config, share float64) {
	if n.admin != nil {
		n.admin.SetMaxConnections(divideDescriptors(c, share).operators)
	}
}

// applyLimits keeps this process to its share of the node's limits.
func (n *Node) applyLimits() {
	n.mu.Lock()
	defer n.mu.Unlock()
	share := handover.ResourceShare(n.processes.count())
	n.transport.Configure(n.upstreamConfig(n.config, share))
	n.frontend.SetClientLimits(clientLimits(n.config, share))
	n.limitAdmin(n.config, share)
	if n.options.ApplyLimits != nil {
		n.options.ApplyLimits(n.config, share)
	}
}
