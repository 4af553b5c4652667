package fleet

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/live"
)

// What the fleet is asked for while its choices are looked at: much for each peer, since what falls on it by chance
// alone is far from even where it is little.
const (
	choicesEach = 50.0   // requests a second for each peer
	choicesMost = 2000.0 // in all, which is what the machine carries beside the processes
	choicesKeys = 20000
)

// MostPeers is the most stand-in peers of a run: each has a loopback address.
const MostPeers = 400

// How the sums are looked at.
const (
	calmWindow   = 5 * time.Second
	anyWindow    = 2 * time.Second
	windowStep   = 250 * time.Millisecond
	settlesAfter = 5 * time.Second // after a change, and after the first clients
	warmFor      = 12 * time.Second
	// starvedFrom is how many tries a peer has to get on average in a window for none to say anything: by chance alone
	// one window of 3,000 then has none.
	starvedFrom = 8.0
	// choicesRoom is for how much above what chance alone gives the sums may be: the rest is what the choices add.
	calmBusiest, calmIdlest = 1.15, 0.85
	anyBusiest, anyIdlest   = 1.3, 0.7
)

// choicesQuietScript is a script without faults of so many peers, alike, that are asked evenly.
func choicesQuietScript(peers int) func(seed uint64, nodes int, length time.Duration) *fault.Script {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := live.Sample(peers, nodes, min(choicesEach*float64(peers), choicesMost))
		s.Seed, s.Length = seed, figure.Span(length)
		for i := range s.World.Clients {
			c := &s.World.Clients[i]
			c.Keys, c.Zipf, c.Mix = choicesKeys, 0, map[string]float64{"status": 1}
			c.Fresh, c.Keep = 1, 0
		}
		for i := range s.World.Tenants {
			s.World.Tenants[i].Quota = 0
		}
		return s
	}
}

// choicesDemoScript is the script that shows choices: one process is killed, and starts again.
func choicesDemoScript(peers int) func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		drama, err := BudgetDemoScript(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := choicesQuietScript(peers)(seed, nodes, length)
		s.Faults = drama.Faults
		return s, s.Check()
	}
}

// choicesRandomScript is the script of a seed: nodes and peers die, stand still, are slow or cut off, several at one
// time.
func choicesRandomScript(peers int) func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s := choicesQuietScript(peers)(seed, nodes, length)
		one := func(name string, weight, lo, hi float64) fault.KindRanges {
			return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.05, Hi: 0.3}, For: fault.Between(lo, hi)}
		}
		slow := one("slow", 3, 2, 8)
		slow.Factor = fault.Range{Lo: 2, Hi: 6}
		tail := figure.Span(settle)
		s.DrawFaults([]fault.KindRanges{one("death", 8, 2, 8), slow, one("stall", 3, 1, 4), one("node-kill", 8, 2, 10),
			one("node-restart", 4, 2.5, 8), one("fleet-stop", 4, 1, 6), one("fleet-split", 4, 2, 10)},
			fault.FaultPlan{Count: fault.Counts{Lo: 1, Hi: 3}, Lead: fault.Between(6, 8),
				Tail: fault.Spans{Lo: tail, Hi: tail}, Overlap: 0.4})
		last := s.Length - tail
		s.Faults = slices.DeleteFunc(s.Faults, func(f fault.Fault) bool { return f.Ends() > last })
		return s, s.Check()
	}
}

// ChoicesScenario is how what all processes choose adds up on so many peers. With copies each works with some of them.
func ChoicesScenario(peers, copies, least int) Scenario {
	more := ""
	if copies > 0 {
		more = fmt.Sprintf("\n[choices]\ncopies = %d\nleast = %d\n", copies, least)
	}
	return Scenario{"choices", choicesDemoScript(peers), choicesRandomScript(peers), choicesQuietScript(peers), nil,
		func(FileValues) string { return more }, func(s *fault.Script, a *Account) Outcome { return JudgeChoices(s, a) }, nil, nil}
}

// Choices is how what all processes chose fell on the peers.
type Choices struct {
	Nodes   int     `json:"nodes"`
	Peers   int     `json:"peers"`
	Seconds float64 `json:"seconds"`
	Tries   int     `json:"tries"`
	// Of what came to a peer, by its weight, the greatest and least part of the mean: in the worst calmWindow once things
	// have settled, and in the worst anyWindow of all.
	Busiest    float64 `json:"busiest_over_mean"`
	Idlest     float64 `json:"idlest_over_mean"`
	BusiestAny float64 `json:"busiest_over_mean_any"`
	IdlestAny  float64 `json:"idlest_over_mean_any"`
	// The same, had each try gone to any peer by chance alone: less than that no choice reaches that does not know of the
	// others'.
	Chance    Chance      `json:"chance"`
	ChanceAny Chance      `json:"chance_any"`
	Starved   []string    `json:"starved"` // peers without a try for anyWindow while they were sound; at most 20 are told
	Probes    float64     `json:"probes_s"`
	CPU       float64     `json:"cpu_share"` // of a core, of a process
	Each      []int       `json:"each_s"`    // tries in each second
	Broken    []Violation `json:"broken"`
}

