package node

import (
	"olivebridge/internal/admin"
)

// ServerControl lets a fleet execute operators' commands on the servers of this node, in all of the node's processes.
type ServerControl struct {
	node *Node
}

// Suspend stops new requests to a server, also to one that no endpoint list has contained yet.
func (c ServerControl) Suspend(server string) error {
	c.node.router.AddUnlistedServer(server)
	_, err := c.node.executeInAllProcesses(admin.Command{Name: admin.Suspend, ServerID: server})
	return err
}

// Restore ends the suspension of a server.
func (c ServerControl) Restore(server string) error {
	_, err := c.node.executeInAllProcesses(admin.Command{Name: admin.Restore, ServerID: server})
	return err
}

// Suspended returns the names of the servers that are suspended at this node, by an operator or by the fleet.
func (c ServerControl) Suspended() []string { return c.node.servers.SuspendedServers() }

// Busy returns the number of attempts that this process has in flight to a server.
func (c ServerControl) Busy(server string) int { return c.node.router.AttemptsInFlight(server) }

// Listed returns the names of the servers that the endpoint list has as ready, including suspended ones.
func (c ServerControl) Listed() []string { return c.node.servers.ReadyServers() }

// Known reports whether an endpoint list of this process has contained the server, as far as the registry remembers.
func (c ServerControl) Known(server string) bool {
	_, known := c.node.servers.Effective(server)
	return known
}

// attachServerControl gives the fleet control of the node's servers if the node has an admin listener.
func (n *Node) attachServerControl() {
	if n.options.Fleet != nil && n.servers != nil {
		n.options.Fleet.SetServerControl(ServerControl{n})
	}
}
