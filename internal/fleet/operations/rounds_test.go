package operations

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
)

// do lets a ledger apply a command, as it comes out of the log.
func do(t interface{ Fatal(...any) }, l *ledger, c command) Result {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	a, is := l.Apply(&raft.Log{Data: data}).(Result)
	if !is {
		t.Fatal("no answer")
	}
	return a
}

// Whatever operators say and voters do, late and twice: one round runs at a time and has one server out at most, its present
// one; each server is out once in a round; what operators keep out themselves stays out; and a snapshot is the whole.
func TestLedgerHolds(t *testing.T) {
	servers := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		var moves []AdvanceRequest
		left := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			version, out, _ := l.view()
			var c command
			server := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.Suspend = &ServerRequest{server, "n1"}
			case 1:
				c.Restore = &ServerRequest{server, "n1"}
			case 2:
				c.Begin = &BeginRoundRequest{fmt.Sprint("r", rapid.IntRange(1, 6).Draw(t, "key")), "n1",
					rapid.SliceOfNDistinct(rapid.SampledFrom(servers), 0, 4, rapid.ID[string]).Draw(t, "servers"), time.Second}
			case 3:
				c.Stop = &StopRoundRequest{fmt.Sprint("r", rapid.IntRange(1, 6).Draw(t, "key")), "why"}
			case 4: // one that was made before comes again
				if len(moves) == 0 {
					continue
				}
				m := rapid.SampledFrom(moves).Draw(t, "move")
				c.Move = &m
			default:
				r := l.running()
				if r == nil {
					continue
				}
				c.Move = &AdvanceRequest{r.ID, r.Position, r.Step}
				moves = append(moves, *c.Move)
			}
			before := l.running()
			was := AdvanceRequest{}
			if before != nil {
				was = AdvanceRequest{before.ID, before.Position, before.Step}
			}
			a := do(t, l, c)
			if c.Move != nil && (a.Rejection == "") != (before != nil && *c.Move == was) {
				t.Fatalf("%+v is taken though the round is at %+v: %+v", c.Move, was, a)
			}
			now, outNow, rounds := l.view()
			if (now != version) == maps.Equal(out, outNow) || now < version {
				t.Fatalf("version %d after %d, out %v after %v", now, version, outNow, out)
			}
			runs, by := 0, 0
			for _, r := range rounds {
				if r.State == Running {
					runs++
				}
			}
			for server, o := range outNow {
				if o.Round == 0 {
					continue
				}
				if _, had := out[server]; !had {
					left[fmt.Sprint(o.Round, server)]++
				}
				if by++; l.running() == nil || l.running().ID != o.Round || l.running().Server() != server {
					t.Fatalf("%s is out by round %d: %+v", server, o.Round, l.running())
				}
			}
			if runs > 1 || by > 1 {
				t.Fatalf("%d rounds run, %d servers are out by them", runs, by)
			}
			for what, n := range left {
				if n > 1 {
					t.Fatalf("%s is out %d times", what, n)
				}
			}
		}
		snap, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := newLedger()
		if err := again.Restore(io.NopCloser(bytes.NewReader(snap.(raftlog.Snapshot)))); err != nil || !same(l, again) {
			t.Fatalf("%v: %+v became %+v", err, l, again)
		}
	})
}

func same(a, b *ledger) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return bytes.Equal(x, y)
}

