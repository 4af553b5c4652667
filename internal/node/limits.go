package node

import (
	"olivebridge/internal/admin"
	"olivebridge/internal/handover"
	"olivebridge/internal/protocol"
	"olivebridge/internal/transport"
)

const (
	// reservedDescriptors is the number of descriptors outside the connection pools: 3 standard streams, 2 of the
	// network poller, the listeners for clients, operators and a successor, 2 links to other processes of the node, a
	// file that is being read, and on each listener one connection that is accepted but not yet counted. The remainder
	// covers connections that are no longer counted but are closed only a moment later.
	reservedDescriptors = 16
	// smallPoolDivisor bounds the pool of operators and the pool of excess clients in a process with few descriptors:
	// each pool has at most 1/smallPoolDivisor of the process's descriptors.
	smallPoolDivisor = 16
	// idleClientDivisor bounds idle client connections to 1/idleClientDivisor of the process's descriptors, well below
	// the limit of all client connections.
	idleClientDivisor = 4
	// minConns is the smallest number of connections that clients and servers each have, however few descriptors the
	// process may hold.
	minConns = 8
	// readAheadDivisor bounds the request bodies that are read ahead of their servers to 1/readAheadDivisor of the
	// process's memory.
	readAheadDivisor = 16
	// programMemory is the memory of a process without connections, in bytes.
	programMemory = 12 << 20
	// messageMemoryDivisor bounds the bytes of requests and responses to 1/messageMemoryDivisor of the process's memory
	// beyond programMemory. The rest is for connections, goroutines and garbage.
	messageMemoryDivisor = 5
	// minMessageMemory is the memory for the bytes of requests and responses, in bytes, however little a process may use.
	minMessageMemory = 2 << 20
	// localAnswersPerCore is the number of requests a second for each core that the node answers by itself, over all
	// connections that send more of them than one may: about a fifth of a core.
	localAnswersPerCore = 2000
	// endedCallDivisor bounds the ids of ended calls that must not run twice to 1/endedCallDivisor of the process's
	// memory.
	endedCallDivisor = 48
)

// descriptorBudget divides the file descriptors of a process into separate pools by purpose. Requests to discovery
// above all, and operators' commands, must succeed even if client and server connections have used up their pools.
type descriptorBudget struct {
	// discovery is the number of descriptors for concurrent requests to discovery, each on its own connection.
	discovery int
	// operators is the number of descriptors for connections of operators.
	operators int
	// excessClients is the number of descriptors for client connections above the limit, whose calls are rejected.
	excessClients int
	// clients is the number of descriptors for client connections within the limit.
	clients int
	// servers is the number of descriptors for connections to servers, which carry attempts and health checks.
	servers int
}

// divideDescriptors divides a process's share of the node's descriptors among their purposes. share is above 0 and at
// most 1.
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
		MaxOpen:      budget.clients,
		MaxIdle:      int(float64(c.Sockets) * share / idleClientDivisor),
		MaxOverflow:  budget.excessClients,
		MaxReadAhead: int64(float64(c.MemoryMB<<20) * share / readAheadDivisor),

		MaxLocalAnswers: c.Cores * localAnswersPerCore,
	}
}

// messageMemory returns the memory for the bytes of requests and responses.
func messageMemory(c *protocol.Config, share float64) int64 {
	beyondProgram := int64(float64(c.MemoryMB<<20)*share) - programMemory
	return max(beyondProgram/messageMemoryDivisor, minMessageMemory)
}

// maxEndedCallBytes returns the memory for the ids of ended calls that must not run twice.
func maxEndedCallBytes(c *protocol.Config, share float64) int64 {
	return int64(float64(c.MemoryMB<<20) * share / endedCallDivisor)
}

func (n *Node) upstreamConfig(c *protocol.Config, share float64) transport.UpstreamConfig {
	return transport.UpstreamConfig{
		ConnectTimeout:    c.ConnectTimeout,
		ServerIdleTimeout: c.IdleTimeout,
		DrainGrace:        c.Settings.DrainGrace,
		MaxConns:          divideDescriptors(c, share).servers,
		Memory:            n.memory,
		Dial:              n.options.Dial,
		Log:               n.log,
	}
}

func (n *Node) limitAdmin(c *protocol.Config, share float64) {
	if n.admin != nil {
		n.admin.SetMaxConnections(divideDescriptors(c, share).operators)
	}
}

// applyLimits applies this process's share of the node's limits. It is called when the number of the node's processes
// or the configuration changes.
func (n *Node) applyLimits() { n.applyLimitsOf(n.processes.count()) }

// applyLimitsOf applies the share of one of a number of processes.
func (n *Node) applyLimitsOf(processes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	share := handover.ResourceShare(processes)
	n.transport.Configure(n.upstreamConfig(n.config, share))
	n.memory.SetLimit(messageMemory(n.config, share))
	n.frontend.SetClientLimits(clientLimits(n.config, share))
	n.limitAdmin(n.config, share)
	n.router.SetMaxEndedCallBytes(maxEndedCallBytes(n.config, share))
	if n.options.ApplyLimits != nil {
		n.options.ApplyLimits(n.config, share)
	}
}
