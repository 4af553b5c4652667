package operations

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

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

// TestLedgerInvariants: whatever operators call and voters do, late and twice: one round runs at a time and has
// suspended one server at most, its present one; each server is suspended once in a round; what operators have
// suspended stays so; and a snapshot is complete.
func TestLedgerInvariants(t *testing.T) {
	servers := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		var advances []AdvanceRequest
		suspendedTimes := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			version, out, _ := l.contents()
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
				if len(advances) == 0 {
					continue
				}
				earlier := rapid.SampledFrom(advances).Draw(t, "move")
				c.Advance = &earlier
			default:
				r := l.runningRound()
				if r == nil {
					continue
				}
				c.Advance = &AdvanceRequest{r.ID, r.Position, r.Step}
				advances = append(advances, *c.Advance)
			}
			before := l.runningRound()
			was := AdvanceRequest{}
			if before != nil {
				was = AdvanceRequest{before.ID, before.Position, before.Step}
			}
			a := do(t, l, c)
			if c.Advance != nil && (a.Rejection == "") != (before != nil && *c.Advance == was) {
				t.Fatalf("%+v is taken though the round is at %+v: %+v", c.Advance, was, a)
			}
			now, outNow, rounds := l.contents()
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
					suspendedTimes[fmt.Sprint(o.Round, server)]++
				}
				if by++; l.runningRound() == nil || l.runningRound().ID != o.Round || l.runningRound().Server() != server {
					t.Fatalf("%s is out by round %d: %+v", server, o.Round, l.runningRound())
				}
			}
			if runs > 1 || by > 1 {
				t.Fatalf("%d rounds run, %d servers are out by them", runs, by)
			}
			for what, n := range suspendedTimes {
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

// TestRoundSkipsSuspended: a round through three servers, of which an operator has suspended one.
func TestRoundSkipsSuspended(t *testing.T) {
	l := newLedger()
	do(t, l, command{Suspend: &ServerRequest{"b", "n2"}})
	twice := command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "a"}, 0}}
	if a := do(t, l, twice); a.Rejection != "a server stands twice" {
		t.Error(a)
	}
	do(t, l, command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "b", "c"}, 0}})
	second := command{Begin: &BeginRoundRequest{"q", "n1", []string{"a"}, 0}}
	if a := do(t, l, second); !strings.HasPrefix(a.Rejection, `another runs: round "r"`) {
		t.Error(a)
	}
	var drained []string
	for range 20 {
		r := l.runningRound()
		if r == nil {
			break
		}
		if r.Step == Drained {
			drained = append(drained, r.Server())
			restore := command{Restore: &ServerRequest{r.Server(), "n1"}}
			if a := do(t, l, restore); !strings.Contains(a.Rejection, "stop that first") {
				t.Error(a)
			}
		}
		do(t, l, command{Advance: &AdvanceRequest{r.ID, r.Position, r.Step}})
	}
	_, out, rounds := l.contents()
	if !slices.Equal(drained, []string{"a", "c"}) || len(out) != 1 || out["b"].By != "n2" || rounds[0].State != Done {
		t.Errorf("out were %v, is %v; %v", drained, out, rounds)
	}
	do(t, l, command{Begin: &BeginRoundRequest{"s", "n1", []string{"a", "c"}, 0}})
	do(t, l, command{Advance: &AdvanceRequest{2, 0, Pending}})
	stop := command{Stop: &StopRoundRequest{"s", "said at n3"}}
	if a := do(t, l, stop); a.Text != `round "s", begun at n1: stopped after 0 of 2 servers: said at n3` {
		t.Error(a)
	}
	if _, out, _ := l.contents(); len(out) != 1 {
		t.Errorf("after the stop %v are out", out)
	}
	if a := do(t, l, command{Stop: &StopRoundRequest{"none", ""}}); a.Rejection == "" {
		t.Error(a)
	}
}
