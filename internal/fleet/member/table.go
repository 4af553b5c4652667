package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/mutant"
)

const (
	// MaxMembers is the maximum number of members in a view, tombstones included. Fleets have at most 300 nodes; a member
	// takes about 300 bytes in a view and as much in memberlist.
	MaxMembers = 1024
	// tombstoneTime is the time for which a member that is gone stays in the view. It exceeds every lease, window and
	// hand-over of the packages that rely on the view.
	tombstoneTime = 10 * time.Minute
	// suspicionTimeout is the time after which a suspicion is dropped that was neither confirmed nor refuted. It exceeds
	// the time that memberlist needs to confirm a suspicion in the largest fleet.
	suspicionTimeout = 15 * time.Second
	// departureConfirmDelay is the delay before a reported departure takes effect that contradicts the table: a packet or
	// frame of the member has just arrived, or the member was not suspected. A node that was cut off has declared all
	// others dead, and gossips this when it is connected again. A node that restarts receives gossip about its last
	// incarnation. Both reports are refuted within two gossip intervals.
	departureConfirmDelay = 1200 * time.Millisecond
)

// unconfirmedDeparture is a reported departure that has not taken effect yet.
type unconfirmedDeparture struct {
	since time.Duration
	state State // Dead or Left
}

// Table is the membership table. It turns events into views, and it alone determines the state of each member. Its
// methods take the time since an arbitrary fixed origin, which must not decrease. It is not safe for concurrent use.
type Table struct {
	self                  string // name of this node
	viewNumber            uint64 // number of the newest view
	members               map[string]*Member
	rejectedMembers       int
	staleEvents           int
	unconfirmedDepartures map[string]unconfirmedDeparture // by member
	view                  *View
	mutant                func(string) bool // reports whether a mutant is active, see package mutant
}

// NewTable returns the table of a node. The node is in its own view from the start.
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

// RejectedMembers returns the number of times that a new member was rejected because the view was full.
func (t *Table) RejectedMembers() int { return t.rejectedMembers }

// StaleEvents returns the number of events that were dropped because they concern a superseded incarnation.
func (t *Table) StaleEvents() int { return t.staleEvents }

// publish replaces the newest view with one of the current members.
func (t *Table) publish() {
	t.viewNumber++
	v := &View{Number: t.viewNumber, Self: t.self, Members: make([]Member, 0, len(t.members))}
	for _, m := range t.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.view = v
}

// Apply applies an event, and reports whether there is a new view.
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

// isStaleEvent reports whether an event concerns another incarnation than the one in the table, or, for EventAlive, an
// earlier one of the same home.
func isStaleEvent(m *Member, event Event) bool {
	if event.Incarnation.Home == "" {
		return false
	}
	if event.Kind != EventAlive { // a failure of one incarnation does not apply to another
		return event.Incarnation != m.Incarnation
	}
	return event.Incarnation.Home == m.Incarnation.Home && event.Incarnation.Number < m.Incarnation.Number
}

// update applies an event to a member.
func (t *Table) update(m *Member, now time.Duration, event Event) {
	if event.Kind == EventAlive {
		delete(t.unconfirmedDepartures, m.Name)
		t.updateDescription(m, now, event)
	}
	state := t.nextState(m, now, event)
	if m.Name == t.self && (!state.Present() || state == Suspect) {
		delete(t.unconfirmedDepartures, m.Name)
		return // this process is alive, whatever other members report
	}
	if state != m.State {
		m.setState(state, now)
	}
}

// updateDescription copies the description of a member from an event.
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
		if m.State == Alive { // a leaving member soon stops answering anyway
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
	case EventLeft: // without an announcement, its last incarnation may have left
		expected := m.State == Leaving || !event.ReceivedRecently
		return t.stateAfterDeparture(m, now, Left, expected)
	}
	return m.State
}

// stateAfterDeparture returns the state of a member that was reported as gone. An expected departure takes effect at
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

// makeRoom makes room for one more member, if necessary by dropping the oldest tombstone. It returns false if the table
// is full and has no tombstone.
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

// Tick drops old tombstones, applies the unconfirmed departures whose delay has passed, and drops suspicions that were
// not confirmed in time. It reports whether there is a new view.
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

// expire applies these timeouts to one member, and reports whether that changed the table.
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
