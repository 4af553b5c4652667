package member

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func incarnationNumber(n uint64) Incarnation { return Incarnation{"aa", n} }

func aliveEvent(name string, n uint64) Event {
	return Event{Kind: EventAlive, Name: name, Zone: "east", Addr: name + ":1", Incarnation: incarnationNumber(n)}
}

// applyEvents applies events to a table at intervals of a second, and returns the table's entry for n2.
func applyEvents(t *testing.T, events ...Event) Member {
	t.Helper()
	table := NewTable(Member{Name: "n1", Incarnation: incarnationNumber(1)}, 0)
	for i, e := range events {
		table.Apply(time.Duration(i+1)*second, e)
		table.Tick(time.Duration(i+1)*second + second/2)
	}
	table.Tick(time.Duration(len(events)+2) * second)
	m, _ := table.View().Lookup("n2")
	return m
}

func TestStateAfterEvents(t *testing.T) {
	leaving := aliveEvent("n2", 1)
	leaving.Leaving = true
	died, left := Event{Kind: EventDead, Name: "n2"}, Event{Kind: EventLeft, Name: "n2"}
	receivedRecently := func(e Event) Event { e.ReceivedRecently = true; return e }
	suspected, cleared := Event{Kind: EventSuspect, Name: "n2"}, Event{Kind: EventRefuted, Name: "n2"}
	for _, c := range []struct {
		name   string
		events []Event
		state  State
		number uint64
	}{
		{"alive", []Event{aliveEvent("n2", 1)}, Alive, 1},
		{"suspect", []Event{aliveEvent("n2", 1), suspected}, Suspect, 1},
		{"suspicion refuted", []Event{aliveEvent("n2", 1), suspected, cleared}, Alive, 1},
		{"dead after a suspicion", []Event{aliveEvent("n2", 1), suspected, died}, Dead, 1},
		{"left as announced", []Event{aliveEvent("n2", 1), leaving, left}, Left, 1},
		{"left as announced, just after a message of its own",
			[]Event{aliveEvent("n2", 1), leaving, receivedRecently(left)}, Left, 1},
		{"dead while leaving", []Event{aliveEvent("n2", 1), leaving, died}, Dead, 1},
		{"silent while leaving", []Event{aliveEvent("n2", 1), leaving, suspected}, Leaving, 1},
		{"restarted", []Event{aliveEvent("n2", 1), aliveEvent("n2", 2)}, Alive, 2},
		{"alive again after death", []Event{aliveEvent("n2", 1), died, aliveEvent("n2", 2)}, Alive, 2},
		{"late event of the previous incarnation", []Event{aliveEvent("n2", 2), aliveEvent("n2", 1)}, Alive, 2},
		{"death of the previous incarnation, while messages of this one arrive",
			[]Event{aliveEvent("n2", 2), receivedRecently(died), aliveEvent("n2", 2)}, Alive, 2},
		{"death without a suspicion, refuted", []Event{aliveEvent("n2", 2), died, aliveEvent("n2", 2)}, Alive, 2},
		{"death just after a message of its own, not refuted", []Event{aliveEvent("n2", 2), receivedRecently(died)}, Dead, 2},
		{"left without an announcement", []Event{aliveEvent("n2", 2), receivedRecently(left)}, Left, 2},
		{"unknown member", []Event{died}, "", 0},
		{"left after death", []Event{aliveEvent("n2", 1), suspected, died, left}, Dead, 1},
	} {
		if m := applyEvents(t, c.events...); m.State != c.state || m.Incarnation.Number != c.number {
			t.Errorf("%s: got state %s in incarnation %d", c.name, m.State, m.Incarnation.Number)
		}
	}
}

// A restarted member must not count as dead because of gossip about its previous incarnation. An unexpected death is
// therefore delayed, by no more than departureConfirmDelay.
func TestUnexpectedDeathIsDelayed(t *testing.T) {
	table := NewTable(Member{Name: "n1"}, 0)
	table.Apply(second, aliveEvent("n2", 1))
	table.Apply(2*second, Event{Kind: EventDead, Name: "n2", ReceivedRecently: true})
	for at, want := range map[time.Duration]State{2 * second: Suspect, 2*second + departureConfirmDelay: Suspect} {
		table.Tick(at)
		if m, _ := table.View().Lookup("n2"); m.State != want {
			t.Errorf("at %v: got state %s", at, m.State)
		}
	}
	// The refutation is not a message received from the member itself.
	table.Apply(2*second+departureConfirmDelay, Event{Kind: EventRefuted, Name: "n2"})
	table.Tick(2*second + departureConfirmDelay + 1)
	if m, _ := table.View().Lookup("n2"); m.State != Dead {
		t.Errorf("after departureConfirmDelay: got state %s, want dead", m.State)
	}
}

