package member

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"olivebridge/internal/fleet/mutant"
)

const (
	// MaxMembers bounds a view, those that are gone included. Fleets here have 300 nodes at most; each member costs about
	// 300 bytes in a view and as much in the library.
	MaxMembers = 1024
	// remember is for how long one that is gone stays in the view: longer than any lease, window or hand-over of the
	// parts that stand on it.
	remember = 10 * time.Minute
	// doubt is after how long a suspicion that was neither confirmed nor heard to be taken back is over: above what the
	// library needs to confirm one in the largest fleet.
	doubt = 15 * time.Second
	// hold is for how long an end is doubted that does not fit what is known: of a member that was heard just now, or of
	// which there was no suspicion. One that was cut off has given all others up, and tells them so when it is back. Who
	// starts again meets news of its last incarnation, which the library takes for news of this one until it is answered:
	// within two of its gossip intervals.
	hold = 1200 * time.Millisecond
)

// Kind is what was heard of a member.
type Kind int

// The kinds.
const (
	Heard     Kind = iota // it lives, as the event describes it
	Suspected             // it is silent
	Cleared               // it has answered a suspicion
	Died                  // it was given up
	Departed              // it said that it is gone
)

// Event is one thing heard of a member.
type Event struct {
	Kind        Kind
	Name        string
	Zone        string
	Addr        string
	Incarnation Incarnation // of what is not Heard it may be missing: then it is of whatever incarnation is known
	Leaving     bool
	Predecessor bool
	// Fresh says of an end that the member itself was heard just before, by this process.
	Fresh bool
}

// doubted is an end that is not believed yet.
type doubted struct {
	since time.Duration
	state State
}

// Book turns what is heard into views. It is the one place that decides what is believed. Its methods take the time
// since any fixed origin, which must not run backwards.
type Book struct {
	self    string
	number  uint64
	members map[string]*Member
	refused int // members that found the view full
	older   int // events of incarnations that are over
	doubts  map[string]doubted
	view    *View
	mutant  func(string) bool // see package mutant
}

// NewBook makes the book of a node, which is in its view from the start.
func NewBook(self Member, now time.Duration) *Book {
	b := &Book{self: self.Name, members: map[string]*Member{}, doubts: map[string]doubted{}, mutant: mutant.Active}
	self.State, self.Since = Alive, now
	b.members[self.Name] = &self
	b.publish()
	return b
}

// View is the newest one.
func (b *Book) View() *View { return b.view }

// Refused counts members for which the view had no room, Older what was heard of incarnations that are over.
func (b *Book) Refused() int { return b.refused }

// Older counts what was heard of incarnations that are over.
func (b *Book) Older() int { return b.older }

func (b *Book) publish() {
	b.number++
	v := &View{Number: b.number, Self: b.self, Members: make([]Member, 0, len(b.members))}
	for _, m := range b.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	b.view = v
}

// Apply takes in an event, and reports whether there is a new view.
func (b *Book) Apply(now time.Duration, e Event) bool {
	m := b.members[e.Name]
	if m == nil {
		if e.Kind != Heard || !b.room(now) {
			return false
		}
		m = &Member{Name: e.Name, Since: now}
		b.members[e.Name] = m
	} else if over(m, e) {
		b.older++
		return false
	}
	before := *m
	b.believe(m, now, e)
	if *m == before {
		return false
	}
	b.publish()
	return true
}

// over reports whether an event is of an incarnation of which a later one is known.
func over(m *Member, e Event) bool {
	if e.Kind != Heard && e.Incarnation.Home != "" { // what is said of one incarnation says nothing of another
		return e.Incarnation != m.Incarnation
	}
	return e.Incarnation.Home != "" && e.Incarnation.Home == m.Incarnation.Home && e.Incarnation.Number < m.Incarnation.Number
}

// believe changes a member by what was heard of it.
func (b *Book) believe(m *Member, now time.Duration, e Event) {
	state := m.State
	switch e.Kind {
	case Heard:
		delete(b.doubts, m.Name)
		state = Alive
		if e.Leaving {
			state = Leaving
		}
		again := m.Incarnation != e.Incarnation
		m.Zone, m.Addr, m.Predecessor = e.Zone, e.Addr, e.Predecessor
		if m.Incarnation.Home == "" || !b.mutant("old-incarnation") {
			m.Incarnation = e.Incarnation
		}
		if again {
			m.Since = now
		}
	case Suspected:
		if state == Alive { // one that leaves is silent soon anyway
			state = Suspect
		}
	case Cleared:
		if _, waits := b.doubts[m.Name]; state == Suspect && !waits {
			state = Alive
		}
	case Died:
		state = b.end(m, now, Dead, !e.Fresh && m.State != Alive)
	case Departed: // one that has not said that it would may have said so in its last incarnation
		state = b.end(m, now, Left, m.State == Leaving || !e.Fresh)
	}
	if m.Name == b.self && (!state.Here() || state == Suspect) {
		delete(b.doubts, m.Name)
		return // whoever reads this lives
	}
	if state != m.State {
		m.State, m.Since = state, now
	}
}

