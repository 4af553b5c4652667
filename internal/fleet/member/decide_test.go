package member

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func incarnation(n uint64) Incarnation { return Incarnation{"aa", n} }

func heard(name string, n uint64) Event {
	return Event{Kind: Heard, Name: name, Zone: "east", Addr: name + ":1", Incarnation: incarnation(n)}
}

// play lets a book take in events a second apart, and returns what it says of n2.
func play(t *testing.T, events ...Event) Member {
	t.Helper()
	b := NewBook(Member{Name: "n1", Incarnation: incarnation(1)}, 0)
	for i, e := range events {
		b.Apply(time.Duration(i+1)*s, e)
		b.Tick(time.Duration(i+1)*s + s/2)
	}
	b.Tick(time.Duration(len(events)+2) * s)
	m, _ := b.View().Of("n2")
	return m
}

func TestWhatIsBelieved(t *testing.T) {
	leaving := heard("n2", 1)
	leaving.Leaving = true
	died, departed := Event{Kind: Died, Name: "n2"}, Event{Kind: Departed, Name: "n2"}
	fresh := func(e Event) Event { e.Fresh = true; return e }
	suspected, cleared := Event{Kind: Suspected, Name: "n2"}, Event{Kind: Cleared, Name: "n2"}
	for _, c := range []struct {
		name   string
		events []Event
		state  State
		number uint64
	}{
		{"it is heard", []Event{heard("n2", 1)}, Alive, 1},
		{"it is silent", []Event{heard("n2", 1), suspected}, Suspect, 1},
		{"it answers a suspicion", []Event{heard("n2", 1), suspected, cleared}, Alive, 1},
		{"it dies", []Event{heard("n2", 1), suspected, died}, Dead, 1},
		{"it leaves", []Event{heard("n2", 1), leaving, departed}, Left, 1},
		{"it leaves, heard to the last", []Event{heard("n2", 1), leaving, fresh(departed)}, Left, 1},
		{"it dies while it leaves", []Event{heard("n2", 1), leaving, died}, Dead, 1},
		{"a silent leaver is no suspect", []Event{heard("n2", 1), leaving, suspected}, Leaving, 1},
		{"it begins anew", []Event{heard("n2", 1), heard("n2", 2)}, Alive, 2},
		{"it is back from death", []Event{heard("n2", 1), died, heard("n2", 2)}, Alive, 2},
		{"its last incarnation is heard late", []Event{heard("n2", 2), heard("n2", 1)}, Alive, 2},
		{"its last incarnation's death comes while it talks", []Event{heard("n2", 2), fresh(died), heard("n2", 2)}, Alive, 2},
		{"its death comes out of the blue, and it answers", []Event{heard("n2", 2), died, heard("n2", 2)}, Alive, 2},
		{"its death is told while it talks, and not answered", []Event{heard("n2", 2), fresh(died)}, Dead, 2},
		{"its leave is told, which it has not said itself", []Event{heard("n2", 2), fresh(departed)}, Left, 2},
		{"nobody knows it", []Event{died}, "", 0},
		{"the dead do not leave", []Event{heard("n2", 1), suspected, died, departed}, Dead, 1},
	} {
		if m := play(t, c.events...); m.State != c.state || m.Incarnation.Number != c.number {
			t.Errorf("%s: %s in incarnation %d", c.name, m.State, m.Incarnation.Number)
		}
	}
}

// A death that does not fit is held back for its time, and no longer.
func TestDoubtedDeath(t *testing.T) {
	b := NewBook(Member{Name: "n1"}, 0)
	b.Apply(s, heard("n2", 1))
	b.Apply(2*s, Event{Kind: Died, Name: "n2", Fresh: true})
	for at, want := range map[time.Duration]State{2 * s: Suspect, 2*s + hold: Suspect} {
		b.Tick(at)
		if m, _ := b.View().Of("n2"); m.State != want {
			t.Errorf("%v: %s", at, m.State)
		}
	}
	b.Apply(2*s+hold, Event{Kind: Cleared, Name: "n2"}) // no word of its own
	b.Tick(2*s + hold + 1)
	if m, _ := b.View().Of("n2"); m.State != Dead {
		t.Errorf("in the end: %s", m.State)
	}
}

func TestForgetting(t *testing.T) {
	b := NewBook(Member{Name: "n1"}, 0)
	b.Apply(s, heard("n2", 1))
	b.Apply(s, heard("n3", 1))
	b.Apply(2*s, Event{Kind: Suspected, Name: "n2"})
	b.Apply(2*s, Event{Kind: Died, Name: "n2"})
	b.Apply(2*s, Event{Kind: Suspected, Name: "n3"})
	b.Tick(2*s + doubt + 1)
	if m, _ := b.View().Of("n3"); m.State != Alive {
		t.Errorf("a suspicion of which nothing came: %s", m.State)
	}
	if _, known := b.View().Of("n2"); !known {
		t.Error("the dead are forgotten at once")
	}
	b.Tick(2*s + remember + 1)
	if _, known := b.View().Of("n2"); known {
		t.Error("the dead are never forgotten")
	}
}

