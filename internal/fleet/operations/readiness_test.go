package operations

import (
	"slices"
	"testing"
	"time"
)

// TestCanAdvance checks that a round advances once all nodes have completed its step, and that CanAdvance returns the
// nodes for which it waits.
func TestCanAdvance(t *testing.T) {
	members := []Member{{"n1", "x/1", false}, {"n2", "y/1", false}}
	r := func(s Step) Round { return Round{Servers: []string{"a"}, Step: s, Version: 5, Hold: time.Second} }
	said := func(version uint64, busy int, incarnation string, age time.Duration) map[string]NodeReport {
		return map[string]NodeReport{
			"n1": {Incarnation: "x/1", Version: 5},
			"n2": {incarnation, version, map[string]int{"a": busy}, age},
		}
	}
	for _, c := range []struct {
		what    string
		r       Round
		members []Member
		reports map[string]NodeReport
		held    time.Duration
		want    []string
	}{
		{"pending", r(Pending), members, nil, 0, nil},
		{"all drained", r(Draining), members, said(5, 0, "y/1", 0), 0, nil},
		{"node with open calls", r(Draining), members, said(6, 2, "y/1", 0), 0, []string{"n2"}},
		{"node with an old version", r(Draining), members, said(4, 0, "y/1", 0), 0, []string{"n2"}},
		{"expired report", r(Draining), members, said(5, 0, "y/1", reportLifetime+1), 0, []string{"n2"}},
		{"report of another incarnation", r(Draining), members, said(5, 0, "y/0", 0), 0, []string{"n2"}},
		{"node with a predecessor", r(Draining), []Member{{"n1", "x/1", true}}, said(5, 0, "y/1", 0), 0, []string{"n1"}},
		{"no reports", r(Draining), members, nil, 0, []string{"n1", "n2"}},
		{"dead node", r(Draining), members[:1], said(0, 1, "", reportLifetime+1), 0, nil},
		{"non-member with open calls", r(Draining), members[:1], said(5, 1, "y/2", 0), 0, []string{"n2"}},
		{"open calls while restoring", r(Restoring), members, said(5, 2, "y/1", 0), 0, nil},
	} {
		ok, waits := CanAdvance(c.r, c.members, c.reports, c.held)
		if ok != (len(c.want) == 0) || !slices.Equal(waits, c.want) {
			t.Errorf("%s: CanAdvance returned %v, waiting for %v", c.what, ok, waits)
		}
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second-1); ok {
		t.Error("it is not held out for long enough")
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second); !ok {
		t.Error("it is held out for too long")
	}
}
