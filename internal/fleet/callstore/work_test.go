package callstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
)

func apply(t interface{ Fatal(...any) }, l *ledger, c command) any {
	if c.Limits == (Limits{}) {
		c.Limits = whole
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return l.Apply(&raft.Log{Data: data})
}

// whole is a ledger that is large enough for whatever a test puts in.
var whole = Limits{Retention: time.Hour, MaxEntries: 1000}

// TestOnce plays owners, each of which asks for keys, lets out what it was allowed, says what came of it or dies, with questions
// that come late, twice and out of order, processes given up though they live, and the ledger carried over by a snapshot. What
// must never run twice is let out once; what may run again, at most as often as owners may have it; an outcome is never changed.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		const most = 3
		type out struct{ ran, again int }
		ran, outcomes, now := map[string]*out{}, map[string]string{}, int64(0)
		var sent []command // that may come once more
		allowed := map[Owner]string{}
		calls := uint64(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 50).Draw(t, "ms"))
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			again := key == "k4"
			var c command
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3: // somebody asks
				calls++
				o := Owner{fmt.Sprint("n", rapid.IntRange(1, 3).Draw(t, "node")), "h/1", calls}
				c = command{Now: now, Begin: &BeginRequest{Key: key, Fingerprint: key, Owner: o, Idempotent: again, MaxOwners: most}}
			case 4, 5, 6: // an owner ends
				var some []Owner
				for o := range allowed {
					some = append(some, o)
				}
				if len(some) == 0 {
					continue
				}
				o := some[0]
				for _, other := range some { // the earliest, so that a draw means the same each time
					if other.Call < o.Call {
						o = other
					}
				}
				state := rapid.SampledFrom([]State{Answered, Unknown, Free}).Draw(t, "state")
				end := &EndRequest{Key: allowed[o], Owner: o, State: state}
				if state == Answered {
					end.Outcome = &Outcome{Status: 200, Body: []byte(fmt.Sprint(o))}
				}
				if state == Free { // it never let it out, after all
					ran[allowed[o]].ran--
					ran[allowed[o]].again--
				}
				delete(allowed, o)
				c = command{Now: now, End: end}
			case 7: // a node is given up, rightly or not
				c = command{Now: now, Lost: &ReleaseRequest{[]process{{fmt.Sprint("n", rapid.IntRange(1, 3).Draw(t, "lost")), "h/1"}}}}
			case 8:
				if len(sent) == 0 {
					continue
				}
				c = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "late")]
				if c.Begin == nil && c.End == nil {
					continue
				}
				if c.Begin != nil { // its asker has an answer by now, or has given it up: it lets nothing out for this one
					apply(t, l, c)
					continue
				}
			default:
				snap, err := l.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				l = newLedger()
				if err := l.Restore(io.NopCloser(bytes.NewReader(snap.(raftlog.Snapshot)))); err != nil {
					t.Fatal(err)
				}
				continue
			}
			sent = append(sent, c)
			got := apply(t, l, c)
			if v, ok := got.(BeginResult); ok {
				if v.Granted {
					if ran[key] == nil {
						ran[key] = &out{}
					}
					ran[key].ran++
					ran[key].again++
					allowed[c.Begin.Owner] = key
				}
				if v.State == Answered {
					if old, seen := outcomes[key]; seen && old != string(v.Outcome.Body) {
						t.Fatalf("%s had the outcome %s, and now %s", key, old, v.Outcome.Body)
					}
					outcomes[key] = string(v.Outcome.Body)
				}
			}
			for k, o := range ran {
				if k != "k4" && o.ran > 1 || o.again > most {
					t.Fatalf("%s was let out by %d owners, %d in all", k, o.ran, o.again)
				}
			}
		}
	})
}

// TestBounds: nothing is forgotten before its time, also where there is no room; what runs never is.
func TestBounds(t *testing.T) {
	l, limits := newLedger(), Limits{Retention: 10 * time.Second, MaxEntries: 3}
	begin := func(now int64, key string, call uint64) BeginResult {
		return apply(t, l, command{Now: now, Limits: limits, Begin: &BeginRequest{Key: key, Fingerprint: "p", Owner: Owner{"n1", "h/1", call}}}).(BeginResult)
	}
	for i, key := range []string{"a", "b", "c"} {
		if v := begin(0, key, uint64(i)); !v.Granted {
			t.Fatalf("%s: %+v", key, v)
		}
	}
	apply(t, l, command{Now: 1000, Limits: limits, End: &EndRequest{Key: "a", Owner: Owner{"n1", "h/1", 0}, State: Answered, Outcome: &Outcome{Status: 200}}})
	if v := begin(10900, "d", 9); !v.StoreFull {
		t.Errorf("a fourth, while all are kept: %+v", v)
	}
	if v := begin(10900, "a", 10); v.State != Answered || v.Outcome.Status != 200 {
		t.Errorf("just before its time is over: %+v", v)
	}
	if v := begin(11100, "d", 11); !v.Granted {
		t.Errorf("once it is over: %+v", v)
	}
	if v := begin(99000, "b", 12); v.Granted || v.State != Running {
		t.Errorf("what runs was forgotten: %+v", v)
	}
	if v := apply(t, l, command{Begin: &BeginRequest{Key: "b", Fingerprint: "other"}}).(BeginResult); !v.KeyConflict {
		t.Errorf("another request under the same key: %+v", v)
	}
	if _, bad := l.Apply(&raft.Log{Data: []byte("{}")}).(error); !bad {
		t.Error("an empty entry is taken")
	}
}

