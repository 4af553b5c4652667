package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/budget"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// The budget that the rig's processes share: of the one tenant whose clients there are.
const (
	budgetName  = "acme-quota"
	budgetRate  = 120.0
	budgetBurst = 60.0
	budgetLease = 2 * time.Second
	demandTimes = 2.0 // the budget
)

// bookFile is what the fleet files of a run say of the book.
func bookFile(s Says, reserve float64) string {
	return fmt.Sprintf("\n[book]\n%slease = %q\nreserve = %.2f\nseats = %d\n\n", s.voters(), budgetLease, reserve, s.Nodes)
}

// BudgetFile is what they say of the budget.
func BudgetFile(s Says) string {
	return bookFile(s, 0.04) + fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nrate = %.1f\nburst = %.1f\n", budgetName,
		budgetRate*s.Share, budgetBurst*s.Share)
}

// budgetWorld is a script without faults in which one tenant asks for more than the budget.
func budgetWorld(seed uint64, nodes int, length time.Duration) *fault.Script {
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

// BudgetDrama is the script that shows a budget: one process is killed, and starts again; which, and when, is drawn.
func BudgetDrama(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	if nodes < 2 || length < 20*time.Second {
		return nil, fmt.Errorf("%d nodes and %v: at least 2 and 20s are wanted", nodes, length)
	}
	s := budgetWorld(seed, nodes, length)
	g := figure.Stream(seed, "drama")
	kill := figure.Span(float64(length) * figure.Uniform(g, 0.3, 0.36))
	start := figure.Span(float64(length) * figure.Uniform(g, 0.6, 0.64))
	s.Faults = []fault.Fault{{Kind: "node-kill", At: kill, For: start - kill, Nodes: []string{s.World.Nodes[g.IntN(nodes)].Name}}}
	return s, s.Check()
}

// BudgetDraw is the script of a seed: faults of all kinds while the budget is asked for.
func BudgetDraw(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	drawn, err := Draw(seed, nodes, length)
	if err != nil {
		return nil, err
	}
	s := budgetWorld(seed, nodes, length)
	s.Faults = drawn.Faults
	return s, s.Check()
}

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
	ToldUse   float64  `json:"told_use"`  // the least that the nodes that are there may use
	ToldOver  float64  `json:"told_over"` // and the most
	Arrivals  int      `json:"arrivals"`
	Asked     int      `json:"asked"`
	Handovers int      `json:"keepers"` // terms in which somebody kept the book
	Each      []int    `json:"each_s"`  // what came to peers in each second
	Lent      []int    `json:"lent_s"`  // what could be used at its end, in percent of the whole
	Broken    []Broken `json:"broken"`
}

// windows are those over which arrivals are counted.
var windows = []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second}

// JudgeBudget holds a run against the budget, by what peers received first.
func JudgeBudget(a *Account) *Budget {
	b := &Budget{Nodes: len(a.Names), Seconds: (a.End - a.Begin).Seconds(), Broken: []Broken{}}
	breaks := func(rule string, at time.Duration, format string, args ...any) {
		if len(b.Broken) < 20 {
			b.Broken = append(b.Broken, Broken{rule, at - a.Begin, fmt.Sprintf(format, args...)})
		}
	}
	for _, w := range a.Broken {
		breaks("world", a.Begin, "%s", w)
	}
	if a.Machine != nil {
		breaks("rig", a.Begin, "%v", a.Machine)
	}
	first := firsts(a)
	b.Arrivals, b.Asked = len(first), a.Tally.Asked
	var at time.Duration
	var wide time.Duration
	allowed := allowances(a)
	if b.Over, at, wide = over(first, allowed.rate(budgetRate, budgetBurst)); b.Over > 1 {
		breaks("over", at, "in %v, %.3f times what is allowed came to peers", wide, b.Over)
	}
	leases(a, breaks)
	b.Lent = make([]int, int(b.Seconds))
	if b.ShareSum, at = shareSum(a, allowed, b.Lent); b.ShareSum > 1+1e-9 {
		breaks("share", at, "the parts that could be used add up to %.4f of the whole", b.ShareSum)
	}
	for t := a.Begin; t+time.Second <= a.End; t += time.Second {
		b.Each = append(b.Each, int(counted(first, t, t+time.Second)))
	}
	b.uses(a, first)
	b.shares(a)
	replaced := slices.ContainsFunc(a.Events, func(e Happened) bool { return e.What == "keepers" })
	if replaced && b.UseAfter < leastReplaced {
		breaks("book", a.End, "of the whole %.3f was used from 10 s after a change on, though lost voters were replaced", b.UseAfter)
	}
	if len(first) == 0 {
		breaks("use", a.End, "nothing came to any peer")
	}
	return b
}

