package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// MaxMembers bounds a view, tombstones included. Fleets have 300 nodes at most; a member costs about 300 bytes in
	// a view and as much in memberlist.
	MaxMembers = 1024
	// tombstoneTime is how long a member that is gone stays in the view: longer than any lease, window or hand-over of
	// the packages that rely on it.
	tombstoneTime = 10 * time.Minute
	// suspicionTimeout is after how long a suspicion that was neither confirmed nor refuted is dropped: above what
	// memberlist needs to confirm one in the largest fleet.
	suspicionTimeout = 15 * time.Second
	// departureConfirmDelay is how long an end is held back that contradicts what is known: of a member that was heard
	// just now, or that nobody suspected. A node that was cut off has declared all others dead and gossips that when it
	// is back, and a node that restarts meets news of its last incarnation; both are refuted within two gossip
	// intervals.
	departureConfirmDelay = 1200 * time.Millisecond
)

// unconfirmedDeparture is an end that is not believed yet.
type unconfirmedDeparture struct {
	since time.Duration
	state State // Dead or Left
}

// Table is the membership table: it turns events into views, and alone decides what is believed of a member. Its
// methods take the time since any fixed origin, which must not run backwards. It is not safe for concurrent use.
type Table struct {
	self                  string // name of this node
	viewNumber            uint64 // of the newest view
	members               map[string]*Member
	rejectedMembers       int
	staleEvents           int
	unconfirmedDepartures map[string]unconfirmedDeparture // by member
	view                  *View
	mutant                func(string) bool // see package mutant
}

// NewTable makes the table of a node, which is in its own view from the start.
func NewTable(self Member, now time.Duration) *Table {
	t := &Table{
		self:                  self.Name,
		members:               map[string]*Member{},
		unconfirmedDepartures: map[string]unconfirmedDeparture{},
		mutant:                mutant.Active,
	}
	self.setState(Alive, now)
	t.members[self.Name] = &self
	t.publish()
	return t
}

// View returns the newest view.
func (t *Table) View() *View { return t.view }

// RejectedMembers counts members for which the view had no room.
func (t *Table) RejectedMembers() int { return t.rejectedMembers }

// StaleEvents counts events of incarnations that are over.
func (t *Table) StaleEvents() int { return t.staleEvents }

func (t *Table) publish() {
	t.viewNumber++
	v := &View{Number: t.viewNumber, Self: t.self, Members: make([]Member, 0, len(t.members))}
	for _, m := range t.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.view = v
}

// Apply takes an event, and reports whether there is a new view.
func (t *Table) Apply(now time.Duration, event Event) bool {
	m := t.members[event.Name]
	switch {
	case m != nil && isStaleEvent(m, event):
		t.staleEvents++
		return false
	case m == nil && (event.Kind != EventAlive || !t.makeRoom()):
		return false
	case m == nil:
		m = &Member{Name: event.Name, Since: now}
		t.members[event.Name] = m
	}
	before := *m
	t.update(m, now, event)
	if *m == before {
		return false
	}
	t.publish()
	return true
}

// isStaleEvent reports whether an event is of an incarnation of which a later one is known.
func isStaleEvent(m *Member, event Event) bool {
	if event.Incarnation.Home == "" {
		return false
	}
	if event.Kind != EventAlive { // what is learned of one incarnation says nothing of another
		return event.Incarnation != m.Incarnation
	}
	return event.Incarnation.Home == m.Incarnation.Home && event.Incarnation.Number < m.Incarnation.Number
}

// update changes a member by an event.
func (t *Table) update(m *Member, now time.Duration, event Event) {
	if event.Kind == EventAlive {
		delete(t.unconfirmedDepartures, m.Name)
		t.updateDescription(m, now, event)
	}
	state := t.nextState(m, now, event)
	if m.Name == t.self && (!state.Present() || state == Suspect) {
		delete(t.unconfirmedDepartures, m.Name)
		return // this process is alive, whatever others believe
	}
	if state != m.State {
		m.setState(state, now)
	}
}

