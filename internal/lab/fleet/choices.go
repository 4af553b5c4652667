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

// The windows in which loads are looked at.
const (
	// calmWindow is the length of windows once things have settled, anyWindow of all.
	calmWindow = 5 * time.Second
	anyWindow  = 2 * time.Second
	windowStep = 250 * time.Millisecond
	// settlesAfter is how long things take to settle after a change, and after the first clients.
	settlesAfter = 5 * time.Second
	// warmFor is how long a peer takes to warm up after a fault.
	warmFor = 12 * time.Second
	// starvedFrom is how many attempts a peer has to get on average in a window for none to say anything: by chance alone
	// one window of 3,000 then has none.
	starvedFrom = 8.0
	// calmBusiest and calmIdlest bound what a peer gets by its weight, as parts of the mean or of what chance alone gives.
	calmBusiest = 1.15
	calmIdlest  = 0.85
)

// choicesQuietScript is a script without faults of so many peers, alike, that are asked evenly.
func choicesQuietScript(peers int) quietScriptMaker {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := live.Sample(peers, nodes, min(choicesEach*float64(peers), choicesMost))
		s.Seed = seed
		s.Length = figure.Span(length)
		for i := range s.World.Clients {
			client := &s.World.Clients[i]
			client.Keys = choicesKeys
			client.Zipf = 0
			client.Mix = map[string]float64{"status": 1}
			client.Fresh = 1
			client.Keep = 0
		}
		for i := range s.World.Tenants {
			s.World.Tenants[i].Quota = 0
		}
		return s
	}
}

