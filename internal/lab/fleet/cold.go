package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// The budget on attempts at each cold peer that the rig's processes share: its rate applies to a peer that has just
// started, and grows as the peer warms up. Without the budget the processes together send 8 attempts per second here,
// of the 40 that a warm peer gets.
const (
	coldRate       = 5.0
	coldExtraBurst = 2 // burst units in addition to one for each process
)

// coldBurst returns the burst of the budget, in attempts.
func coldBurst(nodes int) float64 {
	return float64(nodes + coldExtraBurst)
}

// coldTables returns the tables of the fleet files for the budget on attempts at cold peers.
func coldTables(s FileValues) string {
	return ledgerTable(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = \"cold\"\nuse = \"cold-peers\"\nrate = %.1f\nburst = %.1f\n",
			coldRate*s.AmountShare, coldBurst(s.Nodes))
}

// firstColdDeath is the time from the start of the script to the first death of a peer. By then a leader has been
// elected, and the processes have learnt the capacity of warm peers.
const firstColdDeath = 10 * time.Second

// coldDowntime is the time from a peer's death to its restart.
const coldDowntime = time.Second

// addDeaths adds a death of a peer with a cold restart about every 6 s.
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

// withDeaths returns a function that adds deaths of peers to the scripts of makeScript.
func withDeaths(makeScript scriptMaker) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s, err := makeScript(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		addDeaths(s)
		return s, s.Check()
	}
}

// ColdScenario examines the attempts of all processes at cold peers. If shared is false there is no budget, and each
// process estimates its part.
func ColdScenario(shared bool) Scenario {
	extraTables := coldTables
	if !shared {
		extraTables = func(FileValues) string { return "" }
	}
	return Scenario{
		Name:         "cold",
		DemoScript:   withDeaths(BudgetDemoScript),
		RandomScript: withDeaths(BudgetRandomScript),
		QuietScript:  budgetQuietScript,
		Cases:        BudgetCases(),
		ExtraTables:  extraTables,
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeCold(s, a, shared) },
	}
}

// Cold is the result of a run that examines cold peers.
type Cold struct {
	Nodes   int         `json:"nodes"`
	Seconds float64     `json:"seconds"`
	Starts  int         `json:"starts"` // the number of cold starts of peers
	Over    float64     `json:"over"`   // maximum ratio of the cost of attempts in a window to the allowed cost
	Use     float64     `json:"use"`    // mean used fraction of the allowed cost, from 2 to 8 s after a start
	Tries   int         `json:"tries"`  // attempts at cold peers
	Falls   int         `json:"falls"`  // the number of peers that failed under load
	Broken  []Violation `json:"broken"`
}

// coldPeriod is the period in which a peer was cold, from when the endpoint list showed its start.
type coldPeriod struct {
	peer    string
	started time.Duration // time of the peer's start
	from    time.Duration // listing of the start, plus listGrace; 0 if it was not listed
	to      time.Duration
}

// listGrace is the time until a new endpoint list has reached the processes. A process that does not have it yet still
// treats the peer as warm.
const listGrace = 300 * time.Millisecond

// coldPeriods returns the cold periods of all peers in a run. A start that is not listed before the peer ends again is
// ignored.
func coldPeriods(s *fault.Script, a *Account) (all []coldPeriod) {
	open := map[string]*coldPeriod{}
	closePeriod := func(peer string, at time.Duration) {
		if c := open[peer]; c != nil && c.from > 0 && at > c.from {
			all = append(all, coldPeriod{peer, c.started, c.from, min(at, c.started+s.World.Contract.Cold.D())})
		}
		delete(open, peer)
	}
	for _, e := range a.Peers {
		switch c := open[e.Who]; {
		case e.What == "started cold":
			closePeriod(e.Who, e.At)
			open[e.Who] = &coldPeriod{peer: e.Who, started: e.At}
		case e.What == eventEnded:
			closePeriod(e.Who, e.At)
		case e.What == "listed Ready" && c != nil && c.from == 0:
			c.from = e.At + listGrace
		}
	}
	for _, p := range s.World.Peers {
		closePeriod(p.Name, a.End)
	}
	slices.SortFunc(all, func(x, y coldPeriod) int { return int(x.from - y.from) })
	return all
}

// cost returns the cost of an attempt at the peer at an instant: 1 at its start, and less as it warms up.
func (c coldPeriod) cost(s *fault.Script, at time.Duration) float64 {
	least := s.World.Contract.ColdShare
	return least / (least + (1-least)*float64(at-c.started)/float64(s.World.Contract.Cold))
}

// JudgeCold evaluates the attempts at cold peers, and checks them against the budget if it is shared.
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
				what := fmt.Sprintf("in %v, %.3f times the allowed cost arrived at the cold peer %s", window, part, cold.peer)
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
		c.Broken = append(c.Broken, Violation{Rule: "use", At: a.End - a.Begin, What: "no attempt arrived at any cold peer"})
	}
	return c
}

// The time after a cold start over which the use of the budget is measured.
const (
	coldUseFrom = 2 * time.Second
	coldUseTo   = 8 * time.Second
)

// arrivals returns the times and the costs of the attempts that arrived at the peer while it was cold.
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

// costsBetween returns the sum of the costs of the attempts in [from, to).
func costsBetween(at []time.Duration, costs []float64, from, to time.Duration) (sum float64) {
	for i := range at {
		if at[i] >= from && at[i] < to {
			sum += costs[i]
		}
	}
	return sum
}

// maxCostRatio returns the maximum ratio of the cost of the arrivals in any window to the cost allowed in it, and the
// end and the length of that window.
func maxCostRatio(times []time.Duration, costs []float64, burst float64) (greatest float64, at, window time.Duration) {
	for _, w := range windows {
		from, sum := 0, 0.0
		for i, t := range times {
			sum += costs[i]
			for times[from] <= t-w {
				sum -= costs[from]
				from++
			}
			if part := sum / (coldRate*w.Seconds() + burst); part > greatest {
				greatest, at, window = part, t, w
			}
		}
	}
	return greatest, at, window
}

// Verdict returns the rules that the run broke.
func (c *Cold) Verdict() []Violation { return c.Broken }

// Text returns the result for the command's output.
func (c *Cold) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes share %.0f tries a second to each cold peer, and a burst of %.0f, for %.0f s, "+
		"in which peers started %d times and %d fell\n", c.Nodes, coldRate, coldBurst(c.Nodes), c.Seconds, c.Starts, c.Falls)
	fmt.Fprintf(&t, "at most %.3f of the cost allowed in any window arrived at a cold peer; "+
		"%.3f of the allowed cost was used from 2 to 8 s after a start\n", c.Over, c.Use)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (c *Cold) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; %d starts, over %.3f, use %.3f, %d fell; %s",
		s.Seed, strings.Join(s.Kinds(), " "), c.Starts, c.Over, c.Use, c.Falls, verdict(c.Broken))
}