// end is the state of a member of which an end was heard: it is believed at once where it fits what is known.
func (b *Book) end(m *Member, now time.Duration, to State, fits bool) State {
	switch {
	case !m.State.Here(), to == Dead && b.mutant("dead-kept"):
		return m.State
	case to == Left && b.mutant("leave-told-as-death"):
		return Dead
	case fits:
		delete(b.doubts, m.Name)
		return to
	}
	if _, waits := b.doubts[m.Name]; !waits {
		b.doubts[m.Name] = doubted{now, to}
	}
	return Suspect
}

// room makes room for one more, of those that have been gone for the longest.
func (b *Book) room(now time.Duration) bool {
	if len(b.members) < MaxMembers {
		return true
	}
	var oldest *Member
	for _, m := range b.members {
		if !m.State.Here() && (oldest == nil || cmp.Or(cmp.Compare(m.Since, oldest.Since), cmp.Compare(m.Name, oldest.Name)) < 0) {
			oldest = m
		}
	}
	if oldest == nil {
		b.refused++
		return false
	}
	delete(b.members, oldest.Name)
	return true
}

// Tick forgets those that have been gone for long, and suspicions of which nothing came. It reports whether there is a
// new view.
func (b *Book) Tick(now time.Duration) bool {
	changed := false
	for name, m := range b.members {
		switch {
		case !m.State.Here() && now-m.Since > remember:
			delete(b.members, name)
			changed = true
		case m.State.Here() && b.doubts[name].state != "" && now-b.doubts[name].since > hold:
			m.State, m.Since = b.doubts[name].state, now
			delete(b.doubts, name)
			changed = true
		case m.State == Suspect && b.doubts[name].state == "" && now-m.Since > doubt:
			m.State, m.Since = Alive, now
			changed = true
		}
	}
	if changed {
		b.publish()
	}
	return changed
}

// Claim is what one process says of its right to a name.
type Claim struct {
	Incarnation
	Settled bool // it has held the name for a while with others, and nobody objected
}

// Prevails reports whether claim a keeps a name that b claims, too. Of one home the later incarnation does: the other is a
// process that the node has left behind. Of strangers one that is settled does, so that a newcomer with a mistaken name
// pushes nobody out; else the lesser home, so that both come to one answer without a word more.
func Prevails(a, b Claim) bool {
	switch {
	case a.Home == b.Home:
		return a.Number >= b.Number
	case a.Settled != b.Settled:
		return a.Settled
	}
	return a.Home < b.Home
}

// Ring is the members that take on work, each at its place on a ring that all nodes with this view see alike.
func (v *View) Ring() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Alive || m.State == Suspect {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	return names
}

// Successor is who comes after a name on the ring; the name need not be in the view any more. Empty: nobody else is there.
func (v *View) Successor(name string) string {
	ring := v.Ring()
	place := xxhash.Sum64String(name)
	for _, n := range ring {
		if n != name && xxhash.Sum64String(n) >= place {
			return n
		}
	}
	for _, n := range ring {
		if n != name {
			return n
		}
	}
	return ""
}

// Side is what a process may conclude of a split from its own view.
type Side struct {
	Here    int  // members that may still act, this one included
	Known   int  // and those that are dead, as far as known: one that left as planned is no loss
	Most    bool // more than half of Known is Here: no other part can say that
	Alone   bool // nobody else is Here, though others are known
	Suspect int  // of Here, those that are silent
}

// Side looks at who is gone. A death and a cut look alike from here, so it counts both.
func (v *View) Side() Side {
	var s Side
	for _, m := range v.Members {
		switch {
		case m.State.Here():
			s.Here++
			s.Known++
			if m.State == Suspect {
				s.Suspect++
			}
		case m.State == Dead:
			s.Known++
		}
	}
	s.Most = 2*s.Here > s.Known
	s.Alone = s.Here == 1 && s.Known > 1
	return s
}