// choicesDemoScript is the script that shows choices: one process is killed, and starts again.
func choicesDemoScript(peers int) scriptMaker {
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
func choicesRandomScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s := choicesQuietScript(peers)(seed, nodes, length)
		one := func(name string, weight, lo, hi float64) fault.KindRanges {
			return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.05, Hi: 0.3}, For: fault.SecondsRange(lo, hi)}
		}
		slow := one("slow", 3, 2, 8)
		slow.Factor = fault.Range{Lo: 2, Hi: 6}
		tail := figure.Span(settle)
		s.DrawFaults([]fault.KindRanges{one("death", 8, 2, 8), slow, one("stall", 3, 1, 4), one("node-kill", 8, 2, 10),
			one("node-restart", 4, 2.5, 8), one("fleet-stop", 4, 1, 6), one("fleet-split", 4, 2, 10)},
			fault.FaultPlan{Count: fault.Counts{Lo: 1, Hi: 3}, Lead: fault.SecondsRange(6, 8),
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
	return Scenario{
		Name:         "choices",
		DemoScript:   choicesDemoScript(peers),
		RandomScript: choicesRandomScript(peers),
		QuietScript:  choicesQuietScript(peers),
		ExtraTables:  func(FileValues) string { return more },
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeChoices(s, a) },
	}
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

// peerLoads are what came to peers, looked at in windows.
type peerLoads struct {
	account  *Account
	script   *fault.Script
	index    map[string]int    // of each peer in arrivals
	arrivals [][]time.Duration // by peer
}

// JudgeChoices looks at how a run's attempts fell on the peers.
func JudgeChoices(s *fault.Script, a *Account) *Choices {
	c := &Choices{
		Nodes:   len(a.Names),
		Peers:   len(s.World.Peers),
		Seconds: (a.End - a.Begin).Seconds(),
		Broken:  []Violation{},
		Starved: []string{},
	}
	report := newReporter(&c.Broken, a.Begin)
	reportRun(a, report)
	loads := c.count(s, a)
	calm := loads.look(calmWindow, true)
	c.Busiest = calm.busiest.ratio
	c.Idlest = calm.idlest.ratio
	c.Chance = loads.chance(calm)
	all := loads.look(anyWindow, false)
	c.BusiestAny = all.busiest.ratio
	c.IdlestAny = all.idlest.ratio
	c.ChanceAny = loads.chance(all)
	c.Probes = probeRate(a)
	c.CPU = loads.cpu()
	if c.Tries == 0 {
		report("use", a.End, "nothing came to any peer")
	}
	for _, starved := range all.starved {
		c.Starved = append(c.Starved, starved.peer)
		report("starved", starved.at, "%s is sound, and nothing came to it for %v", starved.peer, anyWindow)
	}
	c.checkCalm(calm, report)
	return c
}

// count counts the attempts that came to peers.
func (c *Choices) count(s *fault.Script, a *Account) *peerLoads {
	loads := &peerLoads{
		account:  a,
		script:   s,
		index:    map[string]int{},
		arrivals: make([][]time.Duration, len(s.World.Peers)),
	}
	for i, p := range s.World.Peers {
		loads.index[p.Name] = i
	}
	c.Each = make([]int, int(c.Seconds))
	for _, arrival := range a.Arrivals {
		i, known := loads.index[arrival.Peer]
		if !known || arrival.Done || arrival.At < a.Begin || arrival.At >= a.End {
			continue
		}
		loads.arrivals[i] = append(loads.arrivals[i], arrival.At)
		c.Tries++
		if second := int((arrival.At - a.Begin).Seconds()); second < len(c.Each) {
			c.Each[second]++
		}
	}
	return loads
}

// checkCalm holds the busiest and the idlest peer against the bounds, once things have settled.
func (c *Choices) checkCalm(calm *windowLoads, report reporter) {
	if calm.windows == 0 {
		return
	}
	if c.Busiest > max(calmBusiest, c.Chance.Busiest*calmBusiest) {
		report("busiest", calm.busiest.at, "%.3f of the mean came to %s in %v, %.3f by chance alone",
			c.Busiest, calm.busiest.peer, calmWindow, c.Chance.Busiest)
	}
	if c.Idlest < min(calmIdlest, c.Chance.Idlest*calmIdlest) {
		report("idlest", calm.idlest.at, "%.3f of the mean came to %s in %v, %.3f by chance alone",
			c.Idlest, calm.idlest.peer, calmWindow, c.Chance.Idlest)
	}
}

// peerLoad is what came to a peer in one window.
type peerLoad struct {
	peer  string
	at    time.Duration // when the window began
	ratio float64       // of what came to it by its weight, to the mean
}

// windowLoads is what windows of one length show.
type windowLoads struct {
	windows int
	mean    float64 // attempts for a peer in one
	busiest peerLoad
	idlest  peerLoad
	starved []peerLoad // the first window of each peer that got nothing
	sound   int        // peers, at least
}

// look goes through the windows: all, or those in which things have settled.
func (u *peerLoads) look(length time.Duration, settled bool) *windowLoads {
	w := &windowLoads{sound: len(u.arrivals), idlest: peerLoad{ratio: math.Inf(1)}}
	for t := u.account.Begin + settlesAfter; t+length <= u.account.End; t += windowStep {
		if !settled || !u.changed(t-settlesAfter, t+length) {
			u.lookAt(w, t, length)
		}
	}
	if w.windows == 0 {
		w.idlest.ratio = 0
		return w
	}
	w.mean /= float64(w.windows)
	return w
}

// lookAt looks at one window, unless nothing came to peers in it.
func (u *peerLoads) lookAt(w *windowLoads, begin, length time.Duration) {
	loads, mean := u.soundLoads(begin, length)
	sum := 0.0
	for _, load := range loads {
		sum += load.count
	}
	if sum == 0 || len(loads) < 2 {
		return
	}
	perPeer := sum / float64(len(loads))
	w.windows++
	w.sound = min(w.sound, len(loads))
	w.mean += perPeer
	for _, load := range loads {
		one := peerLoad{peer: load.peer, at: begin, ratio: load.weighted / mean}
		if one.ratio > w.busiest.ratio {
			w.busiest = one
		}
		if one.ratio < w.idlest.ratio {
			w.idlest = one
		}
		if load.count == 0 && perPeer >= starvedFrom {
			w.noteStarved(one)
		}
	}
}

// maxStarved bounds the peers that are told to have got nothing.
const maxStarved = 20

func (w *windowLoads) noteStarved(load peerLoad) {
	known := slices.ContainsFunc(w.starved, func(other peerLoad) bool { return other.peer == load.peer })
	if !known && len(w.starved) < maxStarved {
		w.starved = append(w.starved, load)
	}
}

// soundLoad is what came to a sound peer in a window.
type soundLoad struct {
	peer     string
	count    float64
	weighted float64 // by its weight
}

// soundLoads are those of all peers that had nothing to suffer, and the mean by weight.
func (u *peerLoads) soundLoads(begin, length time.Duration) (loads []soundLoad, mean float64) {
	sum, weight := 0.0, 0.0
	for i, p := range u.script.World.Peers {
		if u.touched(p.Name, begin, begin+length) {
			continue
		}
		count := counted(u.arrivals[i], begin, begin+length)
		loads = append(loads, soundLoad{peer: p.Name, count: count, weighted: count / p.Weight})
		sum += count
		weight += p.Weight
	}
	return loads, sum / weight
}

// changed reports whether anything was done to a process or a peer between two instants.
func (u *peerLoads) changed(from, to time.Duration) bool {
	for _, e := range u.account.Events {
		if e.At > from && e.At < to && e.At > u.account.Begin {
			return true
		}
	}
	for _, f := range u.script.Faults {
		at, end := u.account.Begin+f.At.D(), u.account.Begin+f.Ends().D()
		if at < to && end > from {
			return true
		}
	}
	return false
}

// touched reports whether a peer had something to suffer between two instants, or was not yet warm after it.
func (u *peerLoads) touched(peer string, from, to time.Duration) bool {
	for _, f := range u.script.Faults {
		begin := u.account.Begin + f.At.D()
		end := u.account.Begin + f.Ends().D() + warmFor
		if slices.Contains(f.Peers, peer) && begin < to && end > from {
			return true
		}
	}
	return false
}

// chance plays as many windows as lie beside each other in what was looked at, each with as many attempts, that fall by
// chance.
func (u *peerLoads) chance(w *windowLoads) Chance {
	chance := Chance{Idlest: 1}
	if w.windows == 0 {
		return chance
	}
	random := figure.Stream(u.script.Seed, "choices by chance")
	apart := max(w.windows*int(windowStep)/int(anyWindow), 1)
	attempts := int(w.mean * float64(w.sound))
	for range apart {
		counts := make([]int, w.sound)
		for range attempts {
			counts[random.IntN(w.sound)]++
		}
		chance.Busiest = max(chance.Busiest, float64(slices.Max(counts))/w.mean)
		chance.Idlest = min(chance.Idlest, float64(slices.Min(counts))/w.mean)
	}
	return chance
}

// probeRate is how many health checks came to all peers a second.
func probeRate(a *Account) float64 {
	var counts []ProbeCount
	for _, count := range a.ProbeCounts {
		if count.At >= a.Begin && count.At <= a.End {
			counts = append(counts, count)
		}
	}
	if len(counts) < 2 {
		return 0
	}
	first, last := counts[0], counts[len(counts)-1]
	return float64(last.Probes-first.Probes) / (last.At - first.At).Seconds()
}

// cpu is what a process used of a core.
func (u *peerLoads) cpu() float64 {
	var sum time.Duration
	for _, d := range u.account.CPU {
		sum += d
	}
	return sum.Seconds() / (u.account.End - u.account.Begin).Seconds() / float64(max(len(u.account.Names), 1))
}

// Verdict are the rules that did not hold.
func (c *Choices) Verdict() []Violation { return c.Broken }

// Text is the result for people.
func (c *Choices) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes chose among %d peers, for %.0f s: %d tries\n", c.Nodes, c.Peers, c.Seconds, c.Tries)
	fmt.Fprintf(&t, "settled, in %v: to the busiest peer came %.3f of the mean, "+
		"to the idlest %.3f (by chance alone %.3f and %.3f)\n",
		calmWindow, c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest)
	fmt.Fprintf(&t, "in any %v: %.3f and %.3f (%.3f and %.3f); starved %d\n",
		anyWindow, c.BusiestAny, c.IdlestAny, c.ChanceAny.Busiest, c.ChanceAny.Idlest, len(c.Starved))
	fmt.Fprintf(&t, "%.1f probes a second came to all peers; a process uses %.1f%% of a core\n", c.Probes, 100*c.CPU)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (c *Choices) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; busiest %.3f, idlest %.3f (chance %.3f, %.3f), any %.3f, %.3f, starved %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest,
		c.BusiestAny, c.IdlestAny, len(c.Starved),
		verdict(c.Broken))
}
