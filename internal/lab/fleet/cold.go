package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// The budget for tries to each cold peer that the rig's processes share: as many a second to one at its start, and more
// as it warms. What each guesses for itself comes to 8 a second here, of 40 that a warm peer gets.
const (
	coldRate       = 5.0
	coldExtraBurst = 2 // units of burst beyond one for each process
)

// coldBurst is the burst of the budget.
func coldBurst(nodes int) float64 {
	return float64(nodes + coldExtraBurst)
}

// coldTables are the tables of the fleet files for it.
func coldTables(s FileValues) string {
	return ledgerTable(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = \"cold\"\nuse = \"cold-peers\"\nrate = %.1f\nburst = %.1f\n",
			coldRate*s.AmountShare, coldBurst(s.Nodes))
}

// firstColdDeath is when the first peer may die: a leader has been elected by then, and processes have learnt what warm peers
// carry.
const firstColdDeath = 10 * time.Second

// coldDowntime is for how long a peer is gone.
const coldDowntime = time.Second

// addDeaths lets peers die and come back cold, one each six seconds.
func addDeaths(s *fault.Script) {
	g := figure.Stream(s.Seed, "deaths")
	for at := firstColdDeath; at+coldDowntime+4*time.Second <= s.Length.D(); at += 6 * time.Second {
		death := at + time.Duration(g.Float64()*float64(time.Second))
		peer := s.World.Peers[g.IntN(len(s.World.Peers))].Name
		s.Faults = append(s.Faults, fault.Fault{
			Kind: "death", At: figure.Span(death), For: figure.Span(coldDowntime), Peers: []string{peer},
		})
	}
}

// withDeaths makes scripts of some kind in which peers die, too.
func withDeaths(make scriptMaker) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s, err := make(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		addDeaths(s)
		return s, s.Check()
	}
}

// ColdScenario is what all processes send to cold peers. Without the budget each guesses its part.
func ColdScenario(shared bool) Scenario {
	more := coldTables
	if !shared {
		more = func(FileValues) string { return "" }
	}
	return Scenario{
		Name:         "cold",
		DemoScript:   withDeaths(BudgetDemoScript),
		RandomScript: withDeaths(BudgetRandomScript),
		QuietScript:  budgetQuietScript,
		Cases:        BudgetCases(),
		ExtraTables:  more,
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeCold(s, a, shared) },
	}
}

// Cold is what came of it.
type Cold struct {
	Nodes   int         `json:"nodes"`
	Seconds float64     `json:"seconds"`
	Starts  int         `json:"starts"` // of peers, cold
	Over    float64     `json:"over"`   // greatest part of what any window allows that came to a cold peer, by cost
	Use     float64     `json:"use"`    // of what was allowed, the mean from 2 to 8 s after starts
	Tries   int         `json:"tries"`  // that came to cold peers
	Falls   int         `json:"falls"`  // of them, pushed over
	Broken  []Violation `json:"broken"`
}

// coldPeriod is one time for which a peer was cold, from when its start was listed.
type coldPeriod struct {
	peer    string
	started time.Duration // its start
	from    time.Duration // that was listed then; 0: it was not
	to      time.Duration
}

// listGrace is how long a list is on its way to the processes: what one that has not got it sends, it sends to a warm
// peer.
const listGrace = 300 * time.Millisecond

// coldPeriods are all of a run. A start that is not listed before the peer ends again is none.
func coldPeriods(s *fault.Script, a *Account) (all []coldPeriod) {
	open := map[string]*coldPeriod{}
	shut := func(peer string, at time.Duration) {
		if c := open[peer]; c != nil && c.from > 0 && at > c.from {
			all = append(all, coldPeriod{peer, c.started, c.from, min(at, c.started+s.World.Contract.Cold.D())})
		}
		delete(open, peer)
	}
	for _, e := range a.Peers {
		switch c := open[e.Who]; {
		case e.What == "started cold":
			shut(e.Who, e.At)
			open[e.Who] = &coldPeriod{peer: e.Who, started: e.At}
		case e.What == eventEnded:
			shut(e.Who, e.At)
		case e.What == "listed Ready" && c != nil && c.from == 0:
			c.from = e.At + listGrace
		}
	}
	for _, p := range s.World.Peers {
		shut(p.Name, a.End)
	}
	slices.SortFunc(all, func(x, y coldPeriod) int { return int(x.from - y.from) })
	return all
}

