package budget

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/raftlog"
)

// readTestdata returns the content of a file written by an earlier build.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkBytes fails the test unless the bytes are those that the earlier build wrote.
func checkBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readTestdata(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote %q, want %q", name, got, want)
	}
}

// checkStoredForm fails the test unless a value is encoded as the earlier build encoded it, and the earlier encoding is
// decoded as the value.
func checkStoredForm[T any](t *testing.T, name string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, name, text)
	var got T
	if err := json.Unmarshal(readTestdata(t, name), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("%s: read %+v, want %+v, %v", name, got, value, err)
	}
}

// Nodes of different builds exchange the messages between holders and the leader, so their encoding must not change.
func TestMessagesKeepTheirBytes(t *testing.T) {
	checkStoredForm(t, "ask.json", holderRequest{
		Request: Request{
			Counts:      map[string]CountRequest{"c": {Period: 5, Need: 7, Returned: 1}},
			Holder:      "n1",
			Incarnation: "0123456789abcdef/4",
			Number:      9,
			Demand:      map[string]float64{"a": 1.5},
			Current:     map[string]uint64{"a": 1<<32 | 3},
			Final:       true,
			InUse:       map[string]int{"s": 2},
			Periods:     map[string]int64{"c": 5},
		},
		Home:  "0123456789abcdef",
		Seat:  2,
		Terms: "t",
	})
	checkStoredForm(t, "answer.json", leaderResponse{
		Response: Response{
			Counts:    map[string]CountGrant{"c": {Period: 5, Units: 7, Remaining: 40}},
			Number:    9,
			Rejection: "why",
			Leader:    "n2",
			Lease:     2 * time.Second,
			Grants:    map[string]Grant{"a": {Number: 1<<32 | 4, Amount: 12.5}},
		},
		Seat: 2,
	})
}

// Leader and holder compare their terms by this text, so another format would make nodes of different builds reject
// each other.
func TestTermsKeepTheirText(t *testing.T) {
	s := &Service{config: Config{Terms: Terms{Lease: 2 * time.Second, Reserve: 0.04, Seats: 8}, Quotas: []Quota{
		{Name: "a", Kind: Rate, Amount: 100, Burst: 20}, {Name: "s", Kind: InUse, Amount: 3, Hold: time.Second},
		{Name: "c", Kind: Count, Amount: 50, Period: time.Hour}}}}
	checkBytes(t, "terms", []byte(s.termsText()))
}

// A voter reads the raft log and snapshots of earlier builds after an upgrade.
func TestLogKeepsItsBytes(t *testing.T) {
	l := newLedger()
	for i, c := range []command{
		{Seat: &seatCommand{Home: "h1", Seats: 8, Reserved: map[string]float64{"a": 0.5}}},
		{Seat: &seatCommand{Home: "h2", Seat: 4, Seats: 8}},
		{Count: &countCommand{
			Quota: "c", Amount: 50, Holder: "n1 h1/1", Number: 3, Request: CountRequest{Period: 5, Need: 7},
		}},
	} {
		name := []string{"entry-seat.json", "entry-seat-again.json", "entry-count.json"}[i]
		checkStoredForm(t, name, c)
		if err, failed := l.Apply(&raft.Log{Data: readTestdata(t, name)}).(error); failed {
			t.Error(err)
		}
	}
	snapshot, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, "snapshot.json", snapshot.(raftlog.Snapshot))
	restored := newLedger()
	if err := restored.Restore(io.NopCloser(bytes.NewReader(readTestdata(t, "snapshot.json")))); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	checkBytes(t, "snapshot.json", again.(raftlog.Snapshot))
}

// A node reads the seat file of an earlier build after an upgrade.
func TestSeatFileKeepsItsBytes(t *testing.T) {
	want := storedSeat{Home: "0123456789abcdef", Seat: 3, Reserved: map[string]float64{"a": 0.5}}
	checkStoredForm(t, seatFile, want)
	s := &Service{config: Config{Directory: "testdata", Terms: Terms{Seats: 8}}}
	if got := s.readSeat("0123456789abcdef"); !reflect.DeepEqual(got, want) {
		t.Errorf("read seat %+v, which is not the stored one", got)
	}
}

// Other builds than the one that wrote a record read it, so its encoding must not change.
func TestRecordKeepsItsBytes(t *testing.T) {
	checkStoredForm(t, "lends.json", GrantRecord{Holder: "n1", Incarnation: "h1/1", Grant: 4, Until: 5})
	checkStoredForm(t, "holds.json", []Holding{{
		Quota: "a", Amount: 1, Reserve: 2, Demand: 3, Left: 4, Ends: 5, Grant: 6, InUse: 7, Admitted: 8, Rejected: 9,
	}})
	checkStoredForm(t, "counted.json", CountRecord{
		Quota:    "c",
		Began:    1,
		Request:  CountRequest{Period: 5, Need: 7},
		Granted:  CountGrant{Period: 5, Units: 7, Remaining: 2},
		Answered: true,
	})
}
