package node

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"olivebridge/internal/routing"
	"olivebridge/internal/transport"
)

// suspendingFleet is a Fleet that has one server suspended, as a process finds it at its start.
type suspendingFleet struct {
	Fleet
	server string
	err    error         // of the suspension
	took   time.Duration // duration of the suspension
}

func (f *suspendingFleet) SetServerControl(control ServerControl) {
	begun := time.Now()
	f.err = control.Suspend(f.server)
	f.took = time.Since(begun)
}

func (*suspendingFleet) Join(bool) error                              { return nil }
func (*suspendingFleet) Close()                                       {}
func (*suspendingFleet) AdmissionControl() routing.AdmissionControl   { return nil }
func (*suspendingFleet) SubsetSelector() routing.SubsetSelector       { return nil }
func (*suspendingFleet) IdempotencyStore() transport.IdempotencyStore { return nil }

// TestFleetSuspendsDuringTakeover guards against a successor that waits in vain for the predecessor's answer to a
// suspension at its start. It then took the suspension for one of an operator, and RESTORE had no effect.
func TestFleetSuspendsDuringTakeover(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	start := func(listen string, fleet Fleet) *Node {
		c := testConfig()
		c.Listen, c.AdminListen, c.Discovery = listen, "127.0.0.1:0", "127.0.0.1:1"
		n, err := Start(c, Options{HandoverPath: path, Fleet: fleet})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Abort)
		return n
	}
	predecessor := start("127.0.0.1:0", nil)
	fleet := &suspendingFleet{server: "s-7"}
	start(predecessor.listener.Addr().String(), fleet)
	if fleet.err != nil || fleet.took > 500*time.Millisecond {
		t.Errorf("suspension at the start: error %v after %v, want none, at once", fleet.err, fleet.took)
	}
	if got := predecessor.servers.SuspendedServers(); !slices.Equal(got, []string{"s-7"}) {
		t.Errorf("the predecessor has %v suspended, want s-7", got)
	}
}
