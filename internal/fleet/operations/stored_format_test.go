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

// readStored returns the contents of a testdata file that an earlier build wrote.
func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// readLines returns the lines of a testdata file that an earlier build wrote.
func readLines(t *testing.T, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSpace(readStored(t, name)), []byte("\n"))
}

// reencode decodes a line of JSON into a value, and returns the value's JSON encoding. Unknown fields fail the test.
func reencode(t *testing.T, line []byte, into any) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("decode %s: %v", line, err)
	}
	data, err := json.Marshal(into)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStoredFormat checks that the encoding of log entries and snapshots does not change. During an upgrade, voters of
// two builds read the same log.
func TestStoredFormat(t *testing.T) {
	l := newLedger()
	for _, line := range readLines(t, "entries.jsonl") {
		if got := reencode(t, line, &command{}); !bytes.Equal(got, line) {
			t.Errorf("log entry encoded as %s, want %s", got, line)
		}
		if err, failed := l.Apply(&raft.Log{Data: line}).(error); failed {
			t.Errorf("apply %s: %v", line, err)
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
			t.Errorf("snapshot encoded as %s, want %s", got, want)
		}
	}
}

// TestMessageFormat checks that the encoding of messages between nodes does not change. During an upgrade, nodes of two
// builds exchange messages.
func TestMessageFormat(t *testing.T) {
	for _, line := range readLines(t, "messages.jsonl") {
		var message any = &request{}
		if bytes.Contains(line, []byte(`"answer"`)) {
			message = &response{}
		}
		if got := reencode(t, line, message); !bytes.Equal(got, line) {
			t.Errorf("message encoded as %s, want %s", got, line)
		}
	}
}

// TestRecordFormat checks that the encoding of recorded events does not change. Package internal/lab/fleet reads them.
func TestRecordFormat(t *testing.T) {
	lines := readLines(t, "record.jsonl")
	events := []any{&SuspensionsRecord{}, &StepRecord{}}
	for i, line := range lines {
		if got := reencode(t, line, events[i]); !bytes.Equal(got, line) {
			t.Errorf("event encoded as %s, want %s", got, line)
		}
	}
}
