package operations

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
)

// fakeControl is a ServerControl with three listed servers.
type fakeControl struct{ suspended map[string]bool }

func (c *fakeControl) Suspend(s string) error { c.suspended[s] = true; return nil }

func (c *fakeControl) Restore(s string) error { delete(c.suspended, s); return nil }

func (c *fakeControl) Suspended() []string { return slices.Sorted(maps.Keys(c.suspended)) }

func (c *fakeControl) Busy(string) int { return 0 }

func (c *fakeControl) Listed() []string { return []string{"a", "b", "c"} }

func (c *fakeControl) Known(s string) bool { return slices.Contains(c.Listed(), s) }

// TestOperatorCalls checks operators' calls and their answers in a fleet of one node, and that suspended servers are
// suspended again after a restart.
func TestOperatorCalls(t *testing.T) {
	dir := t.TempDir()
	self := member.Member{Name: "n1", State: member.Alive, Incarnation: member.Incarnation{Home: "x", Number: 1}}
	view := &member.View{Self: "n1", Members: []member.Member{self}}
	config := Config{
		Name:      "n1",
		Voters:    raftlog.VoterSet{Edition: 1, Names: []string{"n1"}},
		Directory: dir,
		View:      func() *member.View { return view },
	}
	s, control := New(config), &fakeControl{map[string]bool{"c": true}}
	if _, err := s.Execute([]string{"STATUS"}); err == nil || err.Error() != "the node is starting" {
		t.Error(err)
	}
	s.Attach(control)
	s.Start("x/1")
	await := func(description string, condition func(text string, err error) bool, words ...string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			text, err := s.Execute(words)
			if condition(text, err) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: condition not met within 20 s; last answer %q, error %v", description, text, err)
			}
		}
	}
	succeeds := func(_ string, err error) bool { return err == nil }
	await("suspend a", succeeds, "SUSPEND", "a")
	await("suspend c, which an operator has suspended at this node", succeeds, "SUSPEND", "c")
	await("a and c suspended", func(text string, _ error) bool { return strings.Contains(text, "word: [a c]") }, "STATUS")
	await("begin a round", succeeds, "ROUND", "r", "1ms", "ALL")
	await("round done", func(text string, _ error) bool { return strings.Contains(text, "done, 3 servers") }, "STATUS")
	await("restore c", succeeds, "RESTORE", "c")
	await("only a suspended", func(text string, _ error) bool { return strings.Contains(text, "word: [a]") }, "STATUS")
	if !slices.Equal(control.Suspended(), []string{"a", "c"}) { // an operator had suspended c at this node alone
		t.Errorf("suspended at the node: %v, want [a c]", control.Suspended())
	}
	for words, want := range map[string]string{
		"":               "FLEET wants",
		"SUSPEND":        "FLEET wants",
		"SUSPEND x":      `named server "x"`,
		"ROUND r 1s x":   `named server "x"`,
		"ROUND r soon a": `hold: not a time`,
		"STOP none":      "no round",
		"JUMP":           "FLEET wants",
	} {
		if _, err := s.Execute(strings.Fields(words)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("call %q: unexpected error %v", words, err)
		}
	}
	s.Stop()
	restarted := &fakeControl{map[string]bool{}}
	New(config).Attach(restarted)
	if !restarted.suspended["a"] {
		t.Errorf("suspended after a restart: %v, want a", restarted.suspended)
	}
	if err := os.WriteFile(filepath.Join(dir, "out.json"), []byte(`["a`), 0o600); err != nil {
		t.Fatal(err)
	}
	New(config).Attach(&fakeControl{map[string]bool{}}) // an unreadable file is ignored; the leader's response replaces it
}
