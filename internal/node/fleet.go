package node

import (
	"fmt"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// Fleet is the node's membership in a fleet. The two processes of a node share one membership, which moves from one to
// the other during an upgrade. All methods except Join return well before the timeout after which the other process
// stops waiting for a result.
type Fleet interface {
	// Join acquires the node's membership for this process. If wait is set, Join returns no error: it retries in the
	// background until it has the membership, since the node's other process may still hold it.
	Join(wait bool) error
	// Release releases the membership to the node's other process without notifying other nodes.
	Release()
	// AnnounceLeave notifies the other nodes that this node is shutting down. It does nothing if this process does not
	// hold the membership.
	AnnounceLeave()
	// Leave notifies the other nodes that this node has shut down, and ends the membership.
	Leave()
	// Close ends the membership without notifying other nodes, as a crash does.
	Close()
	// AdmissionControl returns the admission control by the fleet's quotas; nil: the fleet has no quotas.
	AdmissionControl() routing.AdmissionControl
	// IdempotencyStore returns the store of calls with an idempotency key; nil: the fleet has no store.
	IdempotencyStore() transport.IdempotencyStore
	// SubsetSelector returns the selector of the servers that this node uses in a large endpoint list; nil: it uses all.
	SubsetSelector() routing.SubsetSelector
	// SetServerControl gives the fleet control of the node's servers. It is called before the node accepts clients, and
	// only if the node has an admin listener.
	SetServerControl(ServerControl)
	// Execute executes an operator's command for the whole fleet, given as its words, and returns the reply.
	Execute(words []string) (string, error)
	// Reload applies the settings that may change in a running node. On an error none of them has changed.
	Reload(c *protocol.Config) error
	// Status returns this node's view of the fleet as text for operators.
	Status() string
	// Counters returns the fleet's counters as text for operators.
	Counters() string
}

// joinFleet acquires the node's membership once this process accepts clients. A process with a predecessor does not
// wait for the membership, which the predecessor may still hold.
func (n *Node) joinFleet() error {
	if n.options.Fleet == nil {
		return nil
	}
	if err := n.options.Fleet.Join(n.processes.predecessorLink() != nil); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// rejoinFleet acquires the membership again after the successor that held it has ended.
func (n *Node) rejoinFleet() {
	if n.options.Fleet != nil {
		_ = n.options.Fleet.Join(true) // with wait set, Join returns no error
	}
}

// releaseFleet releases the membership to the successor, which accepts clients now.
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

// fleetStatus returns the fleet's part of the node's status; "": the node belongs to no fleet.
func (n *Node) fleetStatus() string {
	if n.options.Fleet == nil {
		return ""
	}
	return "; fleet: " + n.options.Fleet.Status()
}
