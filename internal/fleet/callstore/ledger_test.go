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

	"olivebridge/internal/fleet/raftlog"
)

// apply lets a ledger apply a command, as it comes out of the log.
func apply(t interface{ Fatal(...any) }, l *ledger, c command) any {
	if c.Limits == (Limits{}) {
		c.Limits = ample
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return l.Apply(&raft.Log{Data: data})
}

// ample limits are large enough for whatever a test stores.
var ample = Limits{Retention: time.Hour, MaxEntries: 1000}

// TestCallRunsOnce plays owners, each of which begins calls, sends those that were granted, reports their outcome or
// fails, with requests that come late, twice and out of order, processes given up though they live, and the ledger
// restored from a snapshot. A call that is not idempotent is sent once; one that is, at most by as many owners as may
// have it; an outcome is never changed.
func TestCallRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		const most = 3
		type sends struct{ total, counted int }
		sent := map[string]*sends{}
		outcomes := map[string]string{}
		now := int64(0)
		var earlier []command // that may come once more
		granted := map[Owner]string{}
		calls := uint64(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 50).Draw(t, "ms"))
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			idempotent := key == "k4"
			var c command
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3: // a call begins
				calls++
				o := Owner{fmt.Sprint("n", rapid.IntRange(1, 3).Draw(t, "node")), "h/1", calls}
				c = command{Now: now, Begin: &BeginRequest{
					Key: key, Fingerprint: key, Owner: o, Idempotent: idempotent, MaxOwners: most,
				}}
			case 4, 5, 6: // a call ends
				var some []Owner
				for o := range granted {
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
				end := &EndRequest{Key: granted[o], Owner: o, State: state}
				if state == Answered {
					end.Outcome = &Outcome{Status: 200, Body: []byte(fmt.Sprint(o))}
				}
				if state == Free { // it was never sent, after all
					sent[granted[o]].total--
					sent[granted[o]].counted--
				}
				delete(granted, o)
				c = command{Now: now, End: end}
			case 7: // a node is given up, rightly or not
				failed := process{fmt.Sprint("n", rapid.IntRange(1, 3).Draw(t, "lost")), "h/1"}
				c = command{Now: now, Release: &ReleaseRequest{[]process{failed}}}
			case 8:
				if len(earlier) == 0 {
					continue
				}
				c = earlier[rapid.IntRange(0, len(earlier)-1).Draw(t, "late")]
				if c.Begin == nil && c.End == nil {
					continue
				}
				if c.Begin != nil { // its owner has an answer by now, or has given up: it sends nothing for this one
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
			earlier = append(earlier, c)
			got := apply(t, l, c)
			if v, ok := got.(BeginResult); ok {
				if v.Granted {
					if sent[key] == nil {
						sent[key] = &sends{}
					}
					sent[key].total++
					sent[key].counted++
					granted[c.Begin.Owner] = key
				}
				if v.State == Answered {
					if old, seen := outcomes[key]; seen && old != string(v.Outcome.Body) {
						t.Fatalf("%s had the outcome %s, and now %s", key, old, v.Outcome.Body)
					}
					outcomes[key] = string(v.Outcome.Body)
				}
			}
			for k, o := range sent {
				if k != "k4" && o.total > 1 || o.counted > most {
					t.Fatalf("%s was sent by %d owners, %d in all", k, o.total, o.counted)
				}
			}
		}
	})
}

// TestUnsentCallStaysFree: however often nodes give up a call before they send it, the next owner may have it; a begin
// that was given up is not granted when it comes after the report of that.
func TestUnsentCallStaysFree(t *testing.T) {
	l := newLedger()
	for call := range uint64(20) {
		o := Owner{"n1", "h/1", call}
		begin := command{Begin: &BeginRequest{Key: "a", Fingerprint: "p", Owner: o, MaxOwners: 3}}
		end := command{End: &EndRequest{Key: "a", Fingerprint: "p", Owner: o, State: Free}}
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
	next := &BeginRequest{Key: "a", Fingerprint: "p", Owner: Owner{"n2", "h/1", 1}, MaxOwners: 3}
	if v := apply(t, l, command{Begin: next}).(BeginResult); !v.Granted {
		t.Errorf("after all: %+v", v)
	}
}

// TestReleaseFormat: programs of both builds have to read a release; the first called an incarnation a life.
func TestReleaseFormat(t *testing.T) {
	const form = `{"processes":[{"Name":"n1","Life":"h/1"}]}`
	if said, err := json.Marshal(ReleaseRequest{[]process{{"n1", "h/1"}}}); err != nil || string(said) != form {
		t.Errorf("%s, not %s (%v)", said, form, err)
	}
}
