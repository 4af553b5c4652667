package member

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// readTestdata returns the content of a file that an earlier build wrote.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requireTestdata fails the test unless the bytes are those that the earlier build wrote.
func requireTestdata(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readTestdata(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote %q, want %q", name, got, want)
	}
}

// A changed packet header would prevent communication between nodes of two builds.
func TestPacketEncodingIsStable(t *testing.T) {
	requireTestdata(t, "packet", encodePacket("calder", "n1", 7, []byte("payload")))
	sender, number, payload, err := decodePacket("calder", readTestdata(t, "packet"))
	if err != nil || sender != "n1" || number != 7 || string(payload) != "payload" {
		t.Errorf("got sender %q, number %d, payload %q, error %v", sender, number, payload, err)
	}
}

// Changed metadata would make nodes of other builds reject this node.
func TestMetadataEncodingIsStable(t *testing.T) {
	want := metadata{Zone: "derby", Home: "0123456789abcdef", Number: 3, Settled: true, Leaving: true, Predecessor: true}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, "metadata.json", text)
	if got, err := decodeMetadata(readTestdata(t, "metadata.json")); err != nil || got != want {
		t.Errorf("got metadata %+v, error %v", got, err)
	}
}

// A message about a member must keep the encoding of the memberlist library.
func TestSWIMMessageEncodingIsStable(t *testing.T) {
	var text []byte
	message := swimMessage{Incarnation: 8192, Node: "n2", From: "n1"}
	if err := codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).Encode(&message); err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, "suspect.msgpack", append([]byte{suspectMessage}, text...))
	var got []swimMessage
	forEachSWIMMessage(readTestdata(t, "suspect.msgpack"), func(r swimMessage) { got = append(got, r) })
	message.kind = suspectMessage
	if !reflect.DeepEqual(got, []swimMessage{message}) {
		t.Errorf("%+v", got)
	}
}

// A node that could not read its directory after an upgrade would start with a new home and count as another node.
func TestDirectoryFileFormatsAreStable(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, incarnationFile)
	record := incarnationRecord{Version: incarnationFileVersion, Name: "n1", Home: "0123456789abcdef", Number: 4}
	if err := writeFileAtomically(path, record); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, incarnationFile, written)
	if err := os.WriteFile(path, readTestdata(t, incarnationFile), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := beginIncarnation(dir, "n1"); err != nil || got != (Incarnation{Home: "0123456789abcdef", Number: 5}) {
		t.Errorf("got incarnation %v, error %v", got, err)
	}
	view := &View{Self: "n1", Members: []Member{{Name: "n1", Addr: "127.0.0.1:1", State: Alive},
		{Name: "n2", Addr: "127.0.0.2:7946", State: Alive}, {Name: "n3", Addr: "[::1]:7946", State: Suspect}}}
	if err := writeKnownAddrs(dir, view); err != nil {
		t.Fatal(err)
	}
	if written, err = os.ReadFile(filepath.Join(dir, knownAddrsFile)); err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, knownAddrsFile, written)
	if got := readKnownAddrs("testdata"); !reflect.DeepEqual(got, []string{"127.0.0.2:7946", "[::1]:7946"}) {
		t.Errorf("%v", got)
	}
}

// Records are checked by other builds than the one that wrote them.
func TestRecordEncodingIsStable(t *testing.T) {
	view := View{Number: 9, Self: "n1", Members: []Member{{
		Name: "n1", Zone: "derby", Addr: "127.0.0.1:7946", Incarnation: Incarnation{Home: "0123456789abcdef", Number: 4},
		State: Leaving, Predecessor: true, Since: time.Second,
	}}}
	text, err := json.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, "view.json", text)
	var got View
	if err := json.Unmarshal(readTestdata(t, "view.json"), &got); err != nil || !reflect.DeepEqual(got, view) {
		t.Errorf("got view %+v, error %v", got, err)
	}
	reports := map[string]ReceptionReport{"n2": {At: 5, Received: 7, Missing: 1, Duplicates: 2}}
	if text, err = json.Marshal(reports); err != nil {
		t.Fatal(err)
	}
	requireTestdata(t, "heard.json", text)
	if text, err = json.Marshal(massProbeRecord{Probed: 3, Silent: []string{"n2"}}); err != nil {
		t.Fatal(err)
	}
	if string(text) != `{"asked":3,"lost":null,"silent":["n2"]}` {
		t.Errorf("%s", text)
	}
}