// leastReplaced is the least part of the whole that has to be used where voters that are lost are replaced: far beyond the
// reserve, which is all that is left without a majority of them.
const leastReplaced = 0.5

// settled is how long it takes until all that was lent of an old amount has ended, once the last process has read its file:
// a lease, and the tenth of a second in which the processes hear of it. A process that stands still then reads it later, and
// has its part of the reserve until then.
const settled = budgetLease*102/100 + 100*time.Millisecond

// Allowance is which share of a budget's amount is allowed when: of two that follow each other the greater, until the old one
// is settled.
type Allowance []Happened

func allowances(a *Account) (all Allowance) {
	for _, e := range a.Events {
		if e.What == "amounts" {
			all = append(all, e)
		}
	}
	return all
}

// at is the share at an instant.
func (all Allowance) at(t time.Duration) float64 { return all.most(t, t) }

// most is the greatest share between two instants.
func (all Allowance) most(from, to time.Duration) float64 {
	share, most := 1.0, 0.0
	for _, e := range all {
		if e.At > to {
			break
		}
		if e.At+settled > from { // the one before it was in force still
			most = max(most, share)
		}
		share = e.Share
	}
	return max(most, share)
}

// rate is what a rate allows between two instants.
func (all Allowance) rate(rate, burst float64) func(from, to time.Duration) float64 {
	return func(from, to time.Duration) float64 {
		steps := []time.Duration{to}
		for _, e := range all { // a new share begins at once if it is greater, and else once the old one is settled
			for _, step := range []time.Duration{e.At, e.At + settled} {
				if step > from && step < to {
					steps = append(steps, step)
				}
			}
		}
		slices.Sort(steps)
		units := burst * all.most(from, to)
		for _, step := range steps {
			units += rate * all.at((from+step)/2) * (step - from).Seconds()
			from = step
		}
		return units
	}
}

// firsts are the instants at which each call first came to a peer.
func firsts(a *Account) (all []time.Duration) {
	seen := map[string]bool{}
	for _, c := range a.Came {
		if !c.Done && !seen[c.Call] && c.At <= a.End {
			seen[c.Call] = true
			all = append(all, c.At)
		}
	}
	slices.Sort(all)
	return all
}

// over is the greatest part of what any window allows.
func over(came []time.Duration, allowed func(from, to time.Duration) float64) (most float64, at, wide time.Duration) {
	for _, w := range windows {
		from := 0
		for i, t := range came {
			for came[from] <= t-w {
				from++
			}
			if part := float64(i-from+1) / allowed(t-w, t); part > most {
				most, at, wide = part, t, w
			}
		}
	}
	return most, at, wide
}

// leases holds each part's end at its holder against its end at the leader, by the one clock of the machine.
func leases(a *Account, breaks func(rule string, at time.Duration, format string, args ...any)) {
	ends := map[string]time.Duration{}
	for _, l := range a.Lines {
		var lent budget.GrantRecord
		if l.Kind == "lends" && json.Unmarshal(l.Data, &lent) == nil {
			ends[fmt.Sprintf("%s %d", lent.Holder, lent.Grant)] = time.Duration(lent.Until)
		}
	}
	for _, l := range a.Lines {
		var hs []budget.Holding
		if l.Kind != "holds" || json.Unmarshal(l.Data, &hs) != nil || len(hs) == 0 || hs[0].Grant == 0 {
			continue
		}
		end, known := ends[fmt.Sprintf("%s %d", strings.TrimSuffix(l.Node, "~"), hs[0].Grant)]
		if own := time.Duration(hs[0].Ends); known && hs[0].Left > 0 && own > end {
			breaks("lease", time.Duration(l.At), "%s holds a part %.3fs longer than the leader counts it", l.Node, (own - end).Seconds())
		}
	}
}

