package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// settle is how long a script goes on after its last fault, so that what it did can be seen to be over.
const settle = 13 * time.Second

// quietScript is a script without faults, of some nodes that are asked a little.
func quietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := live.Sample(3, nodes, 10+2*float64(nodes))
	s.Seed = seed
	s.Length = figure.Span(length)
	for i := range s.World.Clients {
		s.World.Clients[i].Conns = 50
	}
	return s
}

// DemoScript is the script that shows membership: of some nodes one is killed and comes back, one stands still, one is
// cut off; which, and when, is drawn.
func DemoScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	s := quietScript(seed, nodes, length)
	if nodes < 4 {
		return nil, fmt.Errorf("%d nodes: at least 4 are wanted, "+
			"for one to be killed, one stopped, one cut off and one left", nodes)
	}
	if length < 25*time.Second {
		return nil, fmt.Errorf("%v: at least 25s are wanted", length)
	}
	g := figure.Stream(seed, "drama")
	whom := g.Perm(nodes)
	at := func(part float64) figure.Span {
		return figure.Span(float64(length-settle+5*time.Second) * (part + 0.02*g.Float64()))
	}
	name := func(i int) []string { return []string{s.World.Nodes[whom[i]].Name} }
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

// ranges are what the faults of seeds are drawn from.
func ranges() []fault.KindRanges {
	one := func(name string, weight, lo, hi float64) fault.KindRanges {
		return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.2, Hi: 0.45}, For: fault.SecondsRange(lo, hi)}
	}
	share := func(k fault.KindRanges, lo, hi float64) fault.KindRanges {
		k.Share = fault.Range{Lo: lo, Hi: hi}
		return k
	}
	apart := one("fleet-apart", 6, 2, 10)
	apart.Part = fault.Range{Lo: 0.4, Hi: 0.8}
	late := one("fleet-late", 3, 2, 8)
	late.Pause = fault.SecondsRange(0.005, 0.1)
	return []fault.KindRanges{
		one("node-kill", 12, 0.5, 14), one("node-restart", 8, 2.5, 8), one("fleet-stop", 10, 0.5, 9),
		one("fleet-split", 12, 1, 12), one("fleet-deaf", 4, 1, 8), one("fleet-mute", 4, 1, 8),
		apart,
		share(one("fleet-lossy", 6, 2, 10), 0.05, 0.3), share(one("fleet-double", 2, 2, 8), 0.05, 0.5),
		share(one("fleet-reorder", 2, 2, 8), 0.05, 0.5), share(one("fleet-reset", 3, 2, 8), 0.1, 0.6), late,
		one("fleet-upgrade", 8, 0, 0), one("fleet-move", 6, 0.5, 8), one("fleet-twin", 4, 3, 8),
		one("fleet-full", 2, 2, 5), one("fleet-unwritable", 2, 2, 5), one("fleet-foreign", 2, 2, 5),
		one("fleet-torn", 2, 2, 5), one("fleet-emptied", 2, 2, 5),
	}
}

// RandomScript is the script of a seed: faults of all kinds, several at one time.
func RandomScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	s := quietScript(seed, nodes, length)
	tail := figure.Span(settle)
	s.DrawFaults(ranges(), fault.FaultPlan{Count: fault.Counts{Lo: 2, Hi: 5}, Lead: fault.SecondsRange(2, 4),
		Tail: fault.Spans{Lo: tail, Hi: tail}, Overlap: 0.4})
	// A fault that would last to the end leaves no time to see that it is over, so it is cut short; a restart, which takes
	// its time, is left out.
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
