package record

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// TestStoredFormat checks that the encoding of a record does not change: later builds read and append to the file.
func TestStoredFormat(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	want := []Line{
		{At: 439868673730, Node: "n1", PID: 20860, Kind: "keeps-work", Data: json.RawMessage(`7`)},
		{At: 439868761509, Node: "n1", PID: 20860, Kind: "begun", Data: json.RawMessage(`{"key":"k1"}`)},
		{At: 439868780548, Node: "n1", PID: 20860, Kind: "ended"},
	}
	lines := bytes.Split(bytes.TrimSpace(stored), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("stored record has %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var got Line
		if err := json.Unmarshal(line, &got); err != nil {
			t.Fatalf("decode %s: %v", line, err)
		}
		if got.At != want[i].At || got.Node != want[i].Node || got.PID != want[i].PID || got.Kind != want[i].Kind ||
			!bytes.Equal(got.Data, want[i].Data) {
			t.Errorf("unexpected value decoded from %s: %+v", line, got)
		}
		written, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(written, line) {
			t.Errorf("%s encoded again as %s, want no change", line, written)
		}
	}
}
