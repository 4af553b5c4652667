package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// The limits of the budgets on calls in flight and on calls per period that the rig's processes share.
const (
	maxInUse    = 12
	countLimit  = 2500
	countPeriod = time.Hour
)

// inUseTables returns the tables of the fleet files for a budget on calls in flight.
func inUseTables(s FileValues) string {
	return ledgerTable(s, 0) + fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nkind = \"in-use\"\nmost = %d\n",
		budgetName, int(maxInUse*s.AmountShare))
}

// countTables returns the tables of the fleet files for a budget on the number of calls in a period.
func countTables(s FileValues) string {
	return ledgerTable(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nkind = \"count\"\ncount = %d\nperiod = %q\n",
			budgetName, int(countLimit*s.AmountShare), countPeriod)
}

// inUseQuietScript returns budgetQuietScript with calls that take longer, so that several are in flight at one time.
func inUseQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := budgetQuietScript(seed, nodes, length)
	class := &s.World.Classes[0] // the class that clients call
	class.Work *= 5
	class.Spread = 0.2
	class.Objective *= 5
	class.Deadline *= 5
	return s
}

// withDrawnFaults returns a function that adds the faults of a drawn script to a script without faults.
func withDrawnFaults(quiet quietScriptMaker, draw scriptMaker) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		drawn, err := draw(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := quiet(seed, nodes, length)
		s.Faults = append(s.Faults, drawn.Faults...)
		for i := range s.Faults { // calls may take longer in s, which raises the minimum length of some faults
			f := &s.Faults[i]
			f.For = max(f.For, fault.Least(f.Kind, &s.World))
			if f.Ends() > s.Length {
				f.At = s.Length - f.For
			}
		}
		return s, s.Check()
	}
}

// The budget for retries that the rig's processes share. Peers reject enough requests to create a demand for retries of
// several times the budget.
const (
	retriesRate   = 20.0
	retriesBurst  = 12.0
	rejectedShare = 0.4
)

func retriesTables(s FileValues) string {
	return ledgerTable(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = \"retries\"\nuse = \"retries\"\nrate = %.1f\nburst = %.1f\n",
			retriesRate*s.AmountShare, retriesBurst*s.AmountShare)
}

// retriesQuietScript returns a script in which peers reject requests during all but its first and last second.
func retriesQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := budgetQuietScript(seed, nodes, length)
	var peers []string
	for _, p := range s.World.Peers {
		peers = append(peers, p.Name)
	}
	from := figure.Span(figure.Seconds(1))
	s.Faults = append(s.Faults, fault.Fault{
		Kind: "turnaway", At: from, For: s.Length - 2*from, Peers: peers, Share: rejectedShare,
	})
	return s
}

// JudgeRetries checks the number of attempts that arrived at peers and were not the first of their call.
func JudgeRetries(a *Account) *Amount {
	m := newAmount(a, "retries", int(retriesRate))
	seen := map[string]bool{}
	var retries []time.Duration
	for _, c := range a.Arrivals {
		if c.Done || c.At > a.End {
			continue
		}
		if seen[c.Call] {
			retries = append(retries, c.At)
		}
		seen[c.Call] = true
	}
	m.Max = len(retries)
	var at, window time.Duration
	m.Over, at, window = maxRatio(retries, allowances(a).unitsAllowed(retriesRate, retriesBurst))
	if m.Over > 1 {
		what := fmt.Sprintf("in %v, %.3f times the allowed number of retries arrived at peers", window, m.Over)
		m.Broken = append(m.Broken, Violation{Rule: "over", At: at - a.Begin, What: what})
	}
	from := a.Begin + 8*time.Second
	to := a.End - 2*time.Second
	m.Use = countBetween(retries, from, to) / (retriesRate * (to - from).Seconds())
	m.checkUsed(a)
	return m
}

// Amount is the result of a run with a budget on calls in flight, on calls per period or on retries.
type Amount struct {
	Kind    string      `json:"kind"`
	Nodes   int         `json:"nodes"`
	Seconds float64     `json:"seconds"`
	Limit   int         `json:"whole"`
	Max     int         `json:"most"` // maximum number of calls in flight, or total of calls or retries
	Over    float64     `json:"over"` // Max / Limit; of retries, the maximum ratio to the number allowed in a window
	Use     float64     `json:"use"`  // used fraction: the mean once there is a leader, or of a count the total
	Asked   int         `json:"asked"`
	Broken  []Violation `json:"broken"`
}

