package budget

import (
	"testing"
	"time"
)

// The period of a count is the one that a majority of the voters report. A minority with wrong clocks, nodes that are
// not voters and reports older than a lease do not change it.
func TestPeriodOfMajority(t *testing.T) {
	voters := []string{"a", "b", "c"}
	terms := Terms{Lease: time.Second, Seats: 5}
	type vote struct {
		holder string
		at     time.Duration
		period int64
	}
	for _, c := range []struct {
		name  string
		votes []vote
		want  int64 // 0: no majority
	}{
		{"all voters agree", []vote{{"a", 0, 7}, {"b", 0, 7}, {"c", 0, 7}}, 7},
		{"one of three voters differs", []vote{{"a", 0, 8}, {"b", 0, 7}, {"c", 0, 7}}, 7},
		{"one vote only", []vote{{"a", 0, 8}}, 0},
		{"three different votes", []vote{{"a", 0, 8}, {"b", 0, 7}, {"c", 0, 6}}, 0},
		{"votes of nodes that are not voters", []vote{{"a", 0, 8}, {"d", 0, 8}, {"e", 0, 8}, {"b", 0, 7}}, 0},
		{"one vote is older than a lease", []vote{{"a", 0, 7}, {"b", 2 * time.Second, 7}}, 0},
		{"one voter changes its vote", []vote{{"a", 0, 7}, {"b", 0, 7}, {"b", 1, 8}}, 0},
		{"the period changes", []vote{{"a", 0, 7}, {"b", 0, 7}, {"c", 0, 7}, {"a", 1, 8}, {"c", 2, 8}}, 8},
	} {
		leader := NewLeader(terms, []Quota{{Name: "x", Kind: Count, Amount: 10, Period: time.Hour}}, 1, 0)
		var now time.Duration
		for i, v := range c.votes {
			now = max(now, v.at)
			periods := map[string]int64{"x": v.period}
			leader.Lend(v.at, Request{Holder: v.holder, Incarnation: "1", Number: uint64(i + 1), Periods: periods})
		}
		if got, ok := leader.MajorityPeriod(now, "x", voters); ok != (c.want != 0) || got != c.want {
			t.Errorf("%s: got period %d, %v", c.name, got, ok)
		}
	}
}