// cost is what a try to the peer costs at an instant.
func (c coldPeriod) cost(s *fault.Script, at time.Duration) float64 {
	least := s.World.Contract.ColdShare
	return least / (least + (1-least)*float64(at-c.started)/float64(s.World.Contract.Cold))
}

// JudgeCold counts what came to cold peers, and holds it against the budget if that is shared.
func JudgeCold(s *fault.Script, a *Account, shared bool) *Cold {
	base := newAmount(a, "cold", int(coldRate))
	c := &Cold{Nodes: base.Nodes, Seconds: base.Seconds, Falls: a.Falls, Broken: base.Broken}
	used, allowed := 0.0, 0.0
	for _, cold := range coldPeriods(s, a) {
		c.Starts++
		at, costs := cold.arrivals(s, a)
		c.Tries += len(at)
		part, when, window := maxCostRatio(at, costs, coldBurst(len(a.Names)))
		if part > c.Over {
			c.Over = part
			if shared && part > 1 {
				what := fmt.Sprintf("in %v, %.3f times what is allowed came to the cold peer %s", window, part, cold.peer)
				c.Broken = append(c.Broken, Violation{Rule: "over", At: when - a.Begin, What: what})
			}
		}
		begin, end := cold.started+coldUseFrom, cold.started+coldUseTo
		if cold.from <= begin && cold.to >= end {
			allowed += coldRate * (end - begin).Seconds()
			used += costsBetween(at, costs, begin, end)
		}
	}
	if allowed > 0 {
		c.Use = used / allowed
	}
	if c.Tries == 0 {
		c.Broken = append(c.Broken, Violation{Rule: "use", At: a.End - a.Begin, What: "nothing came to any cold peer"})
	}
	return c
}

// The time after a cold start over which the use of the budget is measured.
const (
	coldUseFrom = 2 * time.Second
	coldUseTo   = 8 * time.Second
)

// arrivals are the attempts that came to the peer while it was cold, and what each costs.
func (c coldPeriod) arrivals(s *fault.Script, a *Account) (at []time.Duration, costs []float64) {
	for _, arrival := range a.Arrivals {
		toPeer := !arrival.Done && arrival.Peer == c.peer
		if toPeer && arrival.At >= c.from && arrival.At < c.to && arrival.At <= a.End {
			at = append(at, arrival.At)
			costs = append(costs, c.cost(s, arrival.At))
		}
	}
	return at, costs
}

// costsBetween is what the attempts of a time cost together.
func costsBetween(at []time.Duration, costs []float64, from, to time.Duration) (sum float64) {
	for i := range at {
		if at[i] >= from && at[i] < to {
			sum += costs[i]
		}
	}
	return sum
}

// maxCostRatio is the greatest part of what any window allows.
func maxCostRatio(came []time.Duration, costs []float64, burst float64) (most float64, at, wide time.Duration) {
	for _, w := range windows {
		from, sum := 0, 0.0
		for i, t := range came {
			sum += costs[i]
			for came[from] <= t-w {
				sum -= costs[from]
				from++
			}
			if part := sum / (coldRate*w.Seconds() + burst); part > most {
				most, at, wide = part, t, w
			}
		}
	}
	return most, at, wide
}

// Verdict are the rules that did not hold.
func (c *Cold) Verdict() []Violation { return c.Broken }

// Text is the result for people.
func (c *Cold) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes share %.0f tries a second to each cold peer, and a burst of %.0f, for %.0f s, "+
		"in which peers started %d times and %d fell\n", c.Nodes, coldRate, coldBurst(c.Nodes), c.Seconds, c.Starts, c.Falls)
	fmt.Fprintf(&t, "to a cold peer came at most %.3f of what any window allows; "+
		"of what was allowed %.3f was used from 2 to 8 s after a start\n", c.Over, c.Use)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (c *Cold) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; %d starts, over %.3f, use %.3f, %d fell; %s",
		s.Seed, strings.Join(s.Kinds(), " "), c.Starts, c.Over, c.Use, c.Falls, verdict(c.Broken))
}
