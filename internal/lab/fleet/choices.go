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

// The load during runs that examine the choices of servers. It is high for each peer, because at a low load the random
// differences between peers are large.
const (
	requestsPerPeer = 50.0   // requests per second and peer
	maxRequestRate  = 2000.0 // requests per second in total, which the machine can generate beside the processes
	choicesKeys     = 20000
)

// MaxPeers is the maximum number of stand-in peers of a run. Each has its own loopback address.
const MaxPeers = 400

// The windows over which loads are measured.
const (
	// settledWindow is the length of the windows without a recent change, anyWindow that of windows at any time.
	settledWindow = 5 * time.Second
	anyWindow     = 2 * time.Second
	windowStep    = 250 * time.Millisecond
	// settleTime is the time until loads are settled after a change, and after the start of the clients.
	settleTime = 5 * time.Second
	// warmUpTime is the time that a peer needs to warm up after a fault.
	warmUpTime = 12 * time.Second
	// minStarvedMean is the mean number of attempts per peer in a window from which on a peer without any attempt counts
	// as starved. With 8 attempts on average, chance alone leaves one peer in 3,000 without an attempt.
	minStarvedMean = 8.0
	// maxSettledRatio and minSettledRatio bound the ratio of a peer's weighted load to the mean in settled windows, or to
	// the ratio of a random choice if that differs more.
	maxSettledRatio = 1.15
	minSettledRatio = 0.85
)

// choicesQuietScript returns a script without faults with the given number of identical peers and an even load.
func choicesQuietScript(peers int) quietScriptMaker {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := live.Sample(peers, nodes, min(requestsPerPeer*float64(peers), maxRequestRate))
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

// choicesDemoScript returns the script that demonstrates choices: one process is killed and started again.
func choicesDemoScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		demo, err := BudgetDemoScript(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := choicesQuietScript(peers)(seed, nodes, length)
		s.Faults = demo.Faults
		return s, s.Check()
	}
}

// choicesRandomScript returns a script, drawn by the seed, in which nodes and peers die, stop, are slow or are cut off,
// several at one time.
func choicesRandomScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		s := choicesQuietScript(peers)(seed, nodes, length)
		kind := func(name string, weight, lo, hi float64) fault.KindRanges {
			return fault.KindRanges{Name: name, Weight: weight, Part: fault.Range{Lo: 0.05, Hi: 0.3}, For: fault.Between(lo, hi)}
		}
		slow := kind("slow", 3, 2, 8)
		slow.Factor = fault.Range{Lo: 2, Hi: 6}
		tail := figure.Span(settleTail)
		s.DrawFaults([]fault.KindRanges{kind("death", 8, 2, 8), slow, kind("stall", 3, 1, 4), kind("node-kill", 8, 2, 10),
			kind("node-restart", 4, 2.5, 8), kind("fleet-stop", 4, 1, 6), kind("fleet-split", 4, 2, 10)},
			fault.FaultPlan{Count: fault.Counts{Lo: 1, Hi: 3}, Lead: fault.Between(6, 8),
				Tail: fault.Spans{Lo: tail, Hi: tail}, Overlap: 0.4})
		last := s.Length - tail
		s.Faults = slices.DeleteFunc(s.Faults, func(f fault.Fault) bool { return f.Ends() > last })
		return s, s.Check()
	}
}

// ChoicesScenario examines how the choices of all processes add up on the peers. If copies is positive, each peer is in
// the subsets of that many processes, and least is the minimum size of a subset.
func ChoicesScenario(peers, copies, least int) Scenario {
	tables := ""
	if copies > 0 {
		tables = fmt.Sprintf("\n[choices]\ncopies = %d\nleast = %d\n", copies, least)
	}
	return Scenario{
		Name:         "choices",
		DemoScript:   choicesDemoScript(peers),
		RandomScript: choicesRandomScript(peers),
		QuietScript:  choicesQuietScript(peers),
		ExtraTables:  func(FileValues) string { return tables },
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeChoices(s, a) },
	}
}

// Choices is the result of a run that examines the distribution of attempts over the peers.
type Choices struct {
	Nodes   int     `json:"nodes"`
	Peers   int     `json:"peers"`
	Seconds float64 `json:"seconds"`
	Tries   int     `json:"tries"`
	// The maximum and minimum ratio of a peer's weighted load to the mean, first in settled windows, then in all windows.
	Busiest    float64 `json:"busiest_over_mean"`
	Idlest     float64 `json:"idlest_over_mean"`
	BusiestAny float64 `json:"busiest_over_mean_any"`
	IdlestAny  float64 `json:"idlest_over_mean_any"`
	// The same ratios if each attempt went to a random peer. Without knowledge of the other processes' choices, no policy
	// does better.
	Chance         Chance      `json:"chance"`
	ChanceAny      Chance      `json:"chance_any"`
	Starved        []string    `json:"starved"` // at most maxStarved healthy peers without an attempt for anyWindow
	Probes         float64     `json:"probes_s"`
	CPU            float64     `json:"cpu_share"` // of a process, as a fraction of a core
	TriesPerSecond []int       `json:"each_s"`    // attempts in each second
	Broken         []Violation `json:"broken"`
}

