package member

import "time"

const (
	// claimSettleDelay is after how long among others, and without a conflict, a claim to a name is settled.
	claimSettleDelay = 5 * time.Second
	// broadcastTimeout is how long others may take to be told of a change of this member.
	broadcastTimeout = 500 * time.Millisecond
)

// updateClaim settles the claim to the node's name once its time has come, ends the time of the predecessor, and tells
// others.
func (a *agent) updateClaim(now, began time.Time) {
	if a.expirePredecessor(now, began) {
		a.service.apply(a.selfAlive())
		a.advertiseSelf()
	}
	if a.settleClaim(now, began) {
		a.advertiseSelf()
	}
}

// expirePredecessor reports whether the predecessor's time ends now.
func (a *agent) expirePredecessor(now, began time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.predecessor || now.Sub(began) < predecessorGracePeriod {
		return false
	}
	a.predecessor = false
	return true
}

// settleClaim reports whether the claim to the name settles now.
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

// selfAlive returns the event that describes this member.
func (a *agent) selfAlive() Event {
	m := a.service.self(a.incarnation)
	return Event{Kind: EventAlive, Name: m.Name, Zone: m.Zone, Addr: m.Addr, Incarnation: m.Incarnation}
}

// advertiseSelf has others told of a change of this member, without waiting for it.
func (a *agent) advertiseSelf() {
	a.tasks.Go(func() {
		_ = a.list.UpdateNode(broadcastTimeout) // a time-out says that not all have been told yet
	})
}

// announceLeaving tells others that this node is shutting down as planned.
func (a *agent) announceLeaving() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	event := a.selfAlive()
	event.Leaving = true
	a.service.apply(event)
	a.advertiseSelf()
}

// announceLeft tells others that this node has left.
func (a *agent) announceLeft() {
	_ = a.list.Leave(broadcastTimeout) // a time-out says that not all have been told; the rest find out
}
