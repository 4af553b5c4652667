package budget

import (
	"testing"
	"time"
)

// The period of a count is the one that most voters name: a wrong clock, a node that is no voter and a name of long ago
// do not count.
func TestPeriodOfMajority(t *testing.T) {
	voters := []string{"a", "b", "c"}
	terms := Terms{Lease: time.Second, Seats: 5}
	type named struct {
		who    string
		at     time.Duration
		period int64
	}
	for _, c := range []struct {
		what  string
		named []named
		want  int64 // 0: there is none
	}{
		{"all", []named{{"a", 0, 7}, {"b", 0, 7}, {"c", 0, 7}}, 7},
		{"one is wrong", []named{{"a", 0, 8}, {"b", 0, 7}, {"c", 0, 7}}, 7},
		{"one alone", []named{{"a", 0, 8}}, 0},
		{"one each", []named{{"a", 0, 8}, {"b", 0, 7}, {"c", 0, 6}}, 0},
		{"those that are no voters", []named{{"a", 0, 8}, {"d", 0, 8}, {"e", 0, 8}, {"b", 0, 7}}, 0},
		{"one was heard long ago", []named{{"a", 0, 7}, {"b", 2 * time.Second, 7}}, 0},
		{"it names another by now", []named{{"a", 0, 7}, {"b", 0, 7}, {"b", 1, 8}}, 0},
		{"the turn of the period", []named{{"a", 0, 7}, {"b", 0, 7}, {"c", 0, 7}, {"a", 1, 8}, {"c", 2, 8}}, 8},
	} {
		k := NewLeader(terms, []Quota{{Name: "x", Kind: Count, Amount: 10, Period: time.Hour}}, 1, 0)
		var now time.Duration
		for i, n := range c.named {
			now = max(now, n.at)
			periods := map[string]int64{"x": n.period}
			k.Lend(n.at, Request{Holder: n.who, Incarnation: "1", Number: uint64(i + 1), Periods: periods})
		}
		if got, some := k.Period(now, "x", voters); some != (c.want != 0) || got != c.want {
			t.Errorf("%s: %d, %v", c.what, got, some)
		}
	}
}
