package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// bookFile is the table of the fleet files for the replicated ledger of budgets.
func bookFile(s FileValues, reserve float64) string {
	return fmt.Sprintf("\n[book]\n%slease = %q\nreserve = %.2f\nseats = %d\n\n",
		s.votersTable(), budgetLease, reserve, s.Nodes)
}

// BudgetFile is the tables of the fleet files for the budget.
func BudgetFile(s FileValues) string {
	return bookFile(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nrate = %.1f\nburst = %.1f\n",
			budgetName, budgetRate*s.AmountShare, budgetBurst*s.AmountShare)
}

// budgetQuietScript is a script without faults in which one tenant asks for more than the budget.
func budgetQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := live.Sample(6, nodes, budgetRate*demandTimes)
	s.Seed = seed
	s.Length = figure.Span(length)
	w := &s.World
	w.Tenants = w.Tenants[:1]
	w.Tenants[0].Share = 1
	w.Tenants[0].Quota = 0
	for i := range w.Clients {
		client := &w.Clients[i]
		client.Name = fmt.Sprintf("crowd-%d", i)
		client.Tenant = w.Tenants[0].Name
		client.Retries = 0 // a rejected client does not retry, so that the demand is what it is
		client.Fresh = 1   // each call goes to any node, so that no group of connections moves as one
		client.Keep = 0
		client.Mix = map[string]float64{"status": 1}
	}
	for i := range w.Peers { // which are no bottleneck
		w.Peers[i].Cores = 8
		w.Peers[i].Slots = 8
	}
	w.Contract.SecondCopies = false
	w.Contract.Probes = false
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
	node := s.World.Nodes[g.IntN(nodes)].Name
	s.Faults = []fault.Fault{{Kind: "node-kill", At: kill, For: start - kill, Nodes: []string{node}}}
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
