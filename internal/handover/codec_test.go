package handover

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// TestMessagesOfAnEarlierBuild decodes messages that earlier builds wrote and checks that encoding them yields the same
// bytes. During an upgrade the two processes are of different builds and must understand each other. The first six are
// of the build of commit 78d81e3, the others of the first build that claims calls.
func TestMessagesOfAnEarlierBuild(t *testing.T) {
	stored, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	draining := maintenance.ListedServer{ID: 0xfedcba9876543210, Cell: 3, Zone: 1, Kind: 2, StartedAt: 1764745200000000000,
		Weight: 1.5, State: balancer.Draining, OutsideSubset: true}
	ready := maintenance.ListedServer{ID: 7, Weight: 1, State: balancer.Ready}
	want := []Message{
		{Kind: KindServers, Servers: []maintenance.Record{
			{Name: "s-5be2a07c", Addr: "10.1.0.18:9000", Listed: draining, Suspended: true,
				SuspendedAt: 1764745300000000000, StartedNotBefore: 1764745400000000000},
			{Name: "s-2", Addr: "10.1.0.19:9000", Listed: ready},
		}},
		{Kind: KindListener, ListVersion: 41, DiscoveryAddr: "10.2.0.1:8500", Paused: true, WarmThroughput: 12.5},
		{Kind: KindReady, RequestNumber: 1},
		{Kind: KindCommand, RequestNumber: 2, Command: "SUSPEND", ServerID: "s-2"},
		{Kind: KindResult, RequestNumber: 2, Error: `no list has ever named server "s-2"`},
		{Kind: KindConnection},
		{Kind: KindListener, ListVersion: 41, AnswersClaims: true},
		{Kind: KindClaim, RequestNumber: 3, Calls: []OpenCall{{ID: "9b1f03aa5c7e2d41", Remaining: 1512 * time.Millisecond}}},
		{Kind: KindClaimResult, RequestNumber: 3, Granted: true},
		{Kind: KindOpened, Calls: []OpenCall{
			{ID: "u-1", Remaining: time.Second, Repeatable: true},
			{ID: "u-2", Remaining: 1},
		}},
		{Kind: KindClosed, Calls: []OpenCall{{ID: "u-1"}}},
	}
	lines := bytes.Split(bytes.TrimSuffix(stored, []byte("\n")), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("got %d stored messages, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		if got, err := decode(line); err != nil || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("decoding message %d: got %+v, error %v, want %+v", i, got, err, want[i])
		}
		if got, err := encode(want[i]); err != nil || !bytes.Equal(got, line) {
			t.Errorf("encoding message %d: got %s, error %v, want %s", i, got, err, line)
		}
	}
}
