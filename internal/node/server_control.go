package node

import (
	"olivebridge/internal/admin"
)

// ServerControl is what a fleet does with this node's servers for operators, in all processes of the node.
type ServerControl struct {
	node *Node
}

// Suspend keeps a server out of use, also one that no endpoint list has named yet.
func (c ServerControl) Suspend(server string) error {
	c.node.router.AddUnlistedServer(server)
	_, err := c.node.executeInAllProcesses(admin.Command{Name: admin.Suspend, ServerID: server})
	return err
}

// Restore puts a server back into use.
func (c ServerControl) Restore(server string) error {
	_, err := c.node.executeInAllProcesses(admin.Command{Name: admin.Restore, ServerID: server})
	return err
}

// Suspended returns the servers that are suspended at this node, for whatever reason.
func (c ServerControl) Suspended() []string { return c.node.servers.SuspendedServers() }

// Busy returns how many attempts this process has in flight at a server.
func (c ServerControl) Busy(server string) int { return c.node.router.AttemptsInFlight(server) }

// Listed returns the servers that are ready by the endpoint list; some may be suspended.
func (c ServerControl) Listed() []string { return c.node.servers.ReadyServers() }

// Known reports whether this process remembers a listing of the server.
func (c ServerControl) Known(server string) bool {
	_, known := c.node.servers.Effective(server)
	return known
}

// attachServerControl gives the fleet control of the servers, where the node has an admin listener.
func (n *Node) attachServerControl() {
	if n.options.Fleet != nil && n.servers != nil {
		n.options.Fleet.SetServerControl(ServerControl{n})
	}
}
