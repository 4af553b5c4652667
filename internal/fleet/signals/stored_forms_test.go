package signals

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// Nodes of different builds exchange reports, so their encoding must not change.
func TestReportKeepsItsBytes(t *testing.T) {
	path := filepath.Join("testdata", "word.msgpack")
	want := Report{From: "n1", Incarnation: "0123456789abcdef/4", Number: 300, Observations: []Observation{
		{Server{1 << 63, 1764000000000000000}, Failing, 1500 * time.Millisecond},
		{Server{2, 7}, Recovered, 0},
		{Server{3, -1}, Missed, time.Second},
	}}
	text, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(text, data) {
		t.Errorf("wrote %q, want %q, %v", text, data, err)
	}
	if got, err := decode(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, which is not the report that was written, %v", got, err)
	}
}
