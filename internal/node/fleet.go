package node

import (
	"fmt"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// Fleet is the node's place among the nodes of its fleet. Two processes of one node are one member: the place goes from
// one to the other while an upgrade lasts. All but Take return in well under the time that the other process waits for
// an answer.
type Fleet interface {
	// Take takes the node's place in this process. With patience the place is waited for, in the background: the
	// node's other process may hold it still.
	Take(patience bool) error
	// Yield frees the place for the node's other process, and tells no other node of it.
	Yield()
	// Leaving tells the others that this node ends as planned; Left that it has ended. Without the place they do nothing.
	Leaving()
	Left()
	// Close gives the place up and tells nobody, as a death does.
	Close()
	// Gate is what the fleet's budgets let through; nil: there are none.
	Gate() routing.AdmissionControl
	// Keeper keeps calls beyond the loss of this node; nil: none are kept.
	Keeper() transport.IdempotencyStore
	// Operate gives the fleet the node's desk, before there are clients; only where operators have a door. Do carries out an
	// operator's call that is for the whole fleet.
	Operate(ServerControl)
	Do(words []string) (string, error)
	// Chooser says with which servers of a large group this node works; nil: with all.
	Chooser() routing.SubsetSelector
	// Reload reads what may change in a running node. What cannot hold as a whole changes nothing.
	Reload(c *protocol.Config) error
	// Status and Counters are for people: what is believed, and what was counted.
	Status() string
	Counters() string
}

// join takes the node's place in its fleet once this process has clients.
func (n *Node) join() error {
	if n.parts.Fleet == nil {
		return nil
	}
	n.company.mu.Lock()
	predecessor := n.company.predecessor != nil
	n.company.mu.Unlock()
	if err := n.parts.Fleet.Take(predecessor); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// yield gives the place to the successor, which takes clients now.
func (n *Node) yield() {
	if n.parts.Fleet != nil {
		n.parts.Fleet.Yield()
	}
}

// resume takes the place back from a successor that has died.
func (n *Node) resume() {
	if n.parts.Fleet != nil {
		n.parts.Fleet.Take(true) // with patience nothing fails
	}
}

func (n *Node) leaving() {
	if n.parts.Fleet != nil {
		n.parts.Fleet.Leaving()
	}
}

func (n *Node) left() {
	if n.parts.Fleet != nil {
		n.parts.Fleet.Left()
	}
}

func (n *Node) lost() {
	if n.parts.Fleet != nil {
		n.parts.Fleet.Close()
	}
}

// standing is the fleet's part of the node's status.
func (n *Node) standing() string {
	if n.parts.Fleet == nil {
		return ""
	}
	return "; fleet: " + n.parts.Fleet.Status()
}
