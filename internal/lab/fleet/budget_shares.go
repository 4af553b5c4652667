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

// holding is the share of the budget that a process recorded.
type holding struct {
	at    time.Duration
	node  string
	pid   int
	share *budget.Holding // nil if the process holds no share
}

// holdings returns the recorded holdings of all processes, ordered by time.
func holdings(a *Account) []holding {
	var all []holding
	for _, line := range a.Lines {
		if line.Kind != "holds" {
			continue
		}
		one := holding{at: time.Duration(line.At), node: line.Node, pid: line.PID}
		var shares []budget.Holding
		if json.Unmarshal(line.Data, &shares) == nil && len(shares) > 0 {
			one.share = &shares[0]
		}
		all = append(all, one)
	}
	return all
}

// processID returns a key that is unique to one process of a node.
func processID(node string, pid int) string {
	return fmt.Sprintf("%s %d", node, pid)
}

// grantKey identifies one grant to a node.
type grantKey struct {
	node  string
	grant uint64
}

// checkLeases checks that no holder uses a share beyond the end that the leader recorded for it. All processes read the
// same monotonic clock of the machine.
func checkLeases(a *Account, report reporter) {
	ends := map[grantKey]time.Duration{}
	for _, line := range a.Lines {
		var granted budget.GrantRecord
		if line.Kind == "lends" && json.Unmarshal(line.Data, &granted) == nil {
			ends[grantKey{granted.Holder, granted.Grant}] = time.Duration(granted.Until)
		}
	}
	for _, h := range holdings(a) {
		if h.share == nil || h.share.Grant == 0 || h.share.Left <= 0 {
			continue
		}
		end, known := ends[grantKey{strings.TrimSuffix(h.node, strangerMark), h.share.Grant}]
		if own := time.Duration(h.share.Ends); known && own > end {
			report("lease", h.at, "%s holds a share %.3fs longer than the leader counts it", h.node, (own - end).Seconds())
		}
	}
}

// usable is the share that one process may use, by its last record.
type usable struct {
	leased   float64
	leaseEnd time.Duration // end of the lease on leased
	reserve  float64
}

// usableChange is a change, at one instant, of the share that a process may use.
type usableChange struct {
	at      time.Duration
	process string
	usable  *usable // the new share; nil if only the lease of the current share ends
}

// shareSum returns the maximum sum of the shares that all processes could use at one instant, as a fraction of the
// budget, and that instant. Shares of processes that were stopped or cut off count until their leases end; a killed or
// ended process uses nothing. It stores the sum at the end of each second in eachSecond, in percent of the budget.
func shareSum(a *Account, allowed Allowance, eachSecond []int) (greatest float64, when time.Duration) {
	now := map[string]*usable{}
	for _, change := range usableChanges(a) {
		if change.usable != nil {
			now[change.process] = change.usable
		}
		sum := 0.0
		for _, u := range now {
			sum += u.reserve
			if change.at < u.leaseEnd {
				sum += u.leased
			}
		}
		if second := int((change.at - a.Begin).Seconds()); change.at >= a.Begin && second < len(eachSecond) {
			eachSecond[second] = int(math.Round(100 * sum / budgetRate))
		}
		if ratio := sum / (budgetRate * allowed.shareAt(change.at)); ratio > greatest && change.at <= a.End {
			greatest, when = ratio, change.at
		}
	}
	return greatest, when
}

// usableChanges returns the changes of all processes, ordered by time.
func usableChanges(a *Account) []usableChange {
	var all []usableChange
	for _, h := range holdings(a) {
		share := &usable{}
		if h.share != nil {
			share = &usable{leased: h.share.Amount, leaseEnd: time.Duration(h.share.Ends), reserve: h.share.Reserve}
		}
		process := processID(h.node, h.pid)
		all = append(all,
			usableChange{at: h.at, process: process, usable: share},
			usableChange{at: share.leaseEnd, process: process})
	}
	for _, e := range a.Events {
		if e.PID == 0 {
			continue
		}
		switch e.What {
		case eventKilled, eventEnded:
			all = append(all, usableChange{at: e.At, process: processID(e.Node, e.PID), usable: &usable{}})
		case eventStrangerKilled:
			all = append(all, usableChange{at: e.At, process: processID(e.Node+strangerMark, e.PID), usable: &usable{}})
		}
	}
	slices.SortStableFunc(all, func(x, y usableChange) int { return int(x.at - y.at) })
	return all
}

// measureShares measures how well the shares follow the demand, and how long new processes wait for a share.
func (b *Budget) measureShares(a *Account) {
	for _, line := range a.Lines {
		if line.Kind == "keeps" {
			b.LeaderTerms++
		}
	}
	all := holdings(a)
	b.measureNewcomers(a, all)
	for i, e := range a.Events {
		at := e.At + shareSettleTime
		changesSoon := i+1 < len(a.Events) && a.Events[i+1].At < at+budgetLease/8
		if at <= a.End && e.At >= a.Begin && !changesSoon {
			b.measureFairness(all, at)
		}
	}
}

// shareSettleTime is the duration after a change until the shares have to follow the demand.
const shareSettleTime = 5 * time.Second

// measureNewcomers measures the time from the start of a process that takes over its node's name until it holds a
// share.
func (b *Budget) measureNewcomers(a *Account, all []holding) {
	starts := map[string]time.Duration{}
	next := 0
	for _, line := range a.Lines {
		process := processID(line.Node, line.PID)
		switch line.Kind {
		case "took":
			starts[process] = time.Duration(line.At)
		case "holds":
			share := all[next].share
			next++
			since, waits := starts[process]
			if share == nil || !waits || share.Amount+share.Reserve <= 0 {
				continue
			}
			delete(starts, process)
			if since > a.Begin {
				b.NewcomerWait = max(b.NewcomerWait, (time.Duration(line.At) - since).Seconds())
			}
		}
	}
}

// measureFairness measures, at an instant, the difference between each node's fraction of the shares and its fraction
// of the demand.
func (b *Budget) measureFairness(all []holding, at time.Duration) {
	latest := map[string]*budget.Holding{}
	for _, h := range all {
		if h.share != nil && h.at > at-budgetLease/4 && h.at <= at {
			latest[h.node] = h.share
		}
	}
	amount, demand := 0.0, 0.0
	for _, share := range latest {
		amount += share.Amount
		demand += share.Demand
	}
	if amount <= 0 || demand <= 0 {
		return
	}
	for _, share := range latest {
		b.ShareError = max(b.ShareError, math.Abs(share.Amount/amount-share.Demand/demand))
	}
}
