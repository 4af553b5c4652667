package node

import (
	"fmt"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// Fleet is the node's membership in a fleet. Two processes of one node are one member: the membership goes from one to
// the other during an upgrade. All methods but Join return in well under the time that the other process waits for a
// result.
type Fleet interface {
	// Join takes the node's membership into this process. With wait an error is no failure: the membership is waited
	// for in the background, since the node's other process may still have it.
	Join(wait bool) error
	// Release frees the membership for the node's other process, and tells no other node of it.
	Release()
	// AnnounceLeave tells the other nodes that this one shuts down. Without the membership it does nothing.
	AnnounceLeave()
	// Leave tells the other nodes that this one has shut down, and gives the membership up.
	Leave()
	// Close gives the membership up and tells nobody, as a crash does.
	Close()
	// AdmissionControl returns the fleet's quotas; nil: there are none.
	AdmissionControl() routing.AdmissionControl
	// IdempotencyStore returns the store of calls with an idempotency key; nil: there is none.
	IdempotencyStore() transport.IdempotencyStore
	// SubsetSelector returns which servers of a large group this node works with; nil: with all.
	SubsetSelector() routing.SubsetSelector
	// SetServerControl gives the fleet control of the node's servers, before there are clients; only where the node has
	// an admin listener.
	SetServerControl(ServerControl)
	// Execute carries out an operator's command that is for the whole fleet.
	Execute(words []string) (string, error)
	// Reload reads what may change in a running node. What cannot hold as a whole changes nothing.
	Reload(c *protocol.Config) error
	// Status returns what is believed of the fleet, for operators.
	Status() string
	// Counters returns what was counted, for operators.
	Counters() string
}

// joinFleet takes the node's membership once this process has clients.
func (n *Node) joinFleet() error {
	if n.options.Fleet == nil {
		return nil
	}
	if err := n.options.Fleet.Join(n.processes.hasPredecessor()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// rejoinFleet takes the membership back from a successor that has died.
func (n *Node) rejoinFleet() {
	if n.options.Fleet != nil {
		_ = n.options.Fleet.Join(true) // which does not fail
	}
}

// releaseFleet gives the membership to the successor, which takes clients now.
func (n *Node) releaseFleet() {
	if n.options.Fleet != nil {
		n.options.Fleet.Release()
	}
}

func (n *Node) announceLeave() {
	if n.options.Fleet != nil {
		n.options.Fleet.AnnounceLeave()
	}
}

func (n *Node) leaveFleet() {
	if n.options.Fleet != nil {
		n.options.Fleet.Leave()
	}
}

func (n *Node) abandonFleet() {
	if n.options.Fleet != nil {
		n.options.Fleet.Close()
	}
}

// fleetStatus is the fleet's part of the node's status.
func (n *Node) fleetStatus() string {
	if n.options.Fleet == nil {
		return ""
	}
	return "; fleet: " + n.options.Fleet.Status()
}
