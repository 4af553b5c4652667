package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// The other kinds of budget that the rig's processes share: units at one time, and in a period.
const (
	inUseMost   = 12
	countWhole  = 2500
	countPeriod = time.Hour
)

// inUseFile and countFile are what the fleet files say of such a budget.
func inUseFile(s FileValues) string {
	return bookFile(s, 0) + fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nkind = \"in-use\"\nmost = %d\n",
		budgetName, int(inUseMost*s.AmountShare))
}

func countFile(s FileValues) string {
	return bookFile(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = %q\ntenant = \"acme\"\nkind = \"count\"\ncount = %d\nperiod = %q\n",
			budgetName, int(countWhole*s.AmountShare), countPeriod)
}

// inUseQuietScript is budgetQuietScript with calls that take long enough for some to be in use at one time.
func inUseQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := budgetQuietScript(seed, nodes, length)
	class := &s.World.Classes[0] // that clients call
	class.Work *= 5
	class.Spread = 0.2
	class.Aim *= 5
	class.Deadline *= 5
	return s
}

// drawnIn makes scripts with the faults of one kind of script in the quiet script of another.
func drawnIn(quiet quietScriptMaker, draw scriptMaker) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		drawn, err := draw(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := quiet(seed, nodes, length)
		s.Faults = append(s.Faults, drawn.Faults...)
		for i := range s.Faults { // whose calls may take longer
			f := &s.Faults[i]
			f.For = max(f.For, fault.MinDuration(f.Kind, &s.World))
			if f.Ends() > s.Length {
				f.At = s.Length - f.For
			}
		}
		return s, s.Check()
	}
}

// The budget for retries that the rig's processes share, where peers turn so many requests away that they want several
// times as many.
const (
	retriesRate   = 20.0
	retriesBurst  = 12.0
	rejectedShare = 0.4
)

func retriesFile(s FileValues) string {
	return bookFile(s, 0.04) +
		fmt.Sprintf("[[budget]]\nname = \"retries\"\nuse = \"retries\"\nrate = %.1f\nburst = %.1f\n",
			retriesRate*s.AmountShare, retriesBurst*s.AmountShare)
}

// retriesQuietScript is one in which peers turn requests away nearly all of the time.
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

// JudgeRetries counts the tries that came to peers and were not their call's first.
func JudgeRetries(a *Account) *Amount {
	m := newAmount(a, "retries", int(retriesRate))
	seen := map[string]bool{}
	var more []time.Duration
	for _, c := range a.Arrivals {
		if c.Done || c.At > a.End {
			continue
		}
		if seen[c.Call] {
			more = append(more, c.At)
		}
		seen[c.Call] = true
	}
	m.Most = len(more)
	var at, wide time.Duration
	m.Over, at, wide = greatestPart(more, allowances(a).rate(retriesRate, retriesBurst))
	if m.Over > 1 {
		what := fmt.Sprintf("in %v, %.3f times the retries that are allowed came to peers", wide, m.Over)
		m.Broken = append(m.Broken, Violation{Rule: "over", At: at - a.Begin, What: what})
	}
	from := a.Begin + 8*time.Second
	to := a.End - 2*time.Second
	m.Use = counted(more, from, to) / (retriesRate * (to - from).Seconds())
	m.empty(a)
	return m
}

// Amount is what came of a budget of these kinds.
type Amount struct {
	Kind    string      `json:"kind"`
	Nodes   int         `json:"nodes"`
	Seconds float64     `json:"seconds"`
	Whole   int         `json:"whole"`
	Most    int         `json:"most"` // units that peers saw: at one time, or in all
	Over    float64     `json:"over"` // that, of the whole
	Use     float64     `json:"use"`  // of in-use the mean, once the book is kept; of a count what was used in the end
	Asked   int         `json:"asked"`
	Broken  []Violation `json:"broken"`
}

