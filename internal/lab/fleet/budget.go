package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// The budget on the rate of calls that the rig's processes share. It limits the only tenant whose clients send calls.
const (
	budgetName   = "acme-quota"
	budgetRate   = 120.0
	budgetBurst  = 60.0
	budgetLease  = 2 * time.Second
	demandFactor = 2.0 // demand of the clients, as a multiple of budgetRate
)

// Budget is the result of a run with a budget on the rate of calls.
type Budget struct {
	Nodes          int     `json:"nodes"`
	Seconds        float64 `json:"seconds"`
	Over           float64 `json:"over"`      // maximum ratio of the arrivals in a window to the number allowed
	ShareSum       float64 `json:"share_sum"` // maximum sum of the shares usable at one instant, of the budget
	Use            float64 `json:"use"`       // minimum used fraction of the budget while nothing changed
	UseAfter       float64 `json:"use_after"` // the same from 10 s after a change on
	IdleAfterDeath float64 `json:"idle_after_death_s"`
	ShareError     float64 `json:"fair"` // maximum of |share of the budget - share of the demand|, 5 s after a change
	NewcomerWait   float64 `json:"newcomer_s"`
	FixedShareUse  float64 `json:"fixed_use"` // use after a death if each node had a fixed share
	// The fraction of the budget that the running nodes could use together if each had a share of the budget divided by
	// the number of nodes that ran when the clients started.
	StaticCountUse    float64     `json:"told_use"`  // minimum over the run
	StaticCountOver   float64     `json:"told_over"` // maximum over the run
	Arrivals          int         `json:"arrivals"`
	Asked             int         `json:"asked"`
	LeaderTerms       int         `json:"keepers"` // the number of terms that had a leader of the ledger
	ArrivalsPerSecond []int       `json:"each_s"`  // calls that first arrived at peers in each second
	UsablePercent     []int       `json:"lent_s"`  // usable at the end of each second, in percent of the budget
	Broken            []Violation `json:"broken"`
}

// JudgeBudget checks a run against the budget, by the first arrivals of calls at peers.
func JudgeBudget(a *Account) *Budget {
	b := &Budget{
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Broken:  []Violation{},
	}
	report := newReporter(&b.Broken, a.Begin)
	reportRun(a, report)
	arrivals := firstArrivals(a)
	b.Arrivals = len(arrivals)
	b.Asked = a.Tally.Asked
	allowed := allowances(a)
	over, overAt, window := maxRatio(arrivals, allowed.unitsAllowed(budgetRate, budgetBurst))
	b.Over = over
	if over > 1 {
		report("over", overAt, "in %v, %.3f times the allowed number of calls arrived at peers", window, over)
	}
	checkLeases(a, report)
	b.UsablePercent = make([]int, int(b.Seconds))
	sum, sumAt := shareSum(a, allowed, b.UsablePercent)
	b.ShareSum = sum
	if sum > 1+roundingError {
		report("share", sumAt, "the usable shares add up to %.4f of the budget", sum)
	}
	for t := a.Begin; t+time.Second <= a.End; t += time.Second {
		b.ArrivalsPerSecond = append(b.ArrivalsPerSecond, int(countBetween(arrivals, t, t+time.Second)))
	}
	b.measureUse(a, arrivals)
	b.measureShares(a)
	b.checkReplaced(a, report)
	if len(arrivals) == 0 {
		report("use", a.End, "no call arrived at any peer")
	}
	return b
}

// roundingError is the rounding error that the sum of the shares may have, as a fraction of the budget.
const roundingError = 1e-9

// checkReplaced checks the minimum use of a run in which lost voters were replaced.
func (b *Budget) checkReplaced(a *Account, report reporter) {
	replaced := slices.ContainsFunc(a.Events, func(e Event) bool { return e.What == eventVoters })
	if replaced && b.UseAfter < minUseAfterReplacement {
		report("book", a.End,
			"only %.3f of the budget was used from 10 s after a change on, although lost voters were replaced",
			b.UseAfter)
	}
}

// minUseAfterReplacement is the minimum fraction of the budget that has to be used if lost voters are replaced. It is
// far above the reserve, which is all that remains usable without a majority of voters.
const minUseAfterReplacement = 0.5

// Verdict returns the rules that the run broke.
func (b *Budget) Verdict() []Violation { return b.Broken }

// Text returns the result for the command's output.
func (b *Budget) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes share %.0f a second and a burst of %.0f, under %.1f times as much demand, "+
		"for %.0f s; %d terms of leaders\n", b.Nodes, budgetRate, budgetBurst, demandFactor, b.Seconds, b.LeaderTerms)
	fmt.Fprintf(&t, "at most %.3f of the calls allowed in any window arrived at peers; "+
		"the shares usable at one time add up to at most %.4f\n", b.Over, b.ShareSum)
	fmt.Fprintf(&t, "used at least %.3f without a change, %.3f from 10 s after a change; "+
		"with a fixed share per node %.3f while one is dead; divided by the configured number of nodes %.3f to %.3f\n",
		b.Use, b.UseAfter, b.FixedShareUse, b.StaticCountUse, b.StaticCountOver)
	fmt.Fprintf(&t, "a dead process's share is in use again after %.2f s; a new process has a share after %.2f s; "+
		"shares differ from those of the demand by at most %.3f, 5 s after a change\n",
		b.IdleAfterDeath, b.NewcomerWait, b.ShareError)
	for _, one := range b.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (b *Budget) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; "+
		"over %.3f, share_sum %.4f, use %.3f, after changes %.3f, idle %.2f s, newcomer %.2f s; %s",
		s.Seed, strings.Join(s.Kinds(), " "), b.Over, b.ShareSum, b.Use, b.UseAfter,
		b.IdleAfterDeath, b.NewcomerWait, verdict(b.Broken))
}
