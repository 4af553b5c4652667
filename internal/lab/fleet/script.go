package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// settleTail is the time from the last fault to the end of a script, in which the fleet has to recover from all faults.
const settleTail = 13 * time.Second

// quietScript returns a script without faults and with a low load.
func quietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := live.Sample(3, nodes, 10+2*float64(nodes))
	s.Seed = seed
	s.Length = figure.Span(length)
	for i := range s.World.Clients {
		s.World.Clients[i].Conns = 50
	}
	return s
}

// DemoScript returns the script that demonstrates membership: one node is killed and started again, one is stopped, and
// one is cut off. The seed selects the nodes and the times.
func DemoScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	s := quietScript(seed, nodes, length)
	if nodes < 4 {
		return nil, fmt.Errorf("%d nodes: at least 4 are wanted, "+
			"so that one is killed, one stopped, one cut off and one unaffected", nodes)
	}
	if length < 25*time.Second {
		return nil, fmt.Errorf("%v: at least 25s are wanted", length)
	}
	g := figure.Stream(seed, "drama")
	order := g.Perm(nodes)
	at := func(part float64) figure.Span {
		return figure.Span(float64(length-settleTail+5*time.Second) * (part + 0.02*g.Float64()))
	}
	name := func(i int) []string { return []string{s.World.Nodes[order[i]].Name} }
	span := func(from, to figure.Span) figure.Span { return to - from }
	kill := at(0.08)
	stop := at(0.1)
	cut := at(0.5)
	back := at(0.9)
	s.Faults = []fault.Fault{
		{Kind: "node-kill", At: kill, For: span(kill, cut), Nodes: name(0)},
		{Kind: "fleet-stop", At: stop, For: span(stop, at(0.4)), Nodes: name(1)},
		{Kind: "fleet-split", At: cut, For: span(cut, back), Nodes: name(2)},
	}
	return s, s.Check()
}

// faultRanges returns the kinds of faults, and the ranges of their parameters, from which RandomScript draws.
func faultRanges() []fault.KindRanges {
	kind := func(name string, weight, lo, hi float64) fault.KindRanges {
		return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.2, Hi: 0.45},
			For: fault.SecondsRange(lo, hi)}
	}
	share := func(k fault.KindRanges, lo, hi float64) fault.KindRanges {
		k.Share = fault.Range{Lo: lo, Hi: hi}
		return k
	}
	apart := kind("fleet-apart", 6, 2, 10)
	apart.Part = fault.Range{Lo: 0.4, Hi: 0.8}
	late := kind("fleet-late", 3, 2, 8)
	late.Pause = fault.SecondsRange(0.005, 0.1)
	upgrade := kind("fleet-upgrade", 8, 0, 0)
	upgrade.Pause = fault.SecondsRange(0, 1.5)
	return []fault.KindRanges{
		kind("node-kill", 12, 0.5, 14), kind("node-restart", 8, 2.5, 8), kind("fleet-stop", 10, 0.5, 9),
		kind("fleet-split", 12, 1, 12), kind("fleet-deaf", 4, 1, 8), kind("fleet-mute", 4, 1, 8),
		apart,
		share(kind("fleet-lossy", 6, 2, 10), 0.05, 0.3), share(kind("fleet-double", 2, 2, 8), 0.05, 0.5),
		share(kind("fleet-reorder", 2, 2, 8), 0.05, 0.5), share(kind("fleet-reset", 3, 2, 8), 0.1, 0.6), late,
		upgrade, kind("fleet-move", 6, 0.5, 8), kind("fleet-twin", 4, 3, 8),
		kind("fleet-full", 2, 2, 5), kind("fleet-unwritable", 2, 2, 5), kind("fleet-foreign", 2, 2, 5),
		kind("fleet-torn", 2, 2, 5), kind("fleet-emptied", 2, 2, 5),
	}
}

// RandomScript returns a script with faults of all kinds, several at one time, drawn by the seed.
func RandomScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	s := quietScript(seed, nodes, length)
	tail := figure.Span(settleTail)
	s.DrawFaults(faultRanges(), fault.FaultPlan{Count: fault.Counts{Lo: 2, Hi: 5}, Lead: fault.SecondsRange(2, 4),
		Tail: fault.Spans{Lo: tail, Hi: tail}, Overlap: 0.4})
	// A fault that would last into the tail is shortened, so that there is time to check the recovery. A restart cannot be
	// shortened and is removed, as is a fault that would be shorter than 1 s.
	last := s.Length - tail
	kept := s.Faults[:0]
	for _, f := range s.Faults {
		if f.Ends() > last && f.Kind != "node-restart" && last-f.At >= figure.Span(time.Second) {
			f.For = last - f.At
		}
		if f.Ends() <= last {
			kept = append(kept, f)
		}
	}
	s.Faults = kept
	return s, s.Check()
}
