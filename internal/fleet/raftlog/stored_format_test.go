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

// readStored returns a file as an earlier program wrote it.
func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFormat guards against a change of the bytes of log entries and snapshots: voters of both builds read them.
func TestStoredFormat(t *testing.T) {
	want := VoterSet{Edition: 3, Names: []string{"n1", "n2", "n4"}}
	entry, snapshot := readStored(t, "entry.bin"), readStored(t, "snapshot.bin")

	applied := &stateMachine{FSM: &sum{}}
	if got := applied.Apply(&raft.Log{Data: entry}); got != nil {
		t.Fatalf("the entry is not applied: %v", got)
	}
	if got := applied.voterSet(); !reflect.DeepEqual(got, want) {
		t.Errorf("from the entry: %+v", got)
	}

	restored := &stateMachine{FSM: &sum{}}
	if err := restored.Restore(io.NopCloser(bytes.NewReader(snapshot))); err != nil {
		t.Fatal(err)
	}
	if got := restored.voterSet(); !reflect.DeepEqual(got, want) {
		t.Errorf("from the snapshot: %+v", got)
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
		t.Errorf("the snapshot is written as %q, not %q", written.Bytes(), snapshot)
	}
}
