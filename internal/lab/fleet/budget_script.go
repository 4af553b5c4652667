package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// bookFile is what the fleet files of a run say of the book.
func bookFile(s FileValues, reserve float64) string {
	return fmt.Sprintf("\n[book]\n%slease = %q\nreserve = %.2f\nseats = %d\n\n", s.votersTable(), budgetLease, reserve, s.Nodes)
}

// BudgetFile is what they say of the budget.
func BudgetFile(s FileValues) string {
	return bookFile(s, 0.04) + fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nrate = %.1f\nburst = %.1f\n", budgetName,
		budgetRate*s.AmountShare, budgetBurst*s.AmountShare)
}

// budgetQuietScript is a script without faults in which one tenant asks for more than the budget.
func budgetQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := live.Sample(6, nodes, budgetRate*demandTimes)
	s.Seed, s.Length = seed, figure.Span(length)
	w := &s.World
	w.Tenants = w.Tenants[:1]
	w.Tenants[0].Share, w.Tenants[0].Quota = 1, 0
	for i := range w.Clients {
		w.Clients[i].Name, w.Clients[i].Tenant = fmt.Sprintf("crowd-%d", i), w.Tenants[0].Name
		w.Clients[i].Retries = 0                     // who was refused does not ask again, so that the demand is what it is
		w.Clients[i].Fresh, w.Clients[i].Keep = 1, 0 // each asks any node, so that no crowd of connections moves as one
		w.Clients[i].Mix = map[string]float64{"status": 1}
	}
	for i := range w.Peers { // which are no bottleneck
		w.Peers[i].Cores, w.Peers[i].Slots = 8, 8
	}
	w.Contract.SecondCopies, w.Contract.Probes = false, false
	return s
}

// BudgetDemoScript is the script that shows a budget: one process is killed, and starts again; which, and when, is
// drawn.
func BudgetDemoScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	if nodes < 2 || length < 20*time.Second {
		return nil, fmt.Errorf("%d nodes and %v: at least 2 and 20s are wanted", nodes, length)
	}
	s := budgetQuietScript(seed, nodes, length)
	g := figure.Stream(seed, "drama")
	kill := figure.Span(float64(length) * figure.Uniform(g, 0.3, 0.36))
	start := figure.Span(float64(length) * figure.Uniform(g, 0.6, 0.64))
	s.Faults = []fault.Fault{{Kind: "node-kill", At: kill, For: start - kill, Nodes: []string{s.World.Nodes[g.IntN(nodes)].Name}}}
	return s, s.Check()
}

// BudgetRandomScript is the script of a seed: faults of all kinds while the budget is asked for.
func BudgetRandomScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	drawn, err := RandomScript(seed, nodes, length)
	if err != nil {
		return nil, err
	}
	s := budgetQuietScript(seed, nodes, length)
	s.Faults = drawn.Faults
	return s, s.Check()
}