// Chance is the range of load ratios under a random choice of peers.
type Chance struct {
	Busiest float64 `json:"busiest"`
	Idlest  float64 `json:"idlest"`
}

// peerLoads evaluates the loads of peers in windows.
type peerLoads struct {
	account  *Account
	script   *fault.Script
	index    map[string]int    // of each peer's entry in arrivals
	arrivals [][]time.Duration // of each peer, ordered by time
}

// JudgeChoices checks the distribution of a run's attempts over the peers.
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
	loads := c.countTries(s, a)
	calm := loads.measure(settledWindow, true)
	c.Busiest = calm.busiest.ratio
	c.Idlest = calm.idlest.ratio
	c.Chance = loads.simulateChance(calm)
	all := loads.measure(anyWindow, false)
	c.BusiestAny = all.busiest.ratio
	c.IdlestAny = all.idlest.ratio
	c.ChanceAny = loads.simulateChance(all)
	c.Probes = probeRate(a)
	c.CPU = loads.cpuShare()
	if c.Tries == 0 {
		report("use", a.End, "no attempt arrived at any peer")
	}
	for _, starved := range all.starved {
		c.Starved = append(c.Starved, starved.peer)
		report("starved", starved.at, "%s is healthy, but no attempt arrived there for %v", starved.peer, anyWindow)
	}
	c.checkSettled(calm, report)
	return c
}

// countTries counts the attempts at peers.
func (c *Choices) countTries(s *fault.Script, a *Account) *peerLoads {
	loads := &peerLoads{
		account:  a,
		script:   s,
		index:    map[string]int{},
		arrivals: make([][]time.Duration, len(s.World.Peers)),
	}
	for i, p := range s.World.Peers {
		loads.index[p.Name] = i
	}
	c.TriesPerSecond = make([]int, int(c.Seconds))
	for _, arrival := range a.Arrivals {
		i, known := loads.index[arrival.Peer]
		if !known || arrival.Done || arrival.At < a.Begin || arrival.At >= a.End {
			continue
		}
		loads.arrivals[i] = append(loads.arrivals[i], arrival.At)
		c.Tries++
		if second := int((arrival.At - a.Begin).Seconds()); second < len(c.TriesPerSecond) {
			c.TriesPerSecond[second]++
		}
	}
	return loads
}

// checkSettled checks the busiest and the idlest peer of the settled windows against the bounds.
func (c *Choices) checkSettled(calm *windowLoads, report reporter) {
	if calm.windows == 0 {
		return
	}
	if c.Busiest > max(maxSettledRatio, c.Chance.Busiest*maxSettledRatio) {
		report("busiest", calm.busiest.at, "%.3f of the mean arrived at %s in %v, %.3f with a random choice",
			c.Busiest, calm.busiest.peer, settledWindow, c.Chance.Busiest)
	}
	if c.Idlest < min(minSettledRatio, c.Chance.Idlest*minSettledRatio) {
		report("idlest", calm.idlest.at, "%.3f of the mean arrived at %s in %v, %.3f with a random choice",
			c.Idlest, calm.idlest.peer, settledWindow, c.Chance.Idlest)
	}
}

// peerLoad is the load of a peer in one window.
type peerLoad struct {
	peer  string
	at    time.Duration // start of the window
	ratio float64       // weighted load / mean of all healthy peers
}

// windowLoads is the evaluation of all windows of one length.
type windowLoads struct {
	windows      int
	mean         float64 // attempts per peer and window
	busiest      peerLoad
	idlest       peerLoad
	starved      []peerLoad // the first window in which each starved peer had no attempt
	healthyPeers int        // minimum number of healthy peers in any window
}

// measure evaluates all windows of a length, or only the settled ones.
func (u *peerLoads) measure(length time.Duration, settled bool) *windowLoads {
	w := &windowLoads{healthyPeers: len(u.arrivals), idlest: peerLoad{ratio: math.Inf(1)}}
	for t := u.account.Begin + settleTime; t+length <= u.account.End; t += windowStep {
		if !settled || !u.hasChange(t-settleTime, t+length) {
			u.measureWindow(w, t, length)
		}
	}
	if w.windows == 0 {
		w.idlest.ratio = 0
		return w
	}
	w.mean /= float64(w.windows)
	return w
}

