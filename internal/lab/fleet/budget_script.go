package fleet

import (
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// ledgerTable returns the table of the fleet files that configures the replicated ledger of budgets.
func ledgerTable(s FileValues, reserve float64) string {
	return fmt.Sprintf("\n[book]\n%slease = %q\nreserve = %.2f\nseats = %d\n\n",
		s.votersTable(), budgetLease, reserve, s.Nodes)
}

// BudgetTables returns the tables of the fleet files that configure the budget and its ledger.
func BudgetTables(s FileValues) string {
	return ledgerTable(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nrate = %.1f\nburst = %.1f\n",
			budgetName, budgetRate*s.AmountShare, budgetBurst*s.AmountShare)
}

// budgetQuietScript returns a script without faults in which one tenant demands demandFactor times the budget.
func budgetQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := live.Sample(6, nodes, budgetRate*demandFactor)
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
		client.Retries = 0 // a rejected call is not retried, which keeps the demand constant
		client.Fresh = 1   // a new connection for each call spreads calls evenly over the nodes
		client.Keep = 0
		client.Mix = map[string]float64{"status": 1}
	}
	for i := range w.Peers { // enough capacity for the whole demand
		w.Peers[i].Cores = 8
		w.Peers[i].Slots = 8
	}
	w.Contract.SecondCopies = false
	w.Contract.Probes = false
	return s
}

// BudgetDemoScript returns the script that demonstrates a budget: one process is killed and started again. The seed
// selects the process and the times.
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

// BudgetRandomScript returns a script with faults of all kinds, drawn by the seed, while clients demand more than the
// budget.
func BudgetRandomScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	drawn, err := RandomScript(seed, nodes, length)
	if err != nil {
		return nil, err
	}
	s := budgetQuietScript(seed, nodes, length)
	s.Faults = drawn.Faults
	return s, s.Check()
}
