package node

import (
	"fmt"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// Fleet is the node's membership in a fleet. Two processes of one node are one member: the membership goes from one to
// the other during an upgrade. All methods but Take return in well under the time that the other process waits for a
// result.
type Fleet interface {
	// Take takes the node's membership in this process. With patience it is waited for, in the background: the node's
	// other process may still have it.
	Take(patience bool) error
	// Yield frees the membership for the node's other process, and tells no other node of it.
	Yield()
	// Leaving tells the other nodes that this one shuts down. Without the membership it does nothing.
	Leaving()
	// Left tells the other nodes that this one has shut down. Without the membership it does nothing.
	Left()
	// Close gives the membership up and tells nobody, as a crash does.
	Close()
	// Gate returns the fleet's budgets; nil: there are none.
	Gate() routing.AdmissionControl
	// Keeper returns the store of calls with an idempotency key; nil: there is none.
	Keeper() transport.IdempotencyStore
	// Chooser returns which servers of a large group this node works with; nil: with all.
	Chooser() routing.SubsetSelector
	// Operate gives the fleet control of the node's servers, before there are clients; only where the node has an admin
	// listener.
	Operate(ServerControl)
	// Do carries out an operator's command that is for the whole fleet.
	Do(words []string) (string, error)
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
	if err := n.options.Fleet.Take(n.processes.hasPredecessor()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// rejoinFleet takes the membership back from a successor that has died.
func (n *Node) rejoinFleet() {
	if n.options.Fleet != nil {
		_ = n.options.Fleet.Take(true) // with patience nothing fails
	}
}

// yieldFleet gives the membership to the successor, which takes clients now.
func (n *Node) yieldFleet() {
	if n.options.Fleet != nil {
		n.options.Fleet.Yield()
	}
}

func (n *Node) announceLeave() {
	if n.options.Fleet != nil {
		n.options.Fleet.Leaving()
	}
}

func (n *Node) leaveFleet() {
	if n.options.Fleet != nil {
		n.options.Fleet.Left()
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