// updateDescription takes a member's description from an event.
func (t *Table) updateDescription(m *Member, now time.Duration, event Event) {
	restarted := m.Incarnation != event.Incarnation
	m.Zone = event.Zone
	m.Addr = event.Addr
	m.Predecessor = event.Predecessor
	if m.Incarnation.Home == "" || !t.mutant("old-incarnation") {
		m.Incarnation = event.Incarnation
	}
	if restarted {
		m.Since = now
	}
}

// nextState returns the state of a member after an event.
func (t *Table) nextState(m *Member, now time.Duration, event Event) State {
	switch event.Kind {
	case EventAlive:
		if event.Leaving {
			return Leaving
		}
		return Alive
	case EventSuspect:
		if m.State == Alive { // a member that leaves is silent soon anyway
			return Suspect
		}
	case EventRefuted:
		_, unconfirmed := t.unconfirmedDepartures[m.Name]
		if m.State == Suspect && !unconfirmed {
			return Alive
		}
	case EventDead:
		expected := !event.ReceivedRecently && m.State != Alive
		return t.stateAfterDeparture(m, now, Dead, expected)
	case EventLeft: // a member that has not announced it may have done so in its last incarnation
		expected := m.State == Leaving || !event.ReceivedRecently
		return t.stateAfterDeparture(m, now, Left, expected)
	}
	return m.State
}

// stateAfterDeparture returns the state of a member that was said to be gone. An end that was expected is believed at
// once, any other only after departureConfirmDelay.
func (t *Table) stateAfterDeparture(m *Member, now time.Duration, departure State, expected bool) State {
	switch {
	case !m.State.Present(), departure == Dead && t.mutant("dead-kept"):
		return m.State
	case departure == Left && t.mutant("leave-told-as-death"):
		return Dead
	case expected:
		delete(t.unconfirmedDepartures, m.Name)
		return departure
	}
	if _, unconfirmed := t.unconfirmedDepartures[m.Name]; !unconfirmed {
		t.unconfirmedDepartures[m.Name] = unconfirmedDeparture{since: now, state: departure}
	}
	return Suspect
}

// makeRoom makes room for one more member by dropping the oldest tombstone. It reports false if there is none.
func (t *Table) makeRoom() bool {
	if len(t.members) < MaxMembers {
		return true
	}
	var oldest *Member
	for _, m := range t.members {
		if !m.State.Present() && (oldest == nil || compareLastChange(m, oldest) < 0) {
			oldest = m
		}
	}
	if oldest == nil {
		t.rejectedMembers++
		return false
	}
	delete(t.members, oldest.Name)
	return true
}

// compareLastChange orders members by the time of their last change, and then by name.
func compareLastChange(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Name, b.Name))
}

// Tick drops old tombstones, believes doubted ends whose time has come, and drops suspicions that came to nothing. It
// reports whether there is a new view.
func (t *Table) Tick(now time.Duration) bool {
	changed := false
	for name := range t.members {
		if t.expire(name, now) {
			changed = true
		}
	}
	if changed {
		t.publish()
	}
	return changed
}

// expire applies the passing of time to one member, and reports whether that changed it.
func (t *Table) expire(name string, now time.Duration) bool {
	m := t.members[name]
	departure, unconfirmed := t.unconfirmedDepartures[name]
	switch {
	case !m.State.Present() && now-m.Since > tombstoneTime:
		delete(t.members, name)
	case m.State.Present() && unconfirmed && now-departure.since > departureConfirmDelay:
		m.setState(departure.state, now)
		delete(t.unconfirmedDepartures, name)
	case m.State == Suspect && !unconfirmed && now-m.Since > suspicionTimeout:
		m.setState(Alive, now)
	default:
		return false
	}
	return true
}