// usable is what one process may use, as it said last.
type usable struct {
	lent, reserve float64
	until         time.Duration
}

// shareSum is the greatest sum of all that processes could use at one instant: those that stood still, were cut off or
// ended later than they knew, too. What was killed uses nothing.
func shareSum(a *Account, allowed Allowance, each []int) (most float64, when time.Duration) {
	type change struct {
		at  time.Duration
		who string
		u   *usable // nil: look again
	}
	var all []change
	for _, l := range a.Lines {
		if l.Kind != "holds" {
			continue
		}
		u := &usable{}
		var hs []budget.Holding
		if json.Unmarshal(l.Data, &hs) == nil && len(hs) > 0 {
			u = &usable{hs[0].Amount, hs[0].Reserve, time.Duration(hs[0].Ends)}
		}
		who := fmt.Sprintf("%s %d", l.Node, l.PID)
		all = append(all, change{time.Duration(l.At), who, u}, change{at: u.until, who: who})
	}
	for _, e := range a.Events {
		if e.PID != 0 && (e.What == "killed" || e.What == "ended" || e.What == "twin killed") {
			name := e.Node
			if e.What == "twin killed" {
				name += "~"
			}
			all = append(all, change{e.At, fmt.Sprintf("%s %d", name, e.PID), &usable{}})
		}
	}
	slices.SortStableFunc(all, func(x, y change) int { return int(x.at - y.at) })
	have := map[string]*usable{}
	for _, c := range all {
		if c.u != nil {
			have[c.who] = c.u
		}
		sum := 0.0
		for _, u := range have {
			if sum += u.reserve; c.at < u.until {
				sum += u.lent
			}
		}
		if s := int((c.at - a.Begin).Seconds()); c.at >= a.Begin && s < len(each) {
			each[s] = int(math.Round(100 * sum / budgetRate))
		}
		if part := sum / (budgetRate * allowed.at(c.at)); part > most && c.at <= a.End {
			most, when = part, c.at
		}
	}
	return most, when
}

// useOver is the window over which use is measured. It begins 8 s after the clients do: a leader has to be elected by then,
// and to have waited for a lease.
const useOver = 2 * time.Second

// uses measures how much of the whole was used, and how long a death left its part idle.
func (b *Budget) uses(a *Account, came []time.Duration) {
	b.Use, b.UseAfter = 1, 1
	changes := []time.Duration{a.Begin - 5*time.Second}
	for _, e := range a.Events {
		if e.At > a.Begin {
			changes = append(changes, e.At)
		}
	}
	for t := a.Begin + 8*time.Second; t+useOver <= a.End; t += 100 * time.Millisecond {
		used := counted(came, t, t+useOver) / (budgetRate * useOver.Seconds())
		last, next := a.Begin-5*time.Second, a.End
		for _, c := range changes {
			if c <= t {
				last = c
			} else {
				next = min(next, c)
			}
		}
		switch {
		case next < t+useOver:
		case last < a.Begin:
			b.Use = min(b.Use, used)
		case t-last >= 10*time.Second:
			b.UseAfter = min(b.UseAfter, used)
		}
	}
	down := 0
	for i, e := range a.Events {
		if e.What != "killed" {
			continue
		}
		down++
		end := a.End
		for _, later := range a.Events[i+1:] {
			end = min(end, later.At)
		}
		for t := e.At; t+time.Second <= end; t += 50 * time.Millisecond {
			if counted(came, t, t+time.Second) >= 0.9*budgetRate {
				b.Idle = max(b.Idle, (t - e.At).Seconds())
				break
			}
		}
	}
	b.Fixed = 1 - float64(min(down, 1))/float64(len(a.Names))
	b.told(a)
}

