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

// readTestdata returns a file that an earlier build wrote.
func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// equalBytes fails unless a value is written as the earlier build wrote it.
func equalBytes(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readTestdata(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: wrote %q, want %q", name, got, want)
	}
}

// sameForm fails unless a value is written as the earlier build wrote it, and what that wrote is read as the value.
func sameForm[T any](t *testing.T, name string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	equalBytes(t, name, text)
	var got T
	if err := json.Unmarshal(readTestdata(t, name), &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("%s: read %+v, want %+v, %v", name, got, value, err)
	}
}

// Messages between holders and the leader are read by nodes of other builds.
func TestMessagesKeepTheirBytes(t *testing.T) {
	sameForm(t, "ask.json", holderRequest{
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
	sameForm(t, "answer.json", leaderResponse{
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

// Whether leader and holder have the same terms is told by this text: another form would part nodes of two builds.
func TestTermsKeepTheirText(t *testing.T) {
	s := &Service{config: Config{Terms: Terms{Lease: 2 * time.Second, Reserve: 0.04, Seats: 8}, Quotas: []Quota{
		{Name: "a", Kind: Rate, Amount: 100, Burst: 20}, {Name: "s", Kind: InUse, Amount: 3, Hold: time.Second},
		{Name: "c", Kind: Count, Amount: 50, Period: time.Hour}}}}
	equalBytes(t, "terms", []byte(s.termsText()))
}

// A voter's log and snapshots are read after an upgrade.
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
		sameForm(t, name, c)
		if err, bad := l.Apply(&raft.Log{Data: readTestdata(t, name)}).(error); bad {
			t.Error(err)
		}
	}
	snapshot, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	equalBytes(t, "snapshot.json", snapshot.(raftlog.Snapshot))
	restored := newLedger()
	if err := restored.Restore(io.NopCloser(bytes.NewReader(readTestdata(t, "snapshot.json")))); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	equalBytes(t, "snapshot.json", again.(raftlog.Snapshot))
}

// A node's part of the reserve is read after an upgrade.
func TestSeatFileKeepsItsBytes(t *testing.T) {
	want := storedSeat{Home: "0123456789abcdef", Seat: 3, Reserved: map[string]float64{"a": 0.5}}
	sameForm(t, seatFile, want)
	s := &Service{config: Config{Directory: "testdata", Terms: Terms{Seats: 8}}}
	if got := s.readSeat("0123456789abcdef"); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}

// Records are judged by builds other than the one that wrote them.
func TestRecordKeepsItsBytes(t *testing.T) {
	sameForm(t, "lends.json", GrantRecord{Holder: "n1", Incarnation: "h1/1", Grant: 4, Until: 5})
	sameForm(t, "holds.json", []Holding{{
		Quota: "a", Amount: 1, Reserve: 2, Demand: 3, Left: 4, Ends: 5, Grant: 6, InUse: 7, Admitted: 8, Rejected: 9,
	}})
	sameForm(t, "counted.json", CountRecord{
		Quota:    "c",
		Began:    1,
		Request:  CountRequest{Period: 5, Need: 7},
		Granted:  CountGrant{Period: 5, Units: 7, Remaining: 2},
		Answered: true,
	})
}
