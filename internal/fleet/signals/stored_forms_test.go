package signals

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// A word is read by nodes of other builds.
func TestWordKeepsItsBytes(t *testing.T) {
	path := filepath.Join("testdata", "word.msgpack")
	want := Word{From: "n1", Incarnation: "0123456789abcdef/4", Number: 300, Seen: []Seen{
		{Peer{1 << 63, 1764000000000000000}, Failed, 1500 * time.Millisecond}, {Peer{2, 7}, Good, 0}, {Peer{3, -1}, Missed, time.Second}}}
	text, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(text, data) {
		t.Errorf("wrote %q, want %q, %v", text, data, err)
	}
	if got, err := decode(data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
}
