package maintenance

import (
	"encoding/json"
	"testing"

	"olivebridge/balancer"
)

// TestRecordFormatIsBackwardCompatible checks the compatibility of the hand-over between an old and a new binary: a
// record written by build 78d81e3 is decoded completely and encoded again to the same bytes.
func TestRecordFormatIsBackwardCompatible(t *testing.T) {
	const written = `{"name":"s-1","addr":"127.0.0.1:9000","said":{"ID":7,"Cell":3,"Zone":2,"Kind":1,` +
		`"Born":1000000000000000000,"Weight":1.5,"State":2,"Aside":true},"held":true,"since":3,"not_before":4}`
	want := Record{
		Name: "s-1",
		Addr: "127.0.0.1:9000",
		Listed: ListedServer{
			ID: 7, Cell: 3, Zone: 2, Kind: 1, StartedAt: 1e18, Weight: 1.5, State: balancer.Draining, OutsideSubset: true,
		},
		Suspended:        true,
		SuspendedAt:      3,
		StartedNotBefore: 4,
	}
	var got Record
	if err := json.Unmarshal([]byte(written), &got); err != nil || got != want {
		t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
	}
	again, err := json.Marshal(want)
	if err != nil || string(again) != written {
		t.Errorf("encoded %s, error %v; want %s", again, err, written)
	}
}
