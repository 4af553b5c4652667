package operations

import (
	"io"
	"path/filepath"
	"testing"

	"olivebridge/internal/fleet/raftlog"
)

// failingControl is a ServerControl that fails the first calls of Suspend, as if the node's other process could not
// suspend the server.
type failingControl struct {
	fakeControl
	failures int // number of calls of Suspend that still fail
}

func (c *failingControl) Suspend(s string) error {
	if c.failures--; c.failures >= 0 {
		return io.ErrUnexpectedEOF
	}
	return c.fakeControl.Suspend(s)
}

// TestSuspendFailure checks that a version that some process of the node failed to apply is not reported as applied,
// and that a version is applied even if the suspensions file cannot be written.
func TestSuspendFailure(t *testing.T) {
	s := New(Config{
		Name:      "n1",
		Voters:    raftlog.VoterSet{Edition: 1, Names: []string{"n1"}},
		Directory: filepath.Join(t.TempDir(), "none"),
	})
	control := &failingControl{fakeControl{map[string]bool{}}, 0}
	s.Attach(control)
	applied := s.suspensions
	control.failures = 1
	if applied.apply(control, 3, []string{"a", "b"}, false) || applied.version != 0 {
		t.Errorf("after a failed Suspend: apply succeeded, or the applied version is %d, want 0", applied.version)
	}
	if !applied.apply(control, 3, []string{"a", "b"}, false) || applied.version != 3 ||
		len(applied.locallySuspended) != 0 {
		t.Errorf("after a retry: apply failed, or version %d, suspended before by an operator %v, want 3 and none",
			applied.version, applied.locallySuspended)
	}
	if !applied.apply(control, 4, nil, false) || len(control.suspended) != 0 {
		t.Errorf("after a version without suspensions: apply failed, or suspended %v, want none", control.suspended)
	}
}