func newAmount(a *Account, kind string, limit int) *Amount {
	amount := &Amount{
		Kind:    kind,
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Limit:   limit,
		Asked:   a.Tally.Asked,
		Broken:  []Violation{},
	}
	for _, w := range a.Broken {
		amount.Broken = append(amount.Broken, Violation{"world", 0, w})
	}
	if a.RunError != nil {
		amount.Broken = append(amount.Broken, Violation{"rig", 0, a.RunError.Error()})
	}
	checkClocks(a, func(rule string, at time.Duration, format string, args ...any) {
		amount.Broken = append(amount.Broken, Violation{rule, at - a.Begin, fmt.Sprintf(format, args...)})
	})
	return amount
}

// maxPeerWork is the maximum duration of a call at a peer: more than the deadline of the class that clients call. The
// end of a call whose node has died is not observed, so the call is counted for this long.
const maxPeerWork = 2 * time.Second

// JudgeInUse checks the number of calls that all peers together had in flight at one time.
func JudgeInUse(a *Account) *Amount {
	m := newAmount(a, "in-use", maxInUse)
	open := map[string][]time.Duration{} // arrival times of the attempts in flight, by call
	var starts []Arrival
	inFlight, area := 0, 0.0
	last, from := a.Begin, a.Begin+8*time.Second
	for _, c := range a.Arrivals {
		if c.At > a.End {
			break
		}
		if c.At > from {
			area += float64(inFlight) * (c.At - max(last, from)).Seconds()
		}
		last = c.At
		for len(starts) > 0 && starts[0].At < c.At-maxPeerWork {
			if old := open[starts[0].Call]; len(old) > 0 && old[0] == starts[0].At {
				open[starts[0].Call] = old[1:]
				inFlight--
			}
			starts = starts[1:]
		}
		switch old := open[c.Call]; {
		case !c.Done:
			open[c.Call] = append(old, c.At)
			starts = append(starts, c)
			inFlight++
		case len(old) > 0:
			open[c.Call] = old[1:]
			inFlight--
		}
		if m.Max = max(m.Max, inFlight); inFlight > maxInUse && len(m.Broken) < 20 {
			m.Broken = append(m.Broken, Violation{"over", c.At - a.Begin,
				fmt.Sprintf("peers hold %d calls, more than %d", inFlight, maxInUse)})
		}
	}
	m.Over = float64(m.Max) / maxInUse
	if span := (last - from).Seconds(); span > 0 {
		m.Use = area / span / maxInUse
	}
	m.checkUsed(a)
	return m
}

// JudgeCount checks the total number of calls that arrived at peers, and the history of the ledger. A run that spans
// the end of a period may use the limit once in each period.
func JudgeCount(a *Account) *Amount {
	m := newAmount(a, "count", countLimit)
	arrivals := firstArrivals(a)
	m.Max = len(arrivals)
	m.Over = float64(m.Max) / countLimit
	m.Use = min(m.Over, 1)
	if m.Max > countLimit*a.Periods {
		m.Broken = append(m.Broken, Violation{"over", arrivals[countLimit*a.Periods] - a.Begin,
			fmt.Sprintf("%d calls arrived at peers, with a limit of %d in each of %d periods", m.Max, countLimit, a.Periods)})
	}
	if countHistory(a) == porcupine.Illegal {
		m.Broken = append(m.Broken, Violation{"history", a.End - a.Begin,
			"the grants of the ledger fit no order of the requests"})
	}
	m.checkUsed(a)
	return m
}

func (m *Amount) checkUsed(a *Account) {
	if m.Max == 0 {
		m.Broken = append(m.Broken, Violation{"use", a.End - a.Begin, "no call or retry arrived at any peer"})
	}
}

// Verdict returns the rules that the run broke.
func (m *Amount) Verdict() []Violation { return m.Broken }

// Text returns the result for the command's output.
func (m *Amount) Text(*Account) string {
	var t strings.Builder
	what := map[string]string{"in-use": "at one time", "count": "in all", "retries": "retries a second"}[m.Kind]
	fmt.Fprintf(&t, "%d processes share %d %s, for %.0f s: peers had at most %d, %.3f of the limit; used %.3f\n",
		m.Nodes, m.Limit, what, m.Seconds, m.Max, m.Over, m.Use)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (m *Amount) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; most %d, over %.3f, use %.3f; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Max, m.Over, m.Use,
		verdict(m.Broken))
}
