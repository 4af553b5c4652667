package member

import "time"

const (
	// claimSettleDelay is the time after which a claim to a name is settled if another member is present. It is counted
	// from the start of the agent and again from each conflict.
	claimSettleDelay = 5 * time.Second
	// broadcastTimeout limits the wait for memberlist to send a change of this member to other members.
	broadcastTimeout = 500 * time.Millisecond
)

// updateClaim settles the claim to the node's name after claimSettleDelay, clears the predecessor flag after
// predecessorGracePeriod, and sends either change to other members.
func (a *agent) updateClaim(now, began time.Time) {
	if a.expirePredecessor(now, began) {
		a.service.apply(a.selfAlive())
		a.advertiseSelf()
	}
	if a.settleClaim(now, began) {
		a.advertiseSelf()
	}
}

// expirePredecessor clears the predecessor flag once predecessorGracePeriod has passed, and reports whether this call
// cleared it.
func (a *agent) expirePredecessor(now, began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.predecessor || now.Sub(began) < predecessorGracePeriod {
		return false
	}
	a.predecessor = false
	return true
}

// settleClaim marks the claim to the name as settled once claimSettleDelay has passed, and reports whether this call
// did so. A node that is leaving or sees no other member does not settle its claim.
func (a *agent) settleClaim(now, began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled || a.leaving || now.Sub(began) < claimSettleDelay || now.Sub(a.lastConflict) < claimSettleDelay {
		return false
	}
	if a.list.NumMembers() <= 1 {
		return false
	}
	a.settled = true
	return true
}

// selfAlive returns the EventAlive that describes this member.
func (a *agent) selfAlive() Event {
	m := a.service.self(a.incarnation)
	return Event{Kind: EventAlive, Name: m.Name, Zone: m.Zone, Addr: m.Addr, Incarnation: m.Incarnation}
}

// advertiseSelf sends this member's changed metadata to other members in the background.
func (a *agent) advertiseSelf() {
	a.tasks.Go(func() {
		_ = a.list.UpdateNode(broadcastTimeout) // a timeout means that some members have not received it yet
	})
}

// announceLeaving notifies other members that a planned shutdown of this node has begun.
func (a *agent) announceLeaving() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	event := a.selfAlive()
	event.Leaving = true
	a.service.apply(event)
	a.advertiseSelf()
}

// announceLeft notifies other members that this node has left.
func (a *agent) announceLeft() {
	_ = a.list.Leave(broadcastTimeout) // after a timeout, members not notified detect it by probes
}