// told is what would hold if each node took its part by the number of those that were there when clients came.
func (b *Budget) told(a *Account) {
	here, told := map[string]bool{}, 0
	b.ToldUse, b.ToldOver = 1, 1
	for _, e := range a.Events {
		if e.At > a.Begin && told == 0 {
			told = len(here)
		}
		switch e.What {
		case "started":
			here[e.Node] = true
		case "killed", "ended":
			delete(here, e.Node)
		}
		if told > 0 {
			part := float64(len(here)) / float64(told)
			b.ToldUse, b.ToldOver = min(b.ToldUse, part), max(b.ToldOver, part)
		}
	}
}

func counted(came []time.Duration, from, to time.Duration) float64 {
	i, _ := slices.BinarySearch(came, from)
	j, _ := slices.BinarySearch(came, to)
	return float64(j - i)
}

// shares looks at the parts themselves: how fair they are, and how soon a newcomer has one.
func (b *Budget) shares(a *Account) {
	type holds struct {
		at   time.Duration
		node string
		h    budget.Holding
	}
	var all []holds
	took := map[string]time.Duration{}
	for _, l := range a.Lines {
		switch l.Kind {
		case "took":
			took[fmt.Sprintf("%s %d", l.Node, l.PID)] = time.Duration(l.At)
		case "keeps":
			b.Handovers++
		case "holds":
			var hs []budget.Holding
			if json.Unmarshal(l.Data, &hs) != nil || len(hs) == 0 {
				continue
			}
			all = append(all, holds{time.Duration(l.At), l.Node, hs[0]})
			who := fmt.Sprintf("%s %d", l.Node, l.PID)
			if since, waits := took[who]; waits && hs[0].Amount+hs[0].Reserve > 0 {
				delete(took, who)
				if since > a.Begin {
					b.Newcomer = max(b.Newcomer, (time.Duration(l.At) - since).Seconds())
				}
			}
		}
	}
	for i, e := range a.Events {
		at := e.At + 5*time.Second
		if at > a.End || e.At < a.Begin || i+1 < len(a.Events) && a.Events[i+1].At < at+budgetLease/8 {
			continue
		}
		now := map[string]budget.Holding{}
		for _, h := range all {
			if h.at > at-budgetLease/4 && h.at <= at {
				now[h.node] = h.h
			}
		}
		held, want := 0.0, 0.0
		for _, h := range now {
			held += h.Amount
			want += h.Demand
		}
		for _, h := range now {
			if held > 0 && want > 0 {
				b.Fair = max(b.Fair, math.Abs(h.Amount/held-h.Demand/want))
			}
		}
	}
}

// Verdict are the rules that did not hold.
func (b *Budget) Verdict() []Broken { return b.Broken }

// Text is the result for people.
func (b *Budget) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes share %.0f a second and a burst of %.0f, under %.1f times as much demand, for %.0f s; %d terms of "+
		"leaders\n", b.Nodes, budgetRate, budgetBurst, demandTimes, b.Seconds, b.Handovers)
	fmt.Fprintf(&t, "to peers came at most %.3f of what any window allows; parts usable at one time add up to %.4f at most\n", b.Over,
		b.ShareSum)
	fmt.Fprintf(&t, "used at least %.3f in calm, %.3f from 10 s after a change; with a fixed part for each name %.3f while one is "+
		"dead; by the number told at the start %.3f to %.3f\n", b.Use, b.UseAfter, b.Fixed, b.ToldUse, b.ToldOver)
	fmt.Fprintf(&t, "a dead process's part is in use again after %.2f s; a newcomer has a part after %.2f s; parts are within %.3f of "+
		"their demand's 5 s after a change\n", b.Idle, b.Newcomer, b.Fair)
	for _, one := range b.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (b *Budget) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; over %.3f, share_sum %.4f, use %.3f, after changes %.3f, idle %.2f s, newcomer %.2f s; %s", s.Seed,
		strings.Join(s.Kinds(), " "), b.Over, b.ShareSum, b.Use, b.UseAfter, b.Idle, b.Newcomer, verdict(b.Broken))
}
