package fleet

import (
	"testing"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// TestJudgeChoices checks that an even distribution of attempts is accepted, and that a peer with more, fewer or no
// attempts is reported unless it had a fault.
func TestJudgeChoices(t *testing.T) {
	const peers, rounds, length = 10, 3000, 30 * time.Second
	for name, c := range map[string]struct {
		skips  func(peer, round int) bool // selects the peers without an attempt in a round
		faulty bool                       // the first peer has a fault
		rule   string
	}{
		"even":                   {func(int, int) bool { return false }, false, ""},
		"nothing":                {func(p, r int) bool { return p == 0 && r > 2000 && r < 2500 }, false, "starved"},
		"nothing during a fault": {func(p, r int) bool { return p == 0 && r > 1000 && r < 1500 }, true, ""},
		"less":                   {func(p, r int) bool { return p == 0 && r%2 == 0 }, false, "idlest"},
		"more":                   {func(p, r int) bool { return p != 0 && r%3 != 0 }, false, "busiest"},
	} {
		s := choicesQuietScript(peers)(1, 5, length)
		if c.faulty {
			s.Faults = []fault.Fault{{Kind: "death", At: figure.Span(10 * time.Second), For: figure.Span(5 * time.Second),
				Peers: []string{s.World.Peers[0].Name}}}
		}
		a := &Account{Names: []string{"n1"}, Begin: time.Hour, End: time.Hour + length}
		for r := range rounds {
			for p, peer := range s.World.Peers {
				if !c.skips(p, r) {
					a.Arrivals = append(a.Arrivals, Arrival{At: time.Hour + time.Duration(r)*length/rounds, Peer: peer.Name})
				}
			}
		}
		got := JudgeChoices(s, a)
		if rule := firstRule(got.Broken); rule != c.rule {
			t.Errorf("%s: broken rule %q, want %q: %s", name, rule, c.rule, got.Text(a))
		}
		if name == "even" && (got.Busiest != 1 || got.Idlest != 1 || got.Chance.Busiest <= 1) {
			t.Errorf("an even distribution has ratios other than 1: %s", got.Text(a))
		}
	}
}

func firstRule(all []Violation) string {
	if len(all) == 0 {
		return ""
	}
	return all[0].Rule
}