// TestGone: who is given up.
func TestGone(t *testing.T) {
	v := &member.View{Members: []member.Member{
		{Name: "alive", Incarnation: member.Incarnation{Home: "h", Number: 2}, State: member.Alive},
		{Name: "silent", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Suspect},
		{Name: "leaving", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Leaving},
		{Name: "dead", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Dead},
		{Name: "left", Incarnation: member.Incarnation{Home: "h", Number: 1}, State: member.Left},
	}}
	for p, want := range map[process]bool{{"alive", "h/2"}: false, {"alive", "h/1"}: true, {"alive", "h/3"}: false, {"alive", "other/3"}: true, {"silent", "h/1"}: false,
		{"leaving", "h/1"}: false, {"dead", "h/1"}: true, {"left", "h/1"}: true} {
		if got := gone(v, p, time.Second); got != want {
			t.Errorf("%v: gone %v", p, got)
		}
	}
	if stranger := (process{"x", "h/1"}); gone(v, stranger, time.Second) || !gone(v, stranger, time.Minute) {
		t.Error("who was never heard of is given up once the members have told each other of everybody, and not before")
	}
}

// TestRefusedWorkGoesOn: however often nodes refuse a piece of work, or give it up before it is out, somebody may have it next;
// a question that was given up gets no permission when it comes after the word of that.
func TestRefusedWorkGoesOn(t *testing.T) {
	l := newLedger()
	for call := range uint64(20) {
		o := Owner{"n1", "h/1", call}
		begin, end := command{Begin: &BeginRequest{Key: "a", Fingerprint: "p", Owner: o, MaxOwners: 3}}, command{End: &EndRequest{Key: "a", Fingerprint: "p", Owner: o, State: Free}}
		late := call%2 == 0
		if late {
			apply(t, l, end)
		}
		if v := apply(t, l, begin).(BeginResult); v.Granted == late {
			t.Fatalf("call %d, given up before: %v: %+v", call, late, v)
		}
		if !late {
			apply(t, l, end)
		}
	}
	if v := apply(t, l, command{Begin: &BeginRequest{Key: "a", Fingerprint: "p", Owner: Owner{"n2", "h/1", 1}, MaxOwners: 3}}).(BeginResult); !v.Granted {
		t.Errorf("after all: %+v", v)
	}
}

// TestLostIsOneForm: earlier programs, which called an incarnation a life, have to read what is agreed on.
func TestLostIsOneForm(t *testing.T) {
	const form = `{"processes":[{"Name":"n1","Life":"h/1"}]}`
	if said, err := json.Marshal(ReleaseRequest{[]process{{"n1", "h/1"}}}); err != nil || string(said) != form {
		t.Errorf("%s, not %s (%v)", said, form, err)
	}
}

// TestReplicas: voters that apply the same log come to the same state, whether they were carried over by snapshots or not, and
// whatever the limits were at each entry; what is forgotten leaves nothing behind.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other, now := newLedger(), newLedger(), int64(0)
		for n := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now += int64(rapid.IntRange(0, 40).Draw(t, "ms"))
			key, owner := fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key")), Owner{fmt.Sprint("n", rapid.IntRange(1, 2).Draw(t, "node")), "h/1", n}
			c := command{Now: now, Limits: Limits{time.Duration(rapid.IntRange(50, 500).Draw(t, "window")) * time.Millisecond, rapid.IntRange(2, 8).Draw(t, "most")}}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				c.Begin = &BeginRequest{Key: key, Fingerprint: key, Owner: owner, Idempotent: key == "k0", MaxOwners: 2}
			case 2, 3:
				if p := one.Pieces[key]; p != nil {
					owner = p.Owner
				}
				state := rapid.SampledFrom([]State{Answered, Unknown, Free}).Draw(t, "state")
				c.End = &EndRequest{Key: key, Fingerprint: key, Owner: owner, State: state}
				if state == Answered {
					c.End.Outcome = &Outcome{Status: 200, Body: make([]byte, 10)}
				}
			default:
				c.Lost = &ReleaseRequest{[]process{owner.process()}}
			}
			v, _ := json.Marshal(apply(t, one, c))
			w, _ := json.Marshal(apply(t, other, c))
			if !bytes.Equal(v, w) {
				t.Fatalf("%s and %s", v, w)
			}
			if rapid.IntRange(0, 9).Draw(t, "carried over") == 0 {
				snap, err := one.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				one = newLedger()
				if err := one.Restore(io.NopCloser(bytes.NewReader(snap.(raftlog.Snapshot)))); err != nil {
					t.Fatal(err)
				}
			}
			a, _ := json.Marshal(one)
			b, _ := json.Marshal(other)
			if !bytes.Equal(a, b) {
				t.Fatalf("after %d:\n%s\n%s", n, a, b)
			}
			kept, size := len(other.aging), 0
			for _, all := range other.of {
				kept += len(all)
			}
			for _, p := range other.Pieces {
				size += p.size()
			}
			if kept != len(other.Pieces) || size != other.bytes {
				t.Fatalf("%d pieces, %d in the indexes; %d bytes, %d counted", len(other.Pieces), kept, size, other.bytes)
			}
		}
	})
}
