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
	coldRate  = 5.0
	coldSpare = 2 // units of burst beyond one for each process
)

func coldBurst(nodes int) float64 { return float64(nodes + coldSpare) }

func coldFile(s FileValues) string {
	return bookFile(s, 0.04) + fmt.Sprintf("[[budget]]\nname = \"cold\"\nuse = \"cold-peers\"\nrate = %.1f\nburst = %.1f\n",
		coldRate*s.AmountShare, coldBurst(s.Nodes))
}

// coldLead is when the first peer may die: a leader has been elected by then, and processes have learnt what warm peers
// carry.
const coldLead = 10 * time.Second

// coldAway is for how long a peer is gone.
const coldAway = time.Second

// deaths lets peers die and come back cold, one each six seconds.
func deaths(s *fault.Script) {
	g := figure.Stream(s.Seed, "deaths")
	for at := coldLead; at+coldAway+4*time.Second <= s.Length.D(); at += 6 * time.Second {
		s.Faults = append(s.Faults, fault.Fault{Kind: "death", At: figure.Span(at + time.Duration(g.Float64()*float64(time.Second))),
			For: figure.Span(coldAway), Peers: []string{s.World.Peers[g.IntN(len(s.World.Peers))].Name}})
	}
}

func coldWith(draw func(uint64, int, time.Duration) (*fault.Script, error)) func(uint64, int, time.Duration) (*fault.Script, error) {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s, err := draw(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		deaths(s)
		return s, s.Check()
	}
}

// ColdScenario is what all processes send to cold peers. Without the budget each guesses its part.
func ColdScenario(shared bool) Scenario {
	more := coldFile
	if !shared {
		more = func(FileValues) string { return "" }
	}
	return Scenario{"cold", coldWith(BudgetDemoScript), coldWith(BudgetRandomScript), budgetQuietScript, BudgetCases(), more,
		func(s *fault.Script, a *Account) Outcome { return JudgeCold(s, a, shared) }, nil, nil}
}

// Cold is what came of it.
type Cold struct {
	Nodes   int         `json:"nodes"`
	Seconds float64     `json:"seconds"`
	Starts  int         `json:"starts"` // of peers, cold
	Over    float64     `json:"over"`   // greatest part of what any window allows that came to a cold peer, its tries by what they cost
	Use     float64     `json:"use"`    // of what was allowed, the mean from 2 to 8 s after starts
	Tries   int         `json:"tries"`  // that came to cold peers
	Falls   int         `json:"falls"`  // of them, pushed over
	Broken  []Violation `json:"broken"`
}

// coldTime is one time for which a peer was cold, from when its start was listed.
type coldTime struct {
	peer             string
	born, from, till time.Duration
}

// listGrace is how long a list is on its way to the processes: what one that has not got it sends, it sends to a warm
// peer.
const listGrace = 300 * time.Millisecond

// coldTimes are all of a run. A start that is not listed before the peer ends again is none.
func coldTimes(s *fault.Script, a *Account) (all []coldTime) {
	open := map[string]*coldTime{}
	shut := func(peer string, at time.Duration) {
		if c := open[peer]; c != nil && c.from > 0 && at > c.from {
			all = append(all, coldTime{peer, c.born, c.from, min(at, c.born+s.World.Contract.Cold.D())})
		}
		delete(open, peer)
	}
	for _, e := range a.Peers {
		switch c := open[e.Who]; {
		case e.What == "started cold":
			shut(e.Who, e.At)
			open[e.Who] = &coldTime{peer: e.Who, born: e.At}
		case e.What == eventEnded:
			shut(e.Who, e.At)
		case e.What == "listed Ready" && c != nil && c.from == 0:
			c.from = e.At + listGrace
		}
	}
	for _, p := range s.World.Peers {
		shut(p.Name, a.End)
	}
	slices.SortFunc(all, func(x, y coldTime) int { return int(x.from - y.from) })
	return all
}

// cost is what a try to the peer costs at an instant.
func (c coldTime) cost(s *fault.Script, at time.Duration) float64 {
	least := s.World.Contract.ColdShare
	return least / (least + (1-least)*float64(at-c.born)/float64(s.World.Contract.Cold))
}

// JudgeCold counts what came to cold peers.
func JudgeCold(s *fault.Script, a *Account, shared bool) *Cold {
	m := newAmount(a, "cold", int(coldRate))
	c := &Cold{Nodes: m.Nodes, Seconds: m.Seconds, Falls: a.Falls, Broken: m.Broken}
	used, looked := 0.0, 0.0
	for _, one := range coldTimes(s, a) {
		c.Starts++
		var at []time.Duration
		var costs []float64
		for _, came := range a.Arrivals {
			if !came.Done && came.Peer == one.peer && came.At >= one.from && came.At < one.till && came.At <= a.End {
				at, costs = append(at, came.At), append(costs, one.cost(s, came.At))
			}
		}
		c.Tries += len(at)
		if part, when, wide := costly(at, costs, coldBurst(len(a.Names))); part > c.Over {
			if c.Over = part; shared && part > 1 {
				c.Broken = append(c.Broken, Violation{"over", when - a.Begin,
					fmt.Sprintf("in %v, %.3f times what is allowed came to the cold peer %s", wide, part, one.peer)})
			}
		}
		if begin, end := one.born+2*time.Second, one.born+8*time.Second; one.from <= begin && one.till >= end {
			looked += coldRate * (end - begin).Seconds()
			for i := range at {
				if at[i] >= begin && at[i] < end {
					used += costs[i]
				}
			}
		}
	}
	if looked > 0 {
		c.Use = used / looked
	}
	if c.Tries == 0 {
		c.Broken = append(c.Broken, Violation{"use", a.End - a.Begin, "nothing came to any cold peer"})
	}
	return c
}

// costly is the greatest part of what any window allows.
func costly(came []time.Duration, costs []float64, burst float64) (most float64, at, wide time.Duration) {
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
	fmt.Fprintf(&t, "%d processes share %.0f tries a second to each cold peer, and a burst of %.0f, for %.0f s, in which peers started %d "+
		"times and %d fell\n", c.Nodes, coldRate, coldBurst(c.Nodes), c.Seconds, c.Starts, c.Falls)
	fmt.Fprintf(&t, "to a cold peer came at most %.3f of what any window allows; of what was allowed %.3f was used from 2 to 8 s after a "+
		"start\n", c.Over, c.Use)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (c *Cold) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; %d starts, over %.3f, use %.3f, %d fell; %s", s.Seed, strings.Join(s.Kinds(), " "), c.Starts, c.Over,
		c.Use, c.Falls, verdict(c.Broken))
}
