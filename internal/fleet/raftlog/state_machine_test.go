package raftlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/hashicorp/raft"
)

// sink is a raft.SnapshotSink in memory.
type sink struct{ bytes.Buffer }

func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }
func (*sink) ID() string    { return "" }

// TestVoterSetInSnapshot checks that a snapshot includes the voter set, and that snapshots from builds without voter
// sets are still restored.
func TestVoterSetInSnapshot(t *testing.T) {
	s := &stateMachine{FSM: &sumMachine{}}
	line, _ := json.Marshal(VoterSet{3, []string{"x"}})
	s.Apply(&raft.Log{Data: append([]byte{voterSetMarker}, line...)})
	s.Apply(&raft.Log{Data: append([]byte{voterSetMarker}, `{"edition":2,"names":["y"]}`...)}) // an earlier edition
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var out sink
	if err := snap.Persist(&out); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]VoterSet{out.String(): {3, []string{"x"}}, `{}`: {}} {
		restored := &stateMachine{FSM: &sumMachine{}}
		err := restored.Restore(io.NopCloser(bytes.NewBufferString(text)))
		if err != nil || fmt.Sprint(restored.voterSet()) != fmt.Sprint(want) {
			t.Errorf("restore %q: unexpected voter set %v, error %v", text, restored.voterSet(), err)
		}
	}
	if err := (&stateMachine{FSM: &sumMachine{}}).Restore(io.NopCloser(bytes.NewBufferString("\x01{"))); err == nil {
		t.Error("Restore returned no error for a truncated snapshot")
	}
}
