package fleet

import (
	"fmt"
	"slices"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// choicesQuietScript returns a script without faults with the given number of identical peers and an even load.
func choicesQuietScript(peers int) quietScriptMaker {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := live.Sample(peers, nodes, min(requestsPerPeer*float64(peers), maxRequestRate))
		s.Seed = seed
		s.Length = figure.Span(length)
		for i := range s.World.Clients {
			client := &s.World.Clients[i]
			client.Keys = choicesKeys
			client.Zipf = 0
			client.Mix = map[string]float64{"status": 1}
			client.Fresh = 1
			client.Keep = 0
		}
		for i := range s.World.Tenants {
			s.World.Tenants[i].Quota = 0
		}
		return s
	}
}

// choicesDemoScript returns the script that demonstrates choices: one process is killed and started again.
func choicesDemoScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		demo, err := BudgetDemoScript(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := choicesQuietScript(peers)(seed, nodes, length)
		s.Faults = demo.Faults
		return s, s.Check()
	}
}

// choicesRandomScript returns a script, drawn by the seed, in which nodes and peers die, stop, are slow or are cut off,
// several at one time.
func choicesRandomScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s := choicesQuietScript(peers)(seed, nodes, length)
		kind := func(name string, weight, lo, hi float64) fault.KindRanges {
			return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.05, Hi: 0.3},
				For: fault.SecondsRange(lo, hi)}
		}
		slow := kind("slow", 3, 2, 8)
		slow.Factor = fault.Range{Lo: 2, Hi: 6}
		tail := figure.Span(settleTail)
		s.DrawFaults([]fault.KindRanges{kind("death", 8, 2, 8), slow, kind("stall", 3, 1, 4), kind("node-kill", 8, 2, 10),
			kind("node-restart", 4, 2.5, 8), kind("fleet-stop", 4, 1, 6), kind("fleet-split", 4, 2, 10)},
			fault.FaultPlan{Count: fault.Counts{Lo: 1, Hi: 3}, Lead: fault.SecondsRange(6, 8),
				Tail: fault.Spans{Lo: tail, Hi: tail}, Overlap: 0.4})
		last := s.Length - tail
		s.Faults = slices.DeleteFunc(s.Faults, func(f fault.Fault) bool { return f.Ends() > last })
		return s, s.Check()
	}
}

// ChoicesScenario examines how the choices of all processes add up on the peers. If copies is positive, each peer is in
// the subsets of that many processes, and least is the minimum size of a subset.
func ChoicesScenario(peers, copies, least int) Scenario {
	tables := ""
	if copies > 0 {
		tables = fmt.Sprintf("\n[choices]\ncopies = %d\nleast = %d\n", copies, least)
	}
	return Scenario{
		Name:         "choices",
		DemoScript:   choicesDemoScript(peers),
		RandomScript: choicesRandomScript(peers),
		QuietScript:  choicesQuietScript(peers),
		ExtraTables:  func(FileValues) string { return tables },
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeChoices(s, a) },
	}
}
