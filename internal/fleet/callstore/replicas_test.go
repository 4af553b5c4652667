package callstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivebridge/internal/fleet/raftlog"
)

// TestReplicasAgree checks that two ledgers that apply the same log have the same state, although one of them is
// restored from snapshots and the limits change from entry to entry. Expired entries must also leave the index and the
// byte count.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other, now := newLedger(), newLedger(), int64(0)
		for n := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now += int64(rapid.IntRange(0, 40).Draw(t, "ms"))
			key := fmt.Sprint("k", rapid.IntRange(0, 6).Draw(t, "key"))
			owner := Owner{fmt.Sprint("n", rapid.IntRange(1, 2).Draw(t, "node")), "h/1", n}
			retention := time.Duration(rapid.IntRange(50, 500).Draw(t, "window")) * time.Millisecond
			limits := Limits{Retention: retention, MaxEntries: rapid.IntRange(2, 8).Draw(t, "most")}
			c := command{Now: now, Limits: limits}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				c.Begin = &BeginRequest{Key: key, Fingerprint: key, Owner: owner, Idempotent: key == "k0", MaxOwners: 2}
			case 2, 3:
				if e := one.Entries[key]; e != nil {
					owner = e.Owner
				}
				state := rapid.SampledFrom([]State{Answered, Unknown, Free}).Draw(t, "state")
				c.End = &EndRequest{Key: key, Fingerprint: key, Owner: owner, State: state}
				if state == Answered {
					c.End.Outcome = &Outcome{Status: 200, Body: make([]byte, 10)}
				}
			default:
				c.Release = &ReleaseRequest{[]process{owner.process()}}
			}
			v, _ := json.Marshal(apply(t, one, c))
			w, _ := json.Marshal(apply(t, other, c))
			if !bytes.Equal(v, w) {
				t.Fatalf("replicas returned different results: %s and %s", v, w)
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
				t.Fatalf("replicas differ after step %d:\n%s\n%s", n, a, b)
			}
			indexed, size := len(other.index.expiring), 0
			for _, all := range other.index.running {
				indexed += len(all)
			}
			for _, e := range other.Entries {
				size += e.bodySize()
			}
			if indexed != len(other.Entries) || size != other.outcomeBytes {
				t.Fatalf("%d entries, but %d in the index; or %d body bytes, but outcomeBytes %d",
					len(other.Entries), indexed, size, other.outcomeBytes)
			}
		}
	})
}
