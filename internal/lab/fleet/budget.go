package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
)

// The budget that the rig's processes share: of the one tenant whose clients there are.
const (
	budgetName  = "acme-quota"
	budgetRate  = 120.0
	budgetBurst = 60.0
	budgetLease = 2 * time.Second
	demandTimes = 2.0 // the budget
)

// Budget is what came of a budget in a run.
type Budget struct {
	Nodes    int     `json:"nodes"`
	Seconds  float64 `json:"seconds"`
	Over     float64 `json:"over"`      // greatest part of what a window allows that came to peers
	ShareSum float64 `json:"share_sum"` // greatest sum of parts usable at one instant, of the whole
	Use      float64 `json:"use"`       // least part of the whole that was used, in calm
	UseAfter float64 `json:"use_after"` // the same, from 10 s after a change on
	Idle     float64 `json:"idle_after_death_s"`
	Fair     float64 `json:"fair"` // greatest distance of a part from its demand's, 5 s after a change
	Newcomer float64 `json:"newcomer_s"`
	Fixed    float64 `json:"fixed_use"` // use after the death, had each name a fixed part
	// The same with today's way: each node takes the whole divided by the number of nodes that it was told at its start.
	ToldUse   float64     `json:"told_use"`  // the least that the nodes that are there may use
	ToldOver  float64     `json:"told_over"` // and the most
	Arrivals  int         `json:"arrivals"`
	Asked     int         `json:"asked"`
	Handovers int         `json:"keepers"` // terms in which somebody kept the book
	Each      []int       `json:"each_s"`  // what came to peers in each second
	Lent      []int       `json:"lent_s"`  // what could be used at its end, in percent of the whole
	Broken    []Violation `json:"broken"`
}

// JudgeBudget holds a run against the budget, by what peers received first.
func JudgeBudget(a *Account) *Budget {
	b := &Budget{
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Broken:  []Violation{},
	}
	report := newReporter(&b.Broken, a.Begin)
	reportRun(a, report)
	came := firstArrivals(a)
	b.Arrivals = len(came)
	b.Asked = a.Tally.Asked
	allowed := allowances(a)
	over, overAt, window := greatestPart(came, allowed.rate(budgetRate, budgetBurst))
	b.Over = over
	if over > 1 {
		report("over", overAt, "in %v, %.3f times what is allowed came to peers", window, over)
	}
	leases(a, report)
	b.Lent = make([]int, int(b.Seconds))
	sum, sumAt := shareSum(a, allowed, b.Lent)
	b.ShareSum = sum
	if sum > 1+roundingError {
		report("share", sumAt, "the parts that could be used add up to %.4f of the whole", sum)
	}
	for t := a.Begin; t+time.Second <= a.End; t += time.Second {
		b.Each = append(b.Each, int(counted(came, t, t+time.Second)))
	}
	b.measureUse(a, came)
	b.shares(a)
	b.checkReplaced(a, report)
	if len(came) == 0 {
		report("use", a.End, "nothing came to any peer")
	}
	return b
}

// roundingError is by how much the sum of parts may be more than the whole.
const roundingError = 1e-9

// checkReplaced holds the use against its bound where lost voters were replaced.
func (b *Budget) checkReplaced(a *Account, report reporter) {
	replaced := slices.ContainsFunc(a.Events, func(e Event) bool { return e.What == eventVoters })
	if replaced && b.UseAfter < leastReplaced {
		report("book", a.End, "of the whole %.3f was used from 10 s after a change on, though lost voters were replaced",
			b.UseAfter)
	}
}

// leastReplaced is the least part of the whole that has to be used where voters that are lost are replaced: far beyond
// the reserve, which is all that is left without a majority of them.
const leastReplaced = 0.5

// Verdict are the rules that did not hold.
func (b *Budget) Verdict() []Violation { return b.Broken }

// Text is the result for people.
func (b *Budget) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes share %.0f a second and a burst of %.0f, under %.1f times as much demand, "+
		"for %.0f s; %d terms of leaders\n", b.Nodes, budgetRate, budgetBurst, demandTimes, b.Seconds, b.Handovers)
	fmt.Fprintf(&t, "to peers came at most %.3f of what any window allows; "+
		"parts usable at one time add up to %.4f at most\n", b.Over, b.ShareSum)
	fmt.Fprintf(&t, "used at least %.3f in calm, %.3f from 10 s after a change; "+
		"with a fixed part for each name %.3f while one is dead; by the number told at the start %.3f to %.3f\n",
		b.Use, b.UseAfter, b.Fixed, b.ToldUse, b.ToldOver)
	fmt.Fprintf(&t, "a dead process's part is in use again after %.2f s; a newcomer has a part after %.2f s; "+
		"parts are within %.3f of their demand's 5 s after a change\n", b.Idle, b.Newcomer, b.Fair)
	for _, one := range b.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (b *Budget) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; "+
		"over %.3f, share_sum %.4f, use %.3f, after changes %.3f, idle %.2f s, newcomer %.2f s; %s",
		s.Seed, strings.Join(s.Kinds(), " "), b.Over, b.ShareSum, b.Use, b.UseAfter, b.Idle, b.Newcomer, verdict(b.Broken))
}