func TestRoom(t *testing.T) {
	b := NewBook(Member{Name: "n0"}, 0)
	for i := range MaxMembers + 5 {
		b.Apply(s, heard(fmt.Sprintf("m%04d", i), 1))
	}
	if n := len(b.View().Members); n != MaxMembers || b.Refused() != 6 {
		t.Errorf("%d members, %d refused", n, b.Refused())
	}
	b.Apply(2*s, Event{Kind: Suspected, Name: "m0007"})
	b.Apply(2*s, Event{Kind: Died, Name: "m0007"})
	b.Apply(3*s, heard("late", 1))
	if _, known := b.View().Of("late"); !known {
		t.Error("the dead keep the living out")
	}
}

// Whatever is heard, in whatever order: views are numbered without a gap and never change, each name stands once, a
// later incarnation never gives way to an earlier one, and this process is in its own view.
func TestBookHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(Member{Name: "n1"}, 0)
		now := time.Duration(0)
		incarnations := map[string]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond
			before := b.View()
			text := fmt.Sprint(before.Members)
			name := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "who")
			e := heard(name, uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
			e.Kind = Kind(rapid.IntRange(int(Heard), int(Departed)).Draw(t, "kind"))
			e.Leaving, e.Fresh = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "fresh")
			changed := b.Apply(now, e)
			if rapid.Bool().Draw(t, "tick") {
				changed = b.Tick(now) || changed
			}
			v := b.View()
			if changed == (v.Number == before.Number) || fmt.Sprint(before.Members) != text {
				t.Fatalf("view %d after %d, changed %v", v.Number, before.Number, changed)
			}
			if !slices.IsSortedFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) }) {
				t.Fatalf("not in order: %v", v)
			}
			for i, m := range v.Members {
				if i > 0 && v.Members[i-1].Name == m.Name {
					t.Fatalf("%s stands twice", m.Name)
				}
				if m.Incarnation.Number < incarnations[m.Name] && m.State.Here() {
					t.Fatalf("%s goes back to incarnation %d from %d", m.Name, m.Incarnation.Number, incarnations[m.Name])
				}
				incarnations[m.Name] = m.Incarnation.Number
			}
			for name := range incarnations {
				if _, known := v.Of(name); !known {
					delete(incarnations, name) // forgotten
				}
			}
			if self, known := v.Of("n1"); !known || !self.State.Here() || self.State == Suspect {
				t.Fatalf("it does not believe in itself: %v", v)
			}
		}
	})
}

// Of two claims to a name exactly one prevails, whoever asks.
func TestOneClaimPrevails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := func(who string) Claim {
			return Claim{Incarnation{rapid.SampledFrom([]string{"aa", "bb"}).Draw(t, who+" home"),
				uint64(rapid.IntRange(1, 3).Draw(t, who+" incarnation"))}, rapid.Bool().Draw(t, who+" settled")}
		}
		a, b := claim("a"), claim("b")
		if a.Incarnation != b.Incarnation && Prevails(a, b) == Prevails(b, a) {
			t.Fatalf("%v and %v: %v, %v", a, b, Prevails(a, b), Prevails(b, a))
		}
	})
	if Prevails(Claim{Incarnation{"aa", 9}, false}, Claim{Incarnation{"bb", 1}, true}) {
		t.Error("a newcomer pushes a settled member out")
	}
}

func view(members ...Member) *View { return &View{Members: members} }

func TestRing(t *testing.T) {
	var all []Member
	for i := range 20 {
		all = append(all, Member{Name: fmt.Sprintf("n%d", i), State: Alive})
	}
	all[3].State, all[4].State, all[5].State = Dead, Leaving, Suspect
	v := view(all...)
	ring := v.Ring()
	if len(ring) != 18 || slices.Contains(ring, "n3") || slices.Contains(ring, "n4") || !slices.Contains(ring, "n5") {
		t.Fatalf("ring %v", ring)
	}
	for i, name := range ring {
		if successor := v.Successor(name); successor != ring[(i+1)%len(ring)] {
			t.Errorf("after %s comes %s", name, successor)
		}
	}
	if successor := v.Successor("n3"); !slices.Contains(ring, successor) {
		t.Errorf("the successor of one that is gone: %q", successor)
	}
	if successor := view(Member{Name: "n1", State: Alive}).Successor("n1"); successor != "" {
		t.Errorf("one that is alone has a successor %q", successor)
	}
}

func TestSide(t *testing.T) {
	m := func(s State) Member { return Member{State: s} }
	for _, c := range []struct {
		v    *View
		want Side
	}{
		{view(m(Alive)), Side{Here: 1, Known: 1, Most: true}},
		{view(m(Alive), m(Alive), m(Dead)), Side{Here: 2, Known: 3, Most: true}},
		{view(m(Alive), m(Suspect), m(Dead), m(Dead)), Side{Here: 2, Known: 4, Suspect: 1}},
		{view(m(Alive), m(Dead), m(Dead)), Side{Here: 1, Known: 3, Alone: true}},
		{view(m(Alive), m(Left), m(Left)), Side{Here: 1, Known: 1, Most: true}},
	} {
		if got := c.v.Side(); got != c.want {
			t.Errorf("%v: %+v", c.v.Members, got)
		}
	}
}