// Chance is what chance alone gives.
type Chance struct {
	Busiest float64 `json:"busiest"`
	Idlest  float64 `json:"idlest"`
}

// sums are what came to peers, looked at in windows.
type sums struct {
	a     *Account
	s     *fault.Script
	place map[string]int
	came  [][]time.Duration // by peer
}

// JudgeChoices looks at how a run's tries fell on the peers.
func JudgeChoices(s *fault.Script, a *Account) *Choices {
	c := &Choices{Nodes: len(a.Names), Peers: len(s.World.Peers), Seconds: (a.End - a.Begin).Seconds(), Broken: []Violation{}, Starved: []string{}}
	breaks := func(rule string, at time.Duration, format string, args ...any) {
		if len(c.Broken) < 20 {
			c.Broken = append(c.Broken, Violation{rule, at - a.Begin, fmt.Sprintf(format, args...)})
		}
	}
	for _, w := range a.Broken {
		breaks("world", a.Begin, "%s", w)
	}
	if a.RunError != nil {
		breaks("rig", a.Begin, "%v", a.RunError)
	}
	u := &sums{a: a, s: s, place: map[string]int{}, came: make([][]time.Duration, len(s.World.Peers))}
	for i, p := range s.World.Peers {
		u.place[p.Name] = i
	}
	c.Each = make([]int, int(c.Seconds))
	for _, came := range a.Arrivals {
		if i, known := u.place[came.Peer]; known && !came.Done && came.At >= a.Begin && came.At < a.End {
			u.came[i] = append(u.came[i], came.At)
			c.Tries++
			if sec := int((came.At - a.Begin).Seconds()); sec < len(c.Each) {
				c.Each[sec]++
			}
		}
	}
	calm := u.look(calmWindow, true)
	c.Busiest, c.Idlest, c.Chance = calm.most, calm.least, u.chance(calm)
	all := u.look(anyWindow, false)
	c.BusiestAny, c.IdlestAny, c.ChanceAny = all.most, all.least, u.chance(all)
	c.Starved = append(c.Starved, all.starved...)
	c.Probes, c.CPU = u.probes(), u.cpu()
	if c.Tries == 0 {
		breaks("use", a.End, "nothing came to any peer")
	}
	for i, name := range all.starved {
		breaks("starved", all.when[i], "%s is sound, and nothing came to it for %v", name, anyWindow)
	}
	if bound := max(calmBusiest, calm.chance.Busiest*calmBusiest); calm.windows > 0 && c.Busiest > bound {
		breaks("busiest", calm.at, "%.3f of the mean came to %s in %v, %.3f by chance alone", c.Busiest, calm.who, calmWindow, c.Chance.Busiest)
	}
	if bound := min(calmIdlest, calm.chance.Idlest*calmIdlest); calm.windows > 0 && c.Idlest < bound {
		breaks("idlest", calm.lateAt, "%.3f of the mean came to %s in %v, %.3f by chance alone", c.Idlest, calm.lateWho, calmWindow, c.Chance.Idlest)
	}
	return c
}

// looked is what windows of one length show.
type looked struct {
	windows      int
	mean         float64 // tries for a peer in one
	most, least  float64
	at, lateAt   time.Duration
	who, lateWho string
	starved      []string
	when         []time.Duration
	sound        int // peers, at least
	chance       Chance
}

