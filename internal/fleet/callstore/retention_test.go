package callstore

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// TestRetentionAndCapacity checks that no entry is dropped before it expires, even if the ledger is full, and that a
// running call never expires.
func TestRetentionAndCapacity(t *testing.T) {
	l, limits := newLedger(), Limits{Retention: 10 * time.Second, MaxEntries: 3}
	begin := func(now int64, key string, call uint64) BeginResult {
		request := &BeginRequest{Key: key, Fingerprint: "p", Owner: Owner{"n1", "h/1", call}}
		return apply(t, l, command{Now: now, Limits: limits, Begin: request}).(BeginResult)
	}
	for i, key := range []string{"a", "b", "c"} {
		if v := begin(0, key, uint64(i)); !v.Granted {
			t.Fatalf("begin %s: got %+v, want Granted", key, v)
		}
	}
	end := &EndRequest{Key: "a", Owner: Owner{"n1", "h/1", 0}, State: Answered, Outcome: &Outcome{Status: 200}}
	apply(t, l, command{Now: 1000, Limits: limits, End: end})
	if v := begin(10900, "d", 9); !v.StoreFull {
		t.Errorf("begin of a fourth call in a full ledger: got %+v, want StoreFull", v)
	}
	if v := begin(10900, "a", 10); v.State != Answered || v.Outcome.Status != 200 {
		t.Errorf("begin just before the answered call expires: got %+v, want Answered with status 200", v)
	}
	if v := begin(11100, "d", 11); !v.Granted {
		t.Errorf("begin after the answered call has expired: got %+v, want Granted", v)
	}
	if v := begin(99000, "b", 12); v.Granted || v.State != Running {
		t.Errorf("begin of a call that is running: got %+v, want Running", v)
	}
	if v := apply(t, l, command{Begin: &BeginRequest{Key: "b", Fingerprint: "other"}}).(BeginResult); !v.KeyConflict {
		t.Errorf("begin of another request with the same key: got %+v, want KeyConflict", v)
	}
	if _, bad := l.Apply(&raft.Log{Data: []byte("{}")}).(error); !bad {
		t.Error("Apply returned no error for an empty log entry")
	}
}
