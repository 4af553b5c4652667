package operations

import (
	"slices"
	"testing"
	"time"
)

// TestCanAdvance checks that a round advances once all nodes have completed its step, and that CanAdvance returns the
// nodes for which the round waits.
func TestCanAdvance(t *testing.T) {
	members := []Member{{"n1", "x/1", false}, {"n2", "y/1", false}}
	round := func(s Step) Round { return Round{Servers: []string{"a"}, Step: s, Version: 5, Hold: time.Second} }
	reportsWith := func(version uint64, busy int, incarnation string, age time.Duration) map[string]NodeReport {
		return map[string]NodeReport{
			"n1": {Incarnation: "x/1", Version: 5},
			"n2": {incarnation, version, map[string]int{"a": busy}, age},
		}
	}
	for _, c := range []struct {
		name    string
		round   Round
		members []Member
		reports map[string]NodeReport
		inStep  time.Duration
		want    []string
	}{
		{"round in its first step", round(Pending), members, nil, 0, nil},
		{"all drained", round(Draining), members, reportsWith(5, 0, "y/1", 0), 0, nil},
		{"node with open calls", round(Draining), members, reportsWith(6, 2, "y/1", 0), 0, []string{"n2"}},
		{"node with an old version", round(Draining), members, reportsWith(4, 0, "y/1", 0), 0, []string{"n2"}},
		{"expired report", round(Draining), members, reportsWith(5, 0, "y/1", reportLifetime+1), 0, []string{"n2"}},
		{"report of another incarnation", round(Draining), members, reportsWith(5, 0, "y/0", 0), 0, []string{"n2"}},
		{"node with a predecessor", round(Draining), []Member{{"n1", "x/1", true}},
			reportsWith(5, 0, "y/1", 0), 0, []string{"n1"}},
		{"no reports", round(Draining), members, nil, 0, []string{"n1", "n2"}},
		{"dead node", round(Draining), members[:1], reportsWith(0, 1, "", reportLifetime+1), 0, nil},
		{"non-member with open calls", round(Draining), members[:1], reportsWith(5, 1, "y/2", 0), 0, []string{"n2"}},
		{"open calls while restoring", round(Restoring), members, reportsWith(5, 2, "y/1", 0), 0, nil},
	} {
		ok, waitingFor := CanAdvance(c.round, c.members, c.reports, c.inStep)
		if ok != (len(c.want) == 0) || !slices.Equal(waitingFor, c.want) {
			t.Errorf("%s: CanAdvance returned %v, waiting for %v", c.name, ok, waitingFor)
		}
	}
	if ok, _ := CanAdvance(round(Drained), members, nil, time.Second-1); ok {
		t.Error("CanAdvance allowed the step before the hold time of 1 s ended")
	}
	if ok, _ := CanAdvance(round(Drained), members, nil, time.Second); !ok {
		t.Error("CanAdvance refused the step after the hold time of 1 s")
	}
}