func TestTombstonesAndSuspicionsExpire(t *testing.T) {
	table := NewTable(Member{Name: "n1"}, 0)
	table.Apply(second, aliveEvent("n2", 1))
	table.Apply(second, aliveEvent("n3", 1))
	table.Apply(2*second, Event{Kind: EventSuspect, Name: "n2"})
	table.Apply(2*second, Event{Kind: EventDead, Name: "n2"})
	table.Apply(2*second, Event{Kind: EventSuspect, Name: "n3"})
	table.Tick(2*second + suspicionTimeout + 1)
	if m, _ := table.View().Lookup("n3"); m.State != Alive {
		t.Errorf("after an unconfirmed suspicion: got state %s, want alive", m.State)
	}
	if _, known := table.View().Lookup("n2"); !known {
		t.Error("the dead member n2 was removed before tombstoneTime")
	}
	table.Tick(2*second + tombstoneTime + 1)
	if _, known := table.View().Lookup("n2"); known {
		t.Error("the dead member n2 is still listed after tombstoneTime")
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable(Member{Name: "n0"}, 0)
	for i := range MaxMembers + 5 {
		table.Apply(second, aliveEvent(fmt.Sprintf("m%04d", i), 1))
	}
	if n := len(table.View().Members); n != MaxMembers || table.RejectedMembers() != 6 {
		t.Errorf("got %d members and %d rejections", n, table.RejectedMembers())
	}
	table.Apply(2*second, Event{Kind: EventSuspect, Name: "m0007"})
	table.Apply(2*second, Event{Kind: EventDead, Name: "m0007"})
	table.Apply(3*second, aliveEvent("late", 1))
	if _, known := table.View().Lookup("late"); !known {
		t.Error("a full table rejected a live member instead of removing a dead one")
	}
}

// Properties that must hold for any sequence of events: views are immutable and numbered without gaps, each name occurs
// once, a later incarnation is never replaced by an earlier one, and this process is present in its own view.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Member{Name: "n1"}, 0)
		now := time.Duration(0)
		incarnations := map[string]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond
			before := table.View()
			text := fmt.Sprint(before.Members)
			name := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "who")
			event := aliveEvent(name, uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
			event.Kind = EventKind(rapid.IntRange(int(EventAlive), int(EventLeft)).Draw(t, "kind"))
			event.Leaving, event.ReceivedRecently = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "fresh")
			changed := table.Apply(now, event)
			if rapid.Bool().Draw(t, "tick") {
				changed = table.Tick(now) || changed
			}
			view := table.View()
			if changed == (view.Number == before.Number) || fmt.Sprint(before.Members) != text {
				t.Fatalf("got view %d after view %d, or the earlier view was modified; changed %v",
					view.Number, before.Number, changed)
			}
			if !slices.IsSortedFunc(view.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) }) {
				t.Fatalf("members are not sorted: %v", view)
			}
			for i, m := range view.Members {
				if i > 0 && view.Members[i-1].Name == m.Name {
					t.Fatalf("name %s occurs twice", m.Name)
				}
				if m.Incarnation.Number < incarnations[m.Name] && m.State.Present() {
					t.Fatalf("%s returned to incarnation %d from %d", m.Name, m.Incarnation.Number, incarnations[m.Name])
				}
				incarnations[m.Name] = m.Incarnation.Number
			}
			for name := range incarnations {
				if _, known := view.Lookup(name); !known {
					delete(incarnations, name) // its tombstone was dropped
				}
			}
			if self, known := view.Lookup("n1"); !known || !self.State.Present() || self.State == Suspect {
				t.Fatalf("this process is not present in its own view: %v", view)
			}
		}
	})
}

// If both of two claims prevailed, or neither did, two processes would hold one name, or none would.
func TestOneClaimPrevails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := func(who string) Claim {
			return Claim{Incarnation{rapid.SampledFrom([]string{"aa", "bb"}).Draw(t, who+" home"),
				uint64(rapid.IntRange(1, 3).Draw(t, who+" incarnation"))}, rapid.Bool().Draw(t, who+" settled")}
		}
		a, b := claim("a"), claim("b")
		if a.Incarnation != b.Incarnation && Prevails(a, b) == Prevails(b, a) {
			t.Fatalf("claims %v and %v: got Prevails %v and, reversed, %v", a, b, Prevails(a, b), Prevails(b, a))
		}
	})
	if Prevails(Claim{Incarnation{"aa", 9}, false}, Claim{Incarnation{"bb", 1}, true}) {
		t.Error("an unsettled claim prevails over a settled one")
	}
}

func viewOf(members ...Member) *View { return &View{Members: members} }

func TestRing(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: fmt.Sprintf("n%d", i), State: Alive})
	}
	all[3].State, all[4].State, all[5].State = Dead, Leaving, Suspect
	v := viewOf(all...)
	ring := v.Ring()
	if len(ring) != 18 || slices.Contains(ring, "n3") || slices.Contains(ring, "n4") || !slices.Contains(ring, "n5") {
		t.Fatalf("ring %v", ring)
	}
	for i, name := range ring {
		if successor := v.Successor(name); successor != ring[(i+1)%len(ring)] {
			t.Errorf("successor of %s: got %s", name, successor)
		}
	}
	if successor := v.Successor("n3"); !slices.Contains(ring, successor) {
		t.Errorf("the successor of a dead member is not on the ring: %q", successor)
	}
	if successor := viewOf(Member{Name: "n1", State: Alive}).Successor("n1"); successor != "" {
		t.Errorf("a single member has the successor %q", successor)
	}
}

func TestPartition(t *testing.T) {
	m := func(s State) Member { return Member{State: s} }
	for _, c := range []struct {
		v    *View
		want Partition
	}{
		{viewOf(m(Alive)), Partition{Present: 1, Known: 1, Majority: true}},
		{viewOf(m(Alive), m(Alive), m(Dead)), Partition{Present: 2, Known: 3, Majority: true}},
		{viewOf(m(Alive), m(Suspect), m(Dead), m(Dead)), Partition{Present: 2, Known: 4, Suspect: 1}},
		{viewOf(m(Alive), m(Dead), m(Dead)), Partition{Present: 1, Known: 3, Isolated: true}},
		{viewOf(m(Alive), m(Left), m(Left)), Partition{Present: 1, Known: 1, Majority: true}},
	} {
		if got := c.v.Partition(); got != c.want {
			t.Errorf("members %v: got partition %+v", c.v.Members, got)
		}
	}
}
