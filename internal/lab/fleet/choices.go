package fleet

import (
	"fmt"
	"strings"
	"time"

	"olivebridge/internal/lab/fault"
) // The load during runs that examine the choices of servers. It is high for each peer, because at a low load the random
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
