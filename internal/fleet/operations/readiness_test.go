package operations

import (
	"slices"
	"testing"
	"time"
)

// TestCanAdvance: a round goes on once all nodes have completed its step, and names those for which it waits.
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
		{"nothing was done yet", r(Pending), members, nil, 0, nil},
		{"all have left", r(Draining), members, said(5, 0, "y/1", 0), 0, nil},
		{"one has calls there", r(Draining), members, said(6, 2, "y/1", 0), 0, []string{"n2"}},
		{"one has not heard", r(Draining), members, said(4, 0, "y/1", 0), 0, []string{"n2"}},
		{"one is silent", r(Draining), members, said(5, 0, "y/1", reportLifetime+1), 0, []string{"n2"}},
		{"one was in another incarnation", r(Draining), members, said(5, 0, "y/0", 0), 0, []string{"n2"}},
		{"one has a predecessor", r(Draining), []Member{{"n1", "x/1", true}}, said(5, 0, "y/1", 0), 0, []string{"n1"}},
		{"nobody has said anything", r(Draining), members, nil, 0, []string{"n1", "n2"}},
		{"one is dead", r(Draining), members[:1], said(0, 1, "", reportLifetime+1), 0, nil},
		{"one that is taken for dead has calls there", r(Draining), members[:1], said(5, 1, "y/2", 0), 0, []string{"n2"}},
		{"one has calls there by now", r(Restoring), members, said(5, 2, "y/1", 0), 0, nil},
	} {
		ok, waits := CanAdvance(c.r, c.members, c.reports, c.held)
		if ok != (len(c.want) == 0) || !slices.Equal(waits, c.want) {
			t.Errorf("%s: %v, %v", c.what, ok, waits)
		}
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second-1); ok {
		t.Error("it is not held out for long enough")
	}
	if ok, _ := CanAdvance(r(Drained), members, nil, time.Second); !ok {
		t.Error("it is held out for too long")
	}
}
