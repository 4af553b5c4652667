package member

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Nobody is lost whom anybody reached, and nobody at all on the word of one alone.
func TestLost(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string])
		silent := some.Draw(t, "silent")
		words := rapid.SliceOfN(some, 0, witnesses).Draw(t, "words")
		lost := Lost(silent, words)
		for _, name := range names {
			reached := !slices.Contains(silent, name) || len(words) == 0
			for _, w := range words {
				reached = reached || !slices.Contains(w, name)
			}
			if slices.Contains(lost, name) == reached {
				t.Fatalf("%s reached: %v; lost %v of %v by %v", name, reached, lost, silent, words)
			}
		}
	})
}

func TestMassLoss(t *testing.T) {
	for _, c := range []struct {
		silent, of int
		want       bool
	}{{0, 0, false}, {1, 1, false}, {1, 8, false}, {2, 2, true}, {2, 8, true}, {2, 9, false}, {8, 8, true}} {
		if got := MassLoss(c.silent, c.of); got != c.want {
			t.Errorf("%d of %d: %v", c.silent, c.of, got)
		}
	}
	v := view(Member{Name: "n1", State: Alive}, Member{Name: "n2", State: Dead, Since: s}, Member{Name: "n3", State: Left, Since: 9 * s})
	if !v.SilentLately(s+lately) || v.SilentLately(s+lately+1) {
		t.Error("a loss is noticed for the wrong time, or a planned end is one")
	}
}

// What was found of one incarnation says nothing of the next, whatever directory that has.
func TestAnotherIncarnation(t *testing.T) {
	b := NewBook(Member{Name: "n1"}, 0)
	b.Apply(s, heard("n2", 2))
	next := heard("n2", 1)
	next.Incarnation.Home = "another"
	for _, e := range []Event{heard("n2", 3), next} {
		before := heard("n2", 2).Incarnation
		if m, _ := b.View().Of("n2"); m.Incarnation != before {
			before = m.Incarnation
		}
		b.Apply(2*s, e)
		b.Apply(2*s, Event{Kind: Suspected, Name: "n2", Incarnation: before})
		b.Apply(2*s, Event{Kind: Died, Name: "n2", Incarnation: before})
		if m, _ := b.View().Of("n2"); m.State != Alive || m.Incarnation != e.Incarnation {
			t.Errorf("%s in %v", m.State, m.Incarnation)
		}
	}
}

// Where most are gone at one time, those that are left call the roll, and whoever joins them later hears nothing of the dead.
func TestRollCall(t *testing.T) {
	dir := t.TempDir()
	at := free(t)
	var all []*Service
	for i := range 12 {
		own := at
		if i > 0 {
			own = free(t)
		}
		all = append(all, one(t, fmt.Sprintf("n%d", i), fmt.Sprintf("%s/%d", dir, i), own, at))
		take(t, all[i])
	}
	for _, s := range all {
		await(t, s, "all", func(v *View) bool { return len(v.Here()) == len(all) })
	}
	left, lost := all[:2], all[2:]
	for _, s := range lost {
		s.holds().close() // without a word, all at one time
	}
	for _, s := range left {
		await(t, s, "two", func(v *View) bool { return len(v.Here()) == 2 })
	}
	calls := left[0].count.calls.Load() + left[1].count.calls.Load()
	called := left[0].count.called.Load() + left[1].count.called.Load()
	if calls == 0 || called == 0 {
		t.Errorf("%d calls, %d found by them", calls, called)
	}
	late := one(t, "late", dir+"/late", free(t), at)
	take(t, late)
	v := await(t, late, "the two", func(v *View) bool { return len(v.Here()) >= 3 })
	if len(v.Here()) != 3 {
		t.Errorf("the newcomer believes in the dead: %s", v)
	}
	// One that was given up and lives after all says so.
	back := one(t, "n5", dir+"/5", lost[3].c.Listen, at)
	take(t, back)
	await(t, left[0], "one is back", has("n5", Alive))
	before := back.holds().incarnation
	left[0].holds().giveUp("n5", before)
	left[0].apply(Event{Kind: Suspected, Name: "n5"})
	left[0].apply(Event{Kind: Died, Name: "n5"})
	await(t, left[1], "it contradicts, and others hear of it", has("n5", Alive))
	v = await(t, left[0], "it contradicts", has("n5", Alive))
	if m, _ := v.Of("n5"); m.Incarnation != before {
		t.Errorf("incarnation %v, not %v", m.Incarnation, before)
	}
}

// A question that is none is counted, and one that is whole gets its answer.
func TestWord(t *testing.T) {
	a, b := free(t), free(t)
	n1, n2 := one(t, "n1", t.TempDir(), a), one(t, "n2", t.TempDir(), b, a)
	take(t, n1)
	take(t, n2)
	await(t, n1, "two", has("n2", Alive))
	await(t, n2, "two", has("n1", Alive))
	word, err := n2.holds().inquiry.word(a.String(), []string{"n1", "n2", "nobody"})
	if err != nil || !slices.Equal(word, []string{"nobody"}) {
		t.Errorf("%v, %v", word, err)
	}
	c, err := n2.holds().t.dial(a.String(), wordChannel, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, `{"not": "names"`+strings.Repeat(" ", 10))
	c.(*stream).Conn.(counted).Conn.(*net.TCPConn).CloseWrite()
	c.Read(make([]byte, 1)) // until it is closed
	c.Close()
	if n1.count.rejected.Load() != 1 {
		t.Error(n1.Counters())
	}
	if _, err := n2.holds().inquiry.word(netip.MustParseAddrPort("127.0.0.1:1").String(), nil); err == nil {
		t.Error("nobody gave a word")
	}
}
