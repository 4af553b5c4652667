package callstore

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// TestRetentionAndCapacity: no entry is dropped before it expires, also when the ledger is full; a call that runs never
// is.
func TestRetentionAndCapacity(t *testing.T) {
	l, limits := newLedger(), Limits{Retention: 10 * time.Second, MaxEntries: 3}
	begin := func(now int64, key string, call uint64) BeginResult {
		request := &BeginRequest{Key: key, Fingerprint: "p", Owner: Owner{"n1", "h/1", call}}
		return apply(t, l, command{Now: now, Limits: limits, Begin: request}).(BeginResult)
	}
	for i, key := range []string{"a", "b", "c"} {
		if v := begin(0, key, uint64(i)); !v.Granted {
			t.Fatalf("%s: %+v", key, v)
		}
	}
	end := &EndRequest{Key: "a", Owner: Owner{"n1", "h/1", 0}, State: Answered, Outcome: &Outcome{Status: 200}}
	apply(t, l, command{Now: 1000, Limits: limits, End: end})
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