func newAmount(a *Account, kind string, whole int) *Amount {
	m := &Amount{
		Kind:    kind,
		Nodes:   len(a.Names),
		Seconds: (a.End - a.Begin).Seconds(),
		Whole:   whole,
		Asked:   a.Tally.Asked,
		Broken:  []Violation{},
	}
	for _, w := range a.Broken {
		m.Broken = append(m.Broken, Violation{"world", 0, w})
	}
	if a.RunError != nil {
		m.Broken = append(m.Broken, Violation{"rig", 0, a.RunError.Error()})
	}
	wrongClocks(a, func(rule string, at time.Duration, format string, args ...any) {
		m.Broken = append(m.Broken, Violation{rule, at - a.Begin, fmt.Sprintf(format, args...)})
	})
	return m
}

// peersWork is the longest that a peer works on a call here: beyond the deadline of the class that is asked for. Of one
// whose node has died no end is seen.
const peersWork = 2 * time.Second

// JudgeInUse counts the calls that peers held at one time.
func JudgeInUse(a *Account) *Amount {
	m := newAmount(a, "in-use", inUseMost)
	held := map[string][]time.Duration{} // since when, of each try
	var began []Arrival
	now, area := 0, 0.0
	last, from := a.Begin, a.Begin+8*time.Second
	for _, c := range a.Arrivals {
		if c.At > a.End {
			break
		}
		if c.At > from {
			area += float64(now) * (c.At - max(last, from)).Seconds()
		}
		last = c.At
		for len(began) > 0 && began[0].At < c.At-peersWork {
			if old := held[began[0].Call]; len(old) > 0 && old[0] == began[0].At {
				held[began[0].Call] = old[1:]
				now--
			}
			began = began[1:]
		}
		switch old := held[c.Call]; {
		case !c.Done:
			held[c.Call] = append(old, c.At)
			began = append(began, c)
			now++
		case len(old) > 0:
			held[c.Call] = old[1:]
			now--
		}
		if m.Most = max(m.Most, now); now > inUseMost && len(m.Broken) < 20 {
			m.Broken = append(m.Broken, Violation{"over", c.At - a.Begin, fmt.Sprintf("peers hold %d of %d", now, inUseMost)})
		}
	}
	m.Over = float64(m.Most) / inUseMost
	if span := (last - from).Seconds(); span > 0 {
		m.Use = area / span / inUseMost
	}
	m.empty(a)
	return m
}

// JudgeCount counts the calls that came to peers in all. A run that goes over the end of a period has two of them.
func JudgeCount(a *Account) *Amount {
	m := newAmount(a, "count", countWhole)
	came := firstArrivals(a)
	m.Most = len(came)
	m.Over = float64(m.Most) / countWhole
	m.Use = min(m.Over, 1)
	if m.Most > countWhole*a.Periods {
		m.Broken = append(m.Broken, Violation{"over", came[countWhole*a.Periods] - a.Begin,
			fmt.Sprintf("%d calls came to peers, of %d in each of %d periods", m.Most, countWhole, a.Periods)})
	}
	if countHistory(a) == porcupine.Illegal {
		m.Broken = append(m.Broken, Violation{"history", a.End - a.Begin, "what the ledger gave fits no order of the asks"})
	}
	m.empty(a)
	return m
}

func (m *Amount) empty(a *Account) {
	if m.Most == 0 {
		m.Broken = append(m.Broken, Violation{"use", a.End - a.Begin, "nothing came to any peer"})
	}
}

// Verdict are the rules that did not hold.
func (m *Amount) Verdict() []Violation { return m.Broken }

// Text is the result for people.
func (m *Amount) Text(*Account) string {
	var t strings.Builder
	what := map[string]string{"in-use": "at one time", "count": "in all", "retries": "retries a second"}[m.Kind]
	fmt.Fprintf(&t, "%d processes share %d %s, for %.0f s: peers saw at most %d, %.3f of the whole; used %.3f\n",
		m.Nodes, m.Whole, what, m.Seconds, m.Most, m.Over, m.Use)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (m *Amount) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; most %d, over %.3f, use %.3f; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Most, m.Over, m.Use,
		verdict(m.Broken))
}