// A round through three, of which one is out by a word.
func TestRound(t *testing.T) {
	l := newLedger()
	do(t, l, command{Suspend: &ServerRequest{"b", "n2"}})
	if a := do(t, l, command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "a"}, 0}}); a.Rejection != "a server stands twice" {
		t.Error(a)
	}
	do(t, l, command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "b", "c"}, 0}})
	if a := do(t, l, command{Begin: &BeginRoundRequest{"q", "n1", []string{"a"}, 0}}); !strings.HasPrefix(a.Rejection, `another runs: round "r"`) {
		t.Error(a)
	}
	var went []string
	for range 20 {
		r := l.running()
		if r == nil {
			break
		}
		if r.Step == Drained {
			went = append(went, r.Server())
			if a := do(t, l, command{Restore: &ServerRequest{r.Server(), "n1"}}); !strings.Contains(a.Rejection, "stop that first") {
				t.Error(a)
			}
		}
		do(t, l, command{Move: &AdvanceRequest{r.ID, r.Position, r.Step}})
	}
	_, out, rounds := l.view()
	if !slices.Equal(went, []string{"a", "c"}) || len(out) != 1 || out["b"].By != "n2" || rounds[0].State != Done {
		t.Errorf("out were %v, is %v; %v", went, out, rounds)
	}
	do(t, l, command{Begin: &BeginRoundRequest{"s", "n1", []string{"a", "c"}, 0}})
	do(t, l, command{Move: &AdvanceRequest{2, 0, Pending}})
	if a := do(t, l, command{Stop: &StopRoundRequest{"s", "said at n3"}}); a.Text != `round "s", begun at n1: stopped after 0 of 2 servers: said at n3` {
		t.Error(a)
	}
	if _, out, _ := l.view(); len(out) != 1 {
		t.Errorf("after the stop %v are out", out)
	}
	if a := do(t, l, command{Stop: &StopRoundRequest{"none", ""}}); a.Rejection == "" {
		t.Error(a)
	}
}

// A round goes on once all nodes are as far, and says for whom it waits.
func TestReady(t *testing.T) {
	members := []Member{{"n1", "x/1", false}, {"n2", "y/1", false}}
	r := func(s Step) Round { return Round{Servers: []string{"a"}, Step: s, Version: 5, Hold: time.Second} }
	said := func(version uint64, busy int, incarnation string, age time.Duration) map[string]NodeReport {
		return map[string]NodeReport{"n1": {Incarnation: "x/1", Version: 5}, "n2": {incarnation, version, map[string]int{"a": busy}, age}}
	}
	for _, c := range []struct {
		what    string
		r       Round
		members []Member
		reports map[string]NodeReport
		held    time.Duration
		want    []string
	}{
		{"nothing was done yet", r(Pending), members, nil, 0, nil},
		{"all have left", r(Draining), members, said(5, 0, "y/1", 0), 0, nil},
		{"one has tries there", r(Draining), members, said(6, 2, "y/1", 0), 0, []string{"n2"}},
		{"one has not heard", r(Draining), members, said(4, 0, "y/1", 0), 0, []string{"n2"}},
		{"one is silent", r(Draining), members, said(5, 0, "y/1", reportFor+1), 0, []string{"n2"}},
		{"one was in another incarnation", r(Draining), members, said(5, 0, "y/0", 0), 0, []string{"n2"}},
		{"one has a predecessor", r(Draining), []Member{{"n1", "x/1", true}}, said(5, 0, "y/1", 0), 0, []string{"n1"}},
		{"nobody has said anything", r(Draining), members, nil, 0, []string{"n1", "n2"}},
		{"one is dead", r(Draining), members[:1], said(0, 1, "", reportFor+1), 0, nil},
		{"one that is taken for dead says that it has tries there", r(Draining), members[:1], said(5, 1, "y/2", 0), 0, []string{"n2"}},
		{"one has tries there by now", r(Restoring), members, said(5, 2, "y/1", 0), 0, nil},
	} {
		ok, waits := CanAdvance(c.r, c.members, c.reports, c.held)
		if ok != (len(c.want) == 0) || !slices.Equal(waits, c.want) {
			t.Errorf("%s: %v, %v", c.what, ok, waits)
		}
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second-1); ok {
		t.Error("it is not held out for long enough")
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second); !ok {
		t.Error("it is held out for too long")
	}
}

// desk is a node's, which knows three servers.
type desk struct{ out map[string]bool }

