package choices

import (
	"encoding/json"
	"os"
	"testing"
)

// Other builds than the one that wrote a record read it, so its encoding must not change.
func TestRecordKeepsItsBytes(t *testing.T) {
	for path, value := range map[string]any{
		"testdata/chose.json":  ChoiceRecord{View: 4, Nodes: 3, Zones: 2, Servers: 60, Chosen: []uint64{1, 2}},
		"testdata/failed.json": FailureRecord{Server: 7, Probe: true},
	} {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if want, err := os.ReadFile(path); err != nil || string(text) != string(want) {
			t.Errorf("%s: wrote %q, want %q, %v", path, text, want, err)
		}
	}
}
