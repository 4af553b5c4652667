package operations

import (
	"io"
	"path/filepath"
	"testing"

	"olivebridge/internal/fleet/raftlog"
)

// failingControl is a node whose other process cannot suspend a server at first.
type failingControl struct {
	fakeControl
	failures int
}

func (c *failingControl) Suspend(s string) error {
	if c.failures--; c.failures >= 0 {
		return io.ErrUnexpectedEOF
	}
	return c.fakeControl.Suspend(s)
}

// TestSuspendFailure: a version that could not be applied in all processes of the node is not reported as applied; a
// file that cannot be written is no hindrance.
func TestSuspendFailure(t *testing.T) {
	s := New(Config{
		Name:      "n1",
		Voters:    raftlog.VoterSet{Edition: 1, Names: []string{"n1"}},
		Directory: filepath.Join(t.TempDir(), "none"),
	})
	d := &failingControl{fakeControl{map[string]bool{}}, 0}
	s.Attach(d)
	applied := s.suspensions
	d.failures = 1
	if applied.apply(d, 3, []string{"a", "b"}, false) || applied.version != 0 {
		t.Errorf("it goes by version %d", applied.version)
	}
	if !applied.apply(d, 3, []string{"a", "b"}, false) || applied.version != 3 || len(applied.suspendedBefore) != 0 {
		t.Errorf("it goes by version %d, own %v", applied.version, applied.suspendedBefore)
	}
	if !applied.apply(d, 4, nil, false) || len(d.suspended) != 0 {
		t.Errorf("out are %v", d.suspended)
	}
}