func (d *desk) Suspend(s string) error { d.out[s] = true; return nil }
func (d *desk) Restore(s string) error { delete(d.out, s); return nil }
func (d *desk) Suspended() []string    { return slices.Sorted(maps.Keys(d.out)) }
func (d *desk) Busy(string) int        { return 0 }
func (d *desk) Listed() []string       { return []string{"a", "b", "c"} }
func (d *desk) Known(s string) bool    { return slices.Contains(d.Listed(), s) }

// A fleet of one: operators' calls, what they are told, and that what was out is out again after the next start.
func TestService(t *testing.T) {
	dir := t.TempDir()
	view := &member.View{Self: "n1", Members: []member.Member{{Name: "n1", State: member.Alive, Incarnation: member.Incarnation{Home: "x", Number: 1}}}}
	config := Config{Name: "n1", Voters: raftlog.VoterSet{Edition: 1, Names: []string{"n1"}}, Directory: dir, View: func() *member.View { return view }}
	s, d := New(config), &desk{map[string]bool{"c": true}}
	if _, err := s.Execute([]string{"STATUS"}); err == nil || err.Error() != "the node is starting" {
		t.Error(err)
	}
	s.Attach(d)
	s.Start("x/1")
	until := func(what string, is func(text string, err error) bool, words ...string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			text, err := s.Execute(words)
			if is(text, err) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %q, %v", what, text, err)
			}
		}
	}
	well := func(_ string, err error) bool { return err == nil }
	until("a word", well, "SUSPEND", "a")
	until("a word about one that is out already", well, "SUSPEND", "c")
	until("both are out", func(text string, _ error) bool { return strings.Contains(text, "word: [a c]") }, "STATUS")
	until("a round", well, "ROUND", "r", "1ms", "ALL")
	until("it is done", func(text string, _ error) bool { return strings.Contains(text, "done, 3 servers") }, "STATUS")
	until("one is back", well, "RESTORE", "c")
	until("one is out", func(text string, _ error) bool { return strings.Contains(text, "word: [a]") }, "STATUS")
	if !slices.Equal(d.Suspended(), []string{"a", "c"}) { // c was out at the node's own door before
		t.Errorf("the node keeps out %v", d.Suspended())
	}
	for words, want := range map[string]string{"": "FLEET wants", "SUSPEND": "FLEET wants", "SUSPEND x": `named server "x"`,
		"ROUND r 1s x": `named server "x"`, "ROUND r soon a": `hold: not a time`, "STOP none": "no round", "JUMP": "FLEET wants"} {
		if _, err := s.Execute(strings.Fields(words)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", words, err)
		}
	}
	s.Stop()
	next := &desk{map[string]bool{}}
	New(config).Attach(next)
	if !next.out["a"] {
		t.Errorf("after a start it keeps out %v", next.out)
	}
	if err := os.WriteFile(filepath.Join(dir, "out.json"), []byte(`["a`), 0o600); err != nil {
		t.Fatal(err)
	}
	New(config).Attach(&desk{map[string]bool{}}) // what cannot be read is heard again
}

// halting is a desk whose node's other process does not hold a server at first.
type halting struct {
	desk
	fails int
}

func (d *halting) Suspend(s string) error {
	if d.fails--; d.fails >= 0 {
		return io.ErrUnexpectedEOF
	}
	return d.desk.Suspend(s)
}

// What does not hold in all processes of the node is not said to hold, and what could not be written is no hindrance.
func TestSuspendFails(t *testing.T) {
	s := New(Config{Name: "n1", Voters: raftlog.VoterSet{Edition: 1, Names: []string{"n1"}}, Directory: filepath.Join(t.TempDir(), "none")})
	d := &halting{desk{map[string]bool{}}, 0}
	s.Attach(d)
	d.fails = 1
	if s.apply(3, []string{"a", "b"}, false) || s.version != 0 {
		t.Errorf("it goes by version %d", s.version)
	}
	if !s.apply(3, []string{"a", "b"}, false) || s.version != 3 || len(s.own) != 0 {
		t.Errorf("it goes by version %d, own %v", s.version, s.own)
	}
	if !s.apply(4, nil, false) || len(d.out) != 0 {
		t.Errorf("out are %v", d.out)
	}
}
