package member

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// observe takes what a packet says of members, on its way in or out.
func (a *agent) observe(packet []byte, _ bool) {
	forEachSWIMMessage(packet, a.observeMessage)
}

func (a *agent) observeMessage(m swimMessage) {
	if m.Node == a.service.config.Name {
		return
	}
	kind, changed := a.trackSuspicion(m)
	if changed {
		a.service.apply(Event{Kind: kind, Name: m.Node})
	}
}

// trackSuspicion takes a message into the agent's state, and returns the event that it makes, if any.
func (a *agent) trackSuspicion(m swimMessage) (kind EventKind, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.latestNumbers) > 2*MaxMembers { // names that nobody has any more
		clear(a.latestNumbers)
	}
	a.latestNumbers[m.Node] = max(a.latestNumbers[m.Node], m.Incarnation)
	number, suspected := a.suspectedNumbers[m.Node]
	switch m.kind {
	case suspectMessage:
		if !suspected || m.Incarnation > number {
			a.suspectedNumbers[m.Node] = m.Incarnation
			return EventSuspect, true
		}
	case aliveMessage:
		if suspected && m.Incarnation > number {
			delete(a.suspectedNumbers, m.Node)
			return EventRefuted, true
		}
	case deadMessage:
		a.announcedDepartures[m.Node] = m.From == m.Node
	}
	return 0, false
}

// NodeMeta implements memberlist.Delegate.
func (a *agent) NodeMeta(int) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := metadata{
		Zone:        a.service.config.Zone,
		Home:        a.incarnation.Home,
		Number:      a.incarnation.Number,
		Settled:     a.settled,
		Leaving:     a.leaving,
		Predecessor: a.predecessor,
	}
	encoded, _ := json.Marshal(m) // strings, numbers and booleans always can be
	return encoded
}

// NotifyMsg implements memberlist.Delegate.
func (a *agent) NotifyMsg(message []byte) {
	if a.service.config.OnMessage != nil {
		a.service.config.OnMessage(bytes.Clone(message))
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (a *agent) GetBroadcasts(overhead, limit int) [][]byte {
	return a.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: full state exchanges carry nothing of this package.
func (a *agent) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (a *agent) MergeRemoteState([]byte, bool) {}

// NotifyAlive implements memberlist.AliveDelegate: what cannot be a member of this fleet is rejected.
func (a *agent) NotifyAlive(node *memberlist.Node) error {
	err := a.validateNode(node)
	if err != nil {
		a.service.counters.rejected.Add(1)
	}
	return err
}

func (a *agent) validateNode(node *memberlist.Node) error {
	if _, err := decodeMetadata(node.Meta); err != nil {
		return err
	}
	if node.Name == "" || len(node.Name) > maxNodeName {
		return errors.New("no name")
	}
	view := a.service.View()
	if _, known := view.Lookup(node.Name); !known && len(view.Present()) >= MaxMembers {
		return fmt.Errorf("the fleet has %d members", MaxMembers)
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (a *agent) NotifyJoin(node *memberlist.Node) { a.applyNode(node) }

// NotifyUpdate implements memberlist.EventDelegate.
func (a *agent) NotifyUpdate(node *memberlist.Node) { a.applyNode(node) }

// applyNode takes a member as memberlist has it.
func (a *agent) applyNode(node *memberlist.Node) {
	m, err := decodeMetadata(node.Meta)
	if err != nil || node.Name == a.service.config.Name {
		return
	}
	a.mu.Lock()
	delete(a.announcedDepartures, node.Name)
	delete(a.suspectedNumbers, node.Name)
	a.mu.Unlock()
	a.service.apply(Event{
		Kind:        EventAlive,
		Name:        node.Name,
		Zone:        m.Zone,
		Addr:        addressOf(node),
		Incarnation: m.incarnation(),
		Leaving:     m.Leaving,
		Predecessor: m.Predecessor,
	})
}

// NotifyLeave implements memberlist.EventDelegate: a member has left, or was declared dead. Which of the two was
// observed in a message; where it came otherwise, a member that announced it and was never suspected has left.
func (a *agent) NotifyLeave(node *memberlist.Node) {
	if node.Name == a.service.config.Name {
		return
	}
	m, _ := decodeMetadata(node.Meta)
	a.mu.Lock()
	selfDeclared, observed := a.announcedDepartures[node.Name]
	_, suspected := a.suspectedNumbers[node.Name]
	delete(a.suspectedNumbers, node.Name)
	a.mu.Unlock()
	event := Event{Kind: EventDead, Name: node.Name, ReceivedRecently: a.transport.receivedRecently(node.Name)}
	announced := m.Leaving && !suspected
	if observed && selfDeclared || !observed && announced {
		event.Kind = EventLeft
	}
	a.service.apply(event)
}

// NotifyConflict implements memberlist.ConflictDelegate: two addresses claim one name.
func (a *agent) NotifyConflict(existing, other *memberlist.Node) {
	if bytes.Equal(existing.Meta, other.Meta) {
		return // one member at a new address, of which not all have been told yet
	}
	a.service.counters.conflicts.Add(1)
	if existing.Name != a.service.config.Name {
		return // the two processes settle it
	}
	m, err := decodeMetadata(other.Meta)
	if err != nil {
		return
	}
	own, first := a.recordConflict()
	if !Prevails(own, m.claim()) {
		a.service.concedeName(a, m.claim(), addressOf(other))
		return
	}
	if first && m.Home != a.incarnation.Home {
		a.service.config.Log.Error("fleet member", "reason", "stranger", "member", other.Name,
			"addr", addressOf(other), "life", m.incarnation().String())
		a.service.config.Record.Write("stranger", addressOf(other))
	}
}

// recordConflict returns this process's claim, and whether it is the first conflict for settleTime.
func (a *agent) recordConflict() (own Claim, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first = time.Since(a.lastConflict) > claimSettleDelay
	a.lastConflict = time.Now()
	return Claim{a.incarnation, a.settled}, first
}

func addressOf(node *memberlist.Node) string {
	return net.JoinHostPort(node.Addr.String(), strconv.Itoa(int(node.Port)))
}
