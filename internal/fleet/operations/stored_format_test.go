package operations

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/raftlog"
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

// readLines returns the lines of such a file.
func readLines(t *testing.T, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSpace(readStored(t, name)), []byte("\n"))
}

// reencode decodes a line into a value and returns how that is encoded.
func reencode(t *testing.T, line []byte, into any) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	data, err := json.Marshal(into)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFormat guards against a change of the bytes of log entries and snapshots: voters of both builds read them.
func TestStoredFormat(t *testing.T) {
	l := newLedger()
	for _, line := range readLines(t, "entries.jsonl") {
		if got := reencode(t, line, &command{}); !bytes.Equal(got, line) {
			t.Errorf("an entry is written as %s, not %s", got, line)
		}
		if err, failed := l.Apply(&raft.Log{Data: line}).(error); failed {
			t.Errorf("%s: %v", line, err)
		}
	}
	want := readStored(t, "snapshot.json")
	restored := newLedger()
	if err := restored.Restore(io.NopCloser(bytes.NewReader(want))); err != nil {
		t.Fatal(err)
	}
	for _, one := range []*ledger{l, restored} {
		snapshot, err := one.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if got := snapshot.(raftlog.Snapshot); !bytes.Equal(got, want) {
			t.Errorf("the snapshot is written as %s, not %s", got, want)
		}
	}
}

// TestMessageFormat guards against a change of the bytes between nodes, of which some run another build for a while.
func TestMessageFormat(t *testing.T) {
	for _, line := range readLines(t, "messages.jsonl") {
		var message any = &request{}
		if bytes.Contains(line, []byte(`"answer"`)) {
			message = &response{}
		}
		if got := reencode(t, line, message); !bytes.Equal(got, line) {
			t.Errorf("a message is written as %s, not %s", got, line)
		}
	}
}

// TestRecordFormat guards against a change of the record's events, which internal/lab/fleet reads.
func TestRecordFormat(t *testing.T) {
	lines := readLines(t, "record.jsonl")
	events := []any{&SuspensionsRecord{}, &StepRecord{}}
	for i, line := range lines {
		if got := reencode(t, line, events[i]); !bytes.Equal(got, line) {
			t.Errorf("an event is written as %s, not %s", got, line)
		}
	}
}
