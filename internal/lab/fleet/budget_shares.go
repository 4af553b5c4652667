package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/budget"
)

// leases holds each part's end at its holder against its end at the leader, by the one clock of the machine.
func leases(a *Account, report reporter) {
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
			report("lease", time.Duration(l.At), "%s holds a part %.3fs longer than the leader counts it", l.Node, (own - end).Seconds())
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
		if e.PID != 0 && (e.What == eventKilled || e.What == eventEnded || e.What == eventStrangerKilled) {
			name := e.Node
			if e.What == eventStrangerKilled {
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
