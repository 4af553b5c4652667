package protocol

import (
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
)

const entry = `{"id":"s-1","addr":"127.0.0.1:9000","zone":"b","kind":"m2","cell":3,` +
	`"state":"Ready","weight":1.5,"started_ms":7}`

// TestParseEndpoints: a list with an invalid entry is rejected completely, and a server's id does not depend on its
// address.
func TestParseEndpoints(t *testing.T) {
	change := func(old, new string) string { return strings.Replace(entry, old, new, 1) }
	for name, c := range map[string]struct {
		list string
		ok   bool
	}{
		"full list":          {`{"version":4,"full":true,"servers":[` + entry + `]}`, true},
		"no change":          {`{"version":4,"full":false,"servers":[]}`, true},
		"truncated list":     {`{"version":4,"full":true,"servers":[` + entry, false},
		"no version":         {`{"full":true,"servers":[]}`, false},
		"no full":            {`{"version":4,"servers":[]}`, false},
		"no servers":         {`{"version":4,"full":true}`, false},
		"not an object":      {`[]`, false},
		"unknown state":      {`{"version":4,"full":true,"servers":[` + change("Ready", "Asleep") + `]}`, false},
		"no id":              {`{"version":4,"full":true,"servers":[` + change("s-1", "") + `]}`, false},
		"no port":            {`{"version":4,"full":true,"servers":[` + change(":9000", "") + `]}`, false},
		"negative weight":    {`{"version":4,"full":true,"servers":[` + change("1.5", "-1") + `]}`, false},
		"entry twice":        {`{"version":4,"full":true,"servers":[` + entry + "," + entry + `]}`, false},
		"one invalid of two": {`{"version":4,"full":true,"servers":[` + entry + "," + change("s-1", "") + `]}`, false},
		"gone, no address":   {`{"version":4,"full":false,"servers":[{"id":"s-1","state":"Gone"}]}`, true},
	} {
		if _, _, err := testNames.ParseEndpoints([]byte(c.list)); (err == nil) != c.ok {
			t.Errorf("%s: unexpected result: error %v", name, err)
		}
	}
	two := `{"version":4,"full":true,"servers":[` + entry + `,` + change("s-1", "s-2") + `]}`
	list, version, err := testNames.ParseEndpoints([]byte(two))
	if err != nil || version != 4 || list.Kind != balancer.UpdateFull || len(list.Endpoints) != 2 {
		t.Fatalf("got list %+v, version %d, error %v; want a full list of 2 entries, version 4", list, version, err)
	}
	e := list.Endpoints[0]
	if e.ID != balancer.ServerID(hash("s-1")) || e.ID == list.Endpoints[1].ID || e.Zone != 1 || e.Kind != 1 ||
		e.Cell != 3 || e.Weight != 1.5 || e.StartedAt != balancer.Time(7*time.Millisecond) || e.Addr != "127.0.0.1:9000" ||
		e.State != balancer.Ready {
		t.Errorf("got entry %+v, which differs from the list", e)
	}
	other := `{"version":4,"full":true,"servers":[` + change("127.0.0.1", "127.0.0.2") + `]}`
	if list, _, err := testNames.ParseEndpoints([]byte(other)); err != nil || list.Endpoints[0].ID != e.ID {
		t.Error("the id of a server depends on its address, which differs between nodes; want the same id")
	}
}
