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

// apply applies a command to a ledger in its log encoding.
func apply(t interface{ Fatal(...any) }, l *ledger, c command) Result {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	result, ok := l.Apply(&raft.Log{Data: data}).(Result)
	if !ok {
		t.Fatal("Apply did not return a Result")
	}
	return result
}

// TestLedgerInvariants applies random commands, some of them late or repeated. At most one round must run at a time,
// and it must have suspended at most one server, its present one. A round must suspend each server at most once,
// servers that operators have suspended must stay suspended, and a snapshot must be complete.
func TestLedgerInvariants(t *testing.T) {
	servers := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		var advances []AdvanceRequest
		suspendedTimes := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			version, suspensions, _ := l.contents()
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
			case 4: // an earlier AdvanceRequest arrives again
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
			result := apply(t, l, c)
			if c.Advance != nil && (result.Rejection == "") != (before != nil && *c.Advance == was) {
				t.Fatalf("advance %+v of a round at %+v: got %+v, want a rejection if and only if they differ",
					c.Advance, was, result)
			}
			newVersion, newSuspensions, rounds := l.contents()
			if (newVersion != version) == maps.Equal(suspensions, newSuspensions) || newVersion < version {
				t.Fatalf("version %d after version %d, but suspensions %v after %v",
					newVersion, version, newSuspensions, suspensions)
			}
			running, suspendedByRounds := 0, 0
			for _, r := range rounds {
				if r.State == Running {
					running++
				}
			}
			for server, suspension := range newSuspensions {
				if suspension.Round == 0 {
					continue
				}
				if _, had := suspensions[server]; !had {
					suspendedTimes[fmt.Sprint(suspension.Round, server)]++
				}
				if suspendedByRounds++; l.runningRound() == nil || l.runningRound().ID != suspension.Round ||
					l.runningRound().Server() != server {
					t.Fatalf("server %s is suspended by round %d, but the running round is %+v",
						server, suspension.Round, l.runningRound())
				}
			}
			if running > 1 || suspendedByRounds > 1 {
				t.Fatalf("%d rounds are running, %d servers are suspended by rounds, want at most 1 of each",
					running, suspendedByRounds)
			}
			for roundAndServer, n := range suspendedTimes {
				if n > 1 {
					t.Fatalf("round and server %s: suspended %d times, want once", roundAndServer, n)
				}
			}
		}
		snap, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := newLedger()
		if err := restored.Restore(io.NopCloser(bytes.NewReader(snap.(raftlog.Snapshot)))); err != nil ||
			!sameState(l, restored) {
			t.Fatalf("restore snapshot: error %v, state before %+v, after %+v", err, l, restored)
		}
	})
}

func sameState(a, b *ledger) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return bytes.Equal(x, y)
}

// TestRoundSkipsSuspended checks that a round through three servers skips the one that an operator has suspended, and
// that the server stays suspended. It also checks the answers to calls about a running or unknown round.
func TestRoundSkipsSuspended(t *testing.T) {
	l := newLedger()
	apply(t, l, command{Suspend: &ServerRequest{"b", "n2"}})
	twice := command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "a"}, 0}}
	if a := apply(t, l, twice); a.Rejection != "a server stands twice" {
		t.Error(a)
	}
	apply(t, l, command{Begin: &BeginRoundRequest{"r", "n1", []string{"a", "b", "c"}, 0}})
	second := command{Begin: &BeginRoundRequest{"q", "n1", []string{"a"}, 0}}
	if a := apply(t, l, second); !strings.HasPrefix(a.Rejection, `another runs: round "r"`) {
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
			if a := apply(t, l, restore); !strings.Contains(a.Rejection, "stop that first") {
				t.Error(a)
			}
		}
		apply(t, l, command{Advance: &AdvanceRequest{r.ID, r.Position, r.Step}})
	}
	_, out, rounds := l.contents()
	if !slices.Equal(drained, []string{"a", "c"}) || len(out) != 1 || out["b"].By != "n2" || rounds[0].State != Done {
		t.Errorf("drained %v, want [a c]; suspended %v, want b by n2; rounds %v, want the first done", drained, out, rounds)
	}
	apply(t, l, command{Begin: &BeginRoundRequest{"s", "n1", []string{"a", "c"}, 0}})
	apply(t, l, command{Advance: &AdvanceRequest{2, 0, Pending}})
	stop := command{Stop: &StopRoundRequest{"s", "said at n3"}}
	if a := apply(t, l, stop); a.Text != `round "s", begun at n1: stopped after 0 of 2 servers: said at n3` {
		t.Error(a)
	}
	if _, out, _ := l.contents(); len(out) != 1 {
		t.Errorf("suspended after the stop: %v, want only b", out)
	}
	if a := apply(t, l, command{Stop: &StopRoundRequest{"none", ""}}); a.Rejection == "" {
		t.Error(a)
	}
}
