package raftlog

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/hashicorp/raft"
)

// readStored returns the contents of a testdata file that an earlier build wrote.
func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFormat checks that the encoding of log entries and snapshots does not change. During an upgrade, voters of
// two builds read the same log.
func TestStoredFormat(t *testing.T) {
	want := VoterSet{Edition: 3, Names: []string{"n1", "n2", "n4"}}
	entry, snapshot := readStored(t, "entry.bin"), readStored(t, "snapshot.bin")

	applied := &stateMachine{FSM: &sumMachine{}}
	if got := applied.Apply(&raft.Log{Data: entry}); got != nil {
		t.Fatalf("apply the stored entry: got %v, want nil", got)
	}
	if got := applied.voterSet(); !reflect.DeepEqual(got, want) {
		t.Errorf("unexpected voter set from the stored entry: %+v", got)
	}

	restored := &stateMachine{FSM: &sumMachine{}}
	if err := restored.Restore(io.NopCloser(bytes.NewReader(snapshot))); err != nil {
		t.Fatal(err)
	}
	if got := restored.voterSet(); !reflect.DeepEqual(got, want) {
		t.Errorf("unexpected voter set from the stored snapshot: %+v", got)
	}

	taken, err := applied.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var written sink
	if err := taken.Persist(&written); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), snapshot) {
		t.Errorf("snapshot encoded as %q, want %q", written.Bytes(), snapshot)
	}
}
