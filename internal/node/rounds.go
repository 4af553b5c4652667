package node

import (
	"olivebridge/internal/admin"
)

// FleetDesk is what a fleet does with this node's servers on operators' word, in all processes of the node.
type ServerControl struct{ n *Node }

// Suspend keeps a server out of use, also one that no list has named yet.
func (d ServerControl) Suspend(server string) error {
	d.n.router.AddKnownServer(server)
	_, err := d.n.both(admin.Command{Name: admin.Suspend, ServerID: server})
	return err
}

// Restore puts it back.
func (d ServerControl) Restore(server string) error {
	_, err := d.n.both(admin.Command{Name: admin.Restore, ServerID: server})
	return err
}

// Suspended are those that are out at this node, for whatever reason.
func (d ServerControl) Suspended() []string { return d.n.servers.SuspendedServers() }

// Busy is how many tries this process has open at a server.
func (d ServerControl) Busy(server string) int { return d.n.router.AttemptsInFlight(server) }

// Listed are the servers that take new work, and Known reports whether one was ever listed.
func (d ServerControl) Listed() []string { return d.n.servers.ReadyServers() }

// Known reports whether a list has ever named a server.
func (d ServerControl) Known(server string) bool {
	_, known := d.n.servers.Effective(server)
	return known
}

// operate lets the fleet have its desk, where operators have a door: before there are clients.
func (n *Node) operate() {
	if n.parts.Fleet != nil && n.servers != nil {
		n.parts.Fleet.Operate(ServerControl{n})
	}
}