// measureWindow evaluates one window, unless it has no attempts or fewer than two healthy peers.
func (u *peerLoads) measureWindow(w *windowLoads, begin, length time.Duration) {
	loads, mean := u.healthyLoads(begin, length)
	sum := 0.0
	for _, load := range loads {
		sum += load.count
	}
	if sum == 0 || len(loads) < 2 {
		return
	}
	perPeer := sum / float64(len(loads))
	w.windows++
	w.healthyPeers = min(w.healthyPeers, len(loads))
	w.mean += perPeer
	for _, load := range loads {
		one := peerLoad{peer: load.peer, at: begin, ratio: load.weighted / mean}
		if one.ratio > w.busiest.ratio {
			w.busiest = one
		}
		if one.ratio < w.idlest.ratio {
			w.idlest = one
		}
		if load.count == 0 && perPeer >= minStarvedMean {
			w.addStarved(one)
		}
	}
}

// maxStarved is the maximum number of starved peers that are reported.
const maxStarved = 20

func (w *windowLoads) addStarved(load peerLoad) {
	known := slices.ContainsFunc(w.starved, func(other peerLoad) bool { return other.peer == load.peer })
	if !known && len(w.starved) < maxStarved {
		w.starved = append(w.starved, load)
	}
}

// healthyLoad is the load of a healthy peer in a window.
type healthyLoad struct {
	peer     string
	count    float64
	weighted float64 // count divided by the peer's weight
}

// healthyLoads returns the loads of all peers without a fault in a window, and the mean load per unit of weight.
func (u *peerLoads) healthyLoads(begin, length time.Duration) (loads []healthyLoad, mean float64) {
	sum, weight := 0.0, 0.0
	for i, p := range u.script.World.Peers {
		if u.wasFaulty(p.Name, begin, begin+length) {
			continue
		}
		count := countBetween(u.arrivals[i], begin, begin+length)
		loads = append(loads, healthyLoad{peer: p.Name, count: count, weighted: count / p.Weight})
		sum += count
		weight += p.Weight
	}
	return loads, sum / weight
}

// hasChange reports whether any event or fault affected a process or a peer between two instants.
func (u *peerLoads) hasChange(from, to time.Duration) bool {
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

// wasFaulty reports whether a fault affected a peer between two instants, or ended less than warmUpTime before them.
func (u *peerLoads) wasFaulty(peer string, from, to time.Duration) bool {
	for _, f := range u.script.Faults {
		begin := u.account.Begin + f.At.D()
		end := u.account.Begin + f.Ends().D() + warmUpTime
		if slices.Contains(f.Peers, peer) && begin < to && end > from {
			return true
		}
	}
	return false
}

// simulateChance simulates a random choice in as many windows as the evaluated ones contain without overlap, each with
// the mean number of attempts.
func (u *peerLoads) simulateChance(w *windowLoads) Chance {
	chance := Chance{Idlest: 1}
	if w.windows == 0 {
		return chance
	}
	random := figure.Stream(u.script.Seed, "choices by chance")
	windowCount := max(w.windows*int(windowStep)/int(anyWindow), 1)
	attempts := int(w.mean * float64(w.healthyPeers))
	for range windowCount {
		counts := make([]int, w.healthyPeers)
		for range attempts {
			counts[random.IntN(w.healthyPeers)]++
		}
		chance.Busiest = max(chance.Busiest, float64(slices.Max(counts))/w.mean)
		chance.Idlest = min(chance.Idlest, float64(slices.Min(counts))/w.mean)
	}
	return chance
}

// probeRate returns the number of health checks per second at all peers together.
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

// cpuShare returns the mean CPU use of a process, as a fraction of a core.
func (u *peerLoads) cpuShare() float64 {
	var sum time.Duration
	for _, d := range u.account.CPU {
		sum += d
	}
	return sum.Seconds() / (u.account.End - u.account.Begin).Seconds() / float64(max(len(u.account.Names), 1))
}

// Verdict returns the rules that the run broke.
func (c *Choices) Verdict() []Violation { return c.Broken }

// Text returns the result for the command's output.
func (c *Choices) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes chose among %d peers, for %.0f s: %d tries\n", c.Nodes, c.Peers, c.Seconds, c.Tries)
	fmt.Fprintf(&t, "in settled windows of %v the busiest peer received %.3f of the mean, "+
		"the idlest %.3f (with a random choice %.3f and %.3f)\n",
		settledWindow, c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest)
	fmt.Fprintf(&t, "in all windows of %v: %.3f and %.3f (%.3f and %.3f); starved %d\n",
		anyWindow, c.BusiestAny, c.IdlestAny, c.ChanceAny.Busiest, c.ChanceAny.Idlest, len(c.Starved))
	fmt.Fprintf(&t, "%.1f probes a second arrived at all peers; a process uses %.1f%% of a core\n", c.Probes, 100*c.CPU)
	for _, one := range c.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (c *Choices) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; busiest %.3f, idlest %.3f (chance %.3f, %.3f), any %.3f, %.3f, starved %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), c.Busiest, c.Idlest, c.Chance.Busiest, c.Chance.Idlest,
		c.BusiestAny, c.IdlestAny, len(c.Starved),
		verdict(c.Broken))
}
