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

// apply applies a command to a ledger in its log encoding. A command without limits gets ampleLimits.
func apply(t interface{ Fatal(...any) }, l *ledger, c command) any {
	if c.Limits == (Limits{}) {
		c.Limits = ampleLimits
	}
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return l.Apply(&raft.Log{Data: data})
}

// ampleLimits holds limits that no test reaches.
var ampleLimits = Limits{Retention: time.Hour, MaxEntries: 1000}

// TestCallRunsOnce simulates owners that begin calls, send the granted ones, and report their outcome or fail. Requests
// arrive late, repeatedly and out of order, live processes are released, and the ledger is restored from snapshots.
// A call that is not idempotent must be sent at most once, an idempotent call by at most MaxOwners owners, and a stored
// outcome must never change.
func TestCallRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger()
		const maxOwners = 3
		type sends struct{ total, counted int }
		sent := map[string]*sends{}
		outcomes := map[string]string{}
		now := int64(0)
		var earlier []command // commands that may be applied again
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
					Key: key, Fingerprint: key, Owner: o, Idempotent: idempotent, MaxOwners: maxOwners,
				}}
			case 4, 5, 6: // a call ends
				var owners []Owner
				for o := range granted {
					owners = append(owners, o)
				}
				if len(owners) == 0 {
					continue
				}
				o := owners[0]
				for _, other := range owners { // the earliest owner, because map order would make replays differ
					if other.Call < o.Call {
						o = other
					}
				}
				state := rapid.SampledFrom([]State{Answered, Unknown, Free}).Draw(t, "state")
				end := &EndRequest{Key: granted[o], Owner: o, State: state}
				if state == Answered {
					end.Outcome = &Outcome{Status: 200, Body: []byte(fmt.Sprint(o))}
				}
				if state == Free { // the owner did not send the call
					sent[granted[o]].total--
					sent[granted[o]].counted--
				}
				delete(granted, o)
				c = command{Now: now, End: end}
			case 7: // a process is released, whether it has failed or not
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
				if c.Begin != nil { // the owner has a response or has stopped waiting, so it does not send the call
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
						t.Fatalf("outcome of %s changed from %s to %s", key, old, v.Outcome.Body)
					}
					outcomes[key] = string(v.Outcome.Body)
				}
			}
			for k, o := range sent {
				if k != "k4" && o.total > 1 || o.counted > maxOwners {
					t.Fatalf("call %s: sent by %d owners, %d of them counted towards MaxOwners", k, o.total, o.counted)
				}
			}
		}
	})
}

// TestUnsentCallStaysFree checks that owners that end a call without sending it do not count towards MaxOwners: the
// next owner is still granted the call. A BeginRequest that arrives after its owner's report of Free is not granted.
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
			t.Fatalf("call %d, reported as free before begin: %v: got %+v", call, late, v)
		}
		if !late {
			apply(t, l, end)
		}
	}
	next := &BeginRequest{Key: "a", Fingerprint: "p", Owner: Owner{"n2", "h/1", 1}, MaxOwners: 3}
	if v := apply(t, l, command{Begin: next}).(BeginResult); !v.Granted {
		t.Errorf("begin after 20 unsent attempts: got %+v, want Granted", v)
	}
}

// TestReleaseFormat checks the JSON encoding of a ReleaseRequest, which earlier builds read and write too. Their name
// for an incarnation is Life.
func TestReleaseFormat(t *testing.T) {
	const want = `{"processes":[{"Name":"n1","Life":"h/1"}]}`
	if got, err := json.Marshal(ReleaseRequest{[]process{{"n1", "h/1"}}}); err != nil || string(got) != want {
		t.Errorf("ReleaseRequest encoded as %s, want %s (error %v)", got, want, err)
	}
}

// TestChangedIdempotency guards against a call that runs twice after a reload: a free call that begins again has the
// idempotency of its new owner's request, which decides what becomes of it when that owner is lost.
func TestChangedIdempotency(t *testing.T) {
	l := newLedger()
	begin := func(owner Owner, idempotent bool) BeginResult {
		request := BeginRequest{Key: "k", Fingerprint: "f", Owner: owner, Idempotent: idempotent, MaxOwners: 3}
		return apply(t, l, command{Begin: &request}).(BeginResult)
	}
	lose := func(o Owner) { apply(t, l, command{Release: &ReleaseRequest{Processes: []process{o.process()}}}) }
	first, second := Owner{"n1", "h/1", 1}, Owner{"n2", "h/1", 1}
	if got := begin(first, true); !got.Granted {
		t.Fatalf("got %+v, want the call granted", got)
	}
	lose(first)
	if got := begin(second, false); !got.Granted { // the class has changed meanwhile
		t.Fatalf("got %+v, want the free call granted", got)
	}
	lose(second)
	if got := begin(Owner{"n3", "h/1", 1}, false); got.Granted || got.State != Unknown {
		t.Errorf("after the loss of the second owner: got %+v, want the call unknown", got)
	}
}
