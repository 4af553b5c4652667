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

// observe updates the suspicions from the messages about members in a packet, which was received or is about to be
// sent.
func (a *agent) observe(packet []byte, _ bool) {
	forEachSWIMMessage(packet, a.observeMessage)
}

// observeMessage updates the suspicions from one message, and ignores messages about this node.
func (a *agent) observeMessage(m swimMessage) {
	if m.Node == a.service.config.Name {
		return
	}
	kind, changed := a.trackSuspicion(m)
	if changed {
		a.service.apply(Event{Kind: kind, Name: m.Node})
	}
}

// trackSuspicion updates the agent's state from a message and returns the kind of event that follows from it, if any.
func (a *agent) trackSuspicion(m swimMessage) (kind EventKind, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.latestNumbers) > 2*MaxMembers { // drop names of nodes that no longer exist
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
	encoded, _ := json.Marshal(m) // strings, numbers and booleans always encode
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

// LocalState implements memberlist.Delegate. This package adds nothing to memberlist's full state exchanges.
func (a *agent) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (a *agent) MergeRemoteState([]byte, bool) {}

// NotifyAlive implements memberlist.AliveDelegate. It rejects and counts nodes that validateNode does not accept.
func (a *agent) NotifyAlive(node *memberlist.Node) error {
	err := a.validateNode(node)
	if err != nil {
		a.service.counters.rejected.Add(1)
	}
	return err
}

// validateNode returns an error for invalid metadata, an invalid name or a new node beyond MaxMembers.
func (a *agent) validateNode(node *memberlist.Node) error {
	if _, err := decodeMetadata(node.Meta); err != nil {
		return err
	}
	if node.Name == "" || len(node.Name) > maxNodeName {
		return errors.New("node name is missing or too long")
	}
	view := a.service.View()
	if _, known := view.Lookup(node.Name); !known && len(view.Present()) >= MaxMembers {
		return fmt.Errorf("the fleet already has %d members, which is the limit", MaxMembers)
	}
	return nil
}

// NotifyJoin implements memberlist.EventDelegate.
func (a *agent) NotifyJoin(node *memberlist.Node) { a.applyNode(node) }

// NotifyUpdate implements memberlist.EventDelegate.
func (a *agent) NotifyUpdate(node *memberlist.Node) { a.applyNode(node) }

// applyNode applies an EventAlive with memberlist's description of a member.
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

// NotifyLeave implements memberlist.EventDelegate. memberlist calls it for a member that has left and for one that was
// declared dead. If the message that caused the call was observed, it tells which; otherwise a member that announced a
// planned shutdown and was not suspected has left.
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

// NotifyConflict implements memberlist.ConflictDelegate. memberlist calls it when two addresses claim one name.
func (a *agent) NotifyConflict(existing, other *memberlist.Node) {
	if bytes.Equal(existing.Meta, other.Meta) {
		return // one member at a new address that some members do not know yet
	}
	a.service.counters.conflicts.Add(1)
	if existing.Name != a.service.config.Name {
		return // the two processes involved resolve the conflict
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

// recordConflict records the time of a conflict. It returns the claim of this process, and whether the last conflict is
// more than claimSettleDelay ago.
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