// look goes through the windows: all, or those in which things have settled.
func (u *sums) look(wide time.Duration, settled bool) *looked {
	l := &looked{least: math.Inf(1), sound: len(u.came)}
	starved := map[string]bool{}
	for t := u.a.Begin + settlesAfter; t+wide <= u.a.End; t += windowStep {
		if settled && u.changed(t-settlesAfter, t+wide) {
			continue
		}
		var parts []float64
		var who []int
		sum, weight := 0.0, 0.0
		for i, p := range u.s.World.Peers {
			if u.touched(p.Name, t, t+wide) {
				continue
			}
			n := counted(u.came[i], t, t+wide)
			parts, who = append(parts, n/p.Weight), append(who, i)
			sum, weight = sum+n, weight+p.Weight
		}
		if sum == 0 || len(parts) < 2 {
			continue
		}
		l.windows++
		l.sound = min(l.sound, len(parts))
		mean := sum / weight
		l.mean += sum / float64(len(parts))
		for k, part := range parts {
			name := u.s.World.Peers[who[k]].Name
			if r := part / mean; r > l.most {
				l.most, l.at, l.who = r, t, name
			}
			if r := part / mean; r < l.least {
				l.least, l.lateAt, l.lateWho = r, t, name
			}
			if part == 0 && sum/float64(len(parts)) >= starvedFrom && !starved[name] && len(starved) < 20 {
				starved[name] = true
				l.starved, l.when = append(l.starved, name), append(l.when, t)
			}
		}
	}
	if l.windows == 0 {
		l.least = 0
		return l
	}
	l.mean /= float64(l.windows)
	return l
}

// changed reports whether anything was done to a process or a peer between two instants.
func (u *sums) changed(from, to time.Duration) bool {
	for _, e := range u.a.Events {
		if e.At > from && e.At < to && e.At > u.a.Begin {
			return true
		}
	}
	for _, f := range u.s.Faults {
		at, end := u.a.Begin+f.At.D(), u.a.Begin+f.Ends().D()
		if at < to && end > from {
			return true
		}
	}
	return false
}

// touched reports whether a peer had something to suffer between two instants, or was not yet warm after it.
func (u *sums) touched(peer string, from, to time.Duration) bool {
	for _, f := range u.s.Faults {
		if at, end := u.a.Begin+f.At.D(), u.a.Begin+f.Ends().D()+warmFor; slices.Contains(f.Peers, peer) && at < to && end > from {
			return true
		}
	}
	return false
}

// chance plays as many windows as lie beside each other in what was looked at, each with as many tries, that fall by
// chance.
func (u *sums) chance(l *looked) Chance {
	l.chance = Chance{Idlest: 1}
	if l.windows == 0 {
		return l.chance
	}
	g := figure.Stream(u.s.Seed, "choices by chance")
	apart := max(l.windows*int(windowStep)/int(anyWindow), 1)
	tries := int(l.mean * float64(l.sound))
	for range apart {
		fell := make([]int, l.sound)
		for range tries {
			fell[g.IntN(l.sound)]++
		}
		l.chance.Busiest = max(l.chance.Busiest, float64(slices.Max(fell))/l.mean)
		l.chance.Idlest = min(l.chance.Idlest, float64(slices.Min(fell))/l.mean)
	}
	return l.chance
}

// probes is how many came to all peers a second.
func (u *sums) probes() float64 {
	all := slices.DeleteFunc(slices.Clone(u.a.ProbeCounts), func(p ProbeCount) bool { return p.At < u.a.Begin || p.At > u.a.End })
	if len(all) < 2 {
		return 0
	}
	first, last := all[0], all[len(all)-1]
	return float64(last.Probes-first.Probes) / (last.At - first.At).Seconds()
}

// cpu is what a process used of a core.
func (u *sums) cpu() float64 {
	var sum time.Duration
	for _, d := range u.a.CPU {
		sum += d
	}
	return sum.Seconds() / (u.a.End - u.a.Begin).Seconds() / float64(max(len(u.a.Names), 1))
}

// Verdict are the rules that did not hold.
func (c *Choices) Verdict() []Violation { return c.Broken }

// Text is the result for people.
func (c *Choices) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes chose among %d peers, for %.0f s: %d tries\n", c.Nodes, c.Peers, c.Seconds, c.Tries)
	fmt.Fprintf(&t, "settled, in %v: to the busiest peer came %.3f of the mean, to the idlest %.3f (by chance alone %.3f and %.3f)\n",
		calmWindow, c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest)
	fmt.Fprintf(&t, "in any %v: %.3f and %.3f (%.3f and %.3f); starved %d\n", anyWindow, c.BusiestAny, c.IdlestAny, c.ChanceAny.Busiest,
		c.ChanceAny.Idlest, len(c.Starved))
	fmt.Fprintf(&t, "%.1f probes a second came to all peers; a process uses %.1f%% of a core\n", c.Probes, 100*c.CPU)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (c *Choices) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; busiest %.3f, idlest %.3f (chance %.3f, %.3f), any %.3f, %.3f, starved %d; %s", s.Seed,
		strings.Join(s.Kinds(), " "), c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest, c.BusiestAny, c.IdlestAny, len(c.Starved),
		verdict(c.Broken))
}
