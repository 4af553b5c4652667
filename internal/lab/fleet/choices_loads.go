package fleet

import (
	"math"
	"slices"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// peerLoads evaluates the loads of peers in windows.
type peerLoads struct {
	account  *Account
	script   *fault.Script
	index    map[string]int    // of each peer's entry in arrivals
	arrivals [][]time.Duration // of each peer, ordered by time
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

// cpuShare returns the mean CPU use of a process, as a fraction of a core.
func (u *peerLoads) cpuShare() float64 {
	var sum time.Duration
	for _, d := range u.account.CPU {
		sum += d
	}
	return sum.Seconds() / (u.account.End - u.account.Begin).Seconds() / float64(max(len(u.account.Names), 1))
}
