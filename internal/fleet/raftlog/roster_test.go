package raftlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"
)

// Whoever keeps a log and whoever is to, step by step one becomes the other, wherever enough can be reached: the leader never
// takes itself out, a vote goes to nobody who is not reached, and whoever is wanted stays.
func TestNext(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID[string])
		voters, want := some.Draw(t, "voters"), some.Draw(t, "want")
		dead := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "dead")
		self := rapid.SampledFrom(voters).Draw(t, "self")
		reached := func(n string) bool { return n == self || !slices.Contains(dead, n) }
		var others []string
		for range 30 {
			s := Next(self, voters, others, want, reached)
			switch {
			case s == Step{}:
				for _, n := range names {
					if is, should := slices.Contains(voters, n), slices.Contains(want, n); is != should && !slices.ContainsFunc(want, func(w string) bool { return !reached(w) }) {
						t.Fatalf("in the end %v, others %v, want %v, dead %v, led by %s", voters, others, want, dead, self)
					}
				}
				return
			case s.Remove == self, s.Remove != "" && slices.Contains(want, s.Remove):
				t.Fatalf("%s is taken out; led by %s, want %v", s.Remove, self, want)
			case s.Vote != "" && !reached(s.Vote), s.Yield != "" && (!reached(s.Yield) || !slices.Contains(voters, s.Yield)):
				t.Fatalf("%+v, voters %v, dead %v", s, voters, dead)
			}
			gone := func(n string) bool { return n == s.Remove || n == s.Vote }
			voters, others = slices.DeleteFunc(voters, gone), slices.DeleteFunc(others, gone)
			if s.Vote != "" {
				voters = append(voters, s.Vote)
			}
			if s.Add != "" {
				others = append(others, s.Add)
			}
			if s.Yield != "" {
				self = s.Yield
			}
		}
		t.Fatal("it never ends")
	})
}

// pipes are the ways between voters of one test.
type pipes struct {
	mu     sync.Mutex
	layers map[string]*StreamLayer
}

func (p *pipes) layer(name string) *StreamLayer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.layers[name] = NewStreamLayer(name, func(to string, _ time.Duration) (net.Conn, error) {
		p.mu.Lock()
		l := p.layers[to]
		p.mu.Unlock()
		if l == nil {
			return nil, errors.New("nobody there")
		}
		a, b := net.Pipe()
		go l.Serve(b)
		return a, nil
	})
	return p.layers[name]
}

func (p *pipes) cut(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.layers, name)
}

func (p *pipes) open(t *testing.T, name string, r VoterSet, s *sum) *Log {
	t.Helper()
	l, err := Open(t.TempDir(), name, r, p.layer(name), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// leads waits until one of some voters leads.
func leads(t *testing.T, all ...*Log) *Log {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, l := range all {
			if l.IsLeader() && l.VerifyLeader() == nil {
				return l
			}
		}
	}
	t.Fatal("nobody leads")
	return nil
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A voter is lost for good, and another takes its place: from then on the log goes on without a second of the first ones. A file
// of an earlier edition changes nothing back.
func TestVotersChange(t *testing.T) {
	p := &pipes{layers: map[string]*StreamLayer{}}
	first, second := VoterSet{1, []string{"a", "b", "c"}}, VoterSet{2, []string{"a", "c", "d"}}
	logs, sums := map[string]*Log{}, map[string]*sum{}
	for _, n := range first.Names {
		sums[n] = &sum{}
		logs[n] = p.open(t, n, first, sums[n])
	}
	if _, err := leads(t, logs["a"], logs["b"], logs["c"]).Propose(7); err != nil {
		t.Fatal(err)
	}
	p.cut("b")
	logs["b"].Close()
	sums["d"] = &sum{}
	logs["d"] = p.open(t, "d", second, sums["d"]) // which waits to be taken in
	logs["a"].SetVoters(second)
	logs["c"].SetVoters(second)
	await(t, "the new voter has no vote", func() bool {
		for _, n := range []string{"a", "c"} {
			l := logs[n]
			if l.IsLeader() && l.votes("d") && !l.votes("b") && len(l.servers()) == 3 {
				return true
			}
		}
		return false
	})
	old := leads(t, logs["a"], logs["c"])
	old.SetVoters(VoterSet{1, []string{"a", "b", "c"}}) // an earlier edition is nothing new
	if got, err := old.Propose(1); err != nil || got != 8 {
		t.Fatalf("%v, %v", got, err)
	}
	await(t, "the new voter does not hear what was agreed on", func() bool {
		sums["d"].mu.Lock()
		defer sums["d"].mu.Unlock()
		return sums["d"].Total == 8
	})
	name := "a" // the leader is lost, too
	if old == logs["c"] {
		name = "c"
	}
	p.cut(name)
	old.Close()
	rest := []*Log{logs["d"]}
	for _, n := range []string{"a", "c"} {
		if n != name {
			rest = append(rest, logs[n])
		}
	}
	if got, err := leads(t, rest...).Propose(1); err != nil || got != 9 {
		t.Errorf("with two of the second three: %v, %v", got, err)
	}
}

// The leader that is no voter any more lets another lead, and is told that it is gone.
func TestLeaderGoes(t *testing.T) {
	p := &pipes{layers: map[string]*StreamLayer{}}
	a := p.open(t, "a", VoterSet{1, []string{"a"}}, &sum{})
	leads(t, a)
	second := VoterSet{2, []string{"b"}}
	s := &sum{}
	b := p.open(t, "b", second, s)
	if _, err := a.Propose(5); err != nil {
		t.Fatal(err)
	}
	a.SetVoters(second)
	select {
	case <-a.Removed():
	case <-time.After(30 * time.Second):
		t.Fatal("it is not told that it is gone")
	}
	if got, err := leads(t, b).Propose(1); err != nil || got != 6 {
		t.Errorf("%v, %v", got, err)
	}
	await(t, "it is a voter still", func() bool { return len(b.servers()) == 1 && b.votes("b") })
}

// sink takes a snapshot in.
type sink struct{ bytes.Buffer }

func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }
func (*sink) ID() string    { return "" }

// A roster goes with a snapshot; one of a program that knew of none is read, too.
func TestRosterInSnapshot(t *testing.T) {
	s := &state{FSM: &sum{}}
	line, _ := json.Marshal(VoterSet{3, []string{"x"}})
	s.Apply(&raft.Log{Data: append([]byte{rosterMark}, line...)})
	s.Apply(&raft.Log{Data: append([]byte{rosterMark}, `{"edition":2,"names":["y"]}`...)}) // an earlier one
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var out sink
	if err := snap.Persist(&out); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]VoterSet{out.String(): {3, []string{"x"}}, `{}`: {}} {
		again := &state{FSM: &sum{}}
		if err := again.Restore(io.NopCloser(bytes.NewBufferString(text))); err != nil || fmt.Sprint(again.agreed()) != fmt.Sprint(want) {
			t.Errorf("%q: %v, %v", text, again.agreed(), err)
		}
	}
	if err := (&state{FSM: &sum{}}).Restore(io.NopCloser(bytes.NewBufferString("\x01{"))); err == nil {
		t.Error("a snapshot that was cut short is taken")
	}
}
