package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/choices"
	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/protocol"
)

const (
	// signalRequestsPerPeer is how often a peer is asked by all processes together: each process meets each peer once in two seconds
	// where there are ten, so that what one learns alone comes late.
	signalRequestsPerPeer = 5.0
	// signalWitnesses is on how many others' word a peer is left alone.
	signalWitnesses = 2
	// signalMaxAge is for how long after its end a fault of a peer may be told of.
	signalMaxAge = 8 * time.Second
	// firstSignalFault is when the first peer may fail.
	firstSignalFault = 8 * time.Second
	// signalFaultLength is for how long they fail.
	signalFaultLength = 7 * time.Second
)

// SignalWitnesses is that number where processes tell each other of peers; else 0.
func SignalWitnesses(tell bool) int {
	if tell {
		return signalWitnesses
	}
	return 0
}

// signalsQuietScript is choicesQuietScript with few calls.
func signalsQuietScript(peers int) quietScriptMaker {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := choicesQuietScript(peers)(seed, nodes, length)
		for i := range s.World.Clients {
			s.World.Clients[i].Rate *= signalRequestsPerPeer / requestsPerPeer
		}
		return s
	}
}

// signalsDemoScript lets peers die and fall silent, one in ten at a time.
func signalsDemoScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		if length < 25*time.Second {
			return nil, fmt.Errorf("%v: at least 25s are wanted", length)
		}
		s := signalsQuietScript(peers)(seed, nodes, length)
		g := figure.Stream(seed, "drama")
		for i, at := 0, firstSignalFault; at+9*time.Second <= length; i, at = i+1, at+17*time.Second {
			var some []string
			for _, p := range g.Perm(peers)[:max(peers/10, 1)] {
				some = append(some, s.World.Peers[p].Name)
			}
			kind := []string{"death", "stall"}[i%2]
			s.Faults = append(s.Faults, fault.Fault{
				Kind: kind, At: figure.Span(at), For: figure.Span(signalFaultLength), Peers: some,
			})
		}
		return s, s.Check()
	}
}

// SignalsScenario is what processes tell each other of so many peers; 0 witnesses: they tell nothing.
func SignalsScenario(peers, witnesses int) Scenario {
	more := func(FileValues) string { return "" }
	if witnesses > 0 {
		more = func(FileValues) string { return fmt.Sprintf("\n[choices]\nwitnesses = %d\n", witnesses) }
	}
	draw := func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		drawn, err := choicesRandomScript(peers)(seed, nodes, length)
		if err != nil {
			return nil, err
		}
		s := signalsQuietScript(peers)(seed, nodes, length)
		s.Faults = drawn.Faults
		return s, s.Check()
	}
	return Scenario{
		Name:         "signals",
		DemoScript:   signalsDemoScript(peers),
		RandomScript: draw,
		QuietScript:  signalsQuietScript(peers),
		ExtraTables:  more,
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeSignals(s, a) },
	}
}

// Signals is what came of it.
type Signals struct {
	Nodes              int         `json:"nodes"`
	Peers              int         `json:"peers"`
	Seconds            float64     `json:"seconds"`
	Dead               Times       `json:"dead_used_s"`   // from a peer's death to the last try to it, over all processes
	DeadTries          float64     `json:"dead_tries"`    // tries to a dead peer, the mean
	Silent             Times       `json:"silent_used_s"` // the same of peers that fell silent, until the last try had failed
	SilentTries        float64     `json:"silent_tries"`
	Back               Times       `json:"back_s"`    // from a dead peer's start to its first try
	WrongEjections     int         `json:"wrong_out"` // sound peers that a process ejected, and fewer others had failed with them
	WitnessedEjections int         `json:"by_chance"` // sound peers that it ejected since others had failed: a busy machine
	Probes             float64     `json:"probes_s"`  // that came to all peers
	Doubts             int         `json:"doubts"`    // times that a process changed whom it leaves alone
	Broken             []Violation `json:"broken"`
}

// hasFault reports whether a peer had something to suffer just before an instant.
func hasFault(s *fault.Script, a *Account, peer string, at time.Duration) bool {
	return slices.ContainsFunc(s.Faults, func(f fault.Fault) bool {
		return slices.Contains(f.Peers, peer) && at >= a.Begin+f.At.D() && at <= a.Begin+f.Ends().D()+signalMaxAge
	})
}

// peerFailure is an attempt or a health check of a node that failed.
type peerFailure struct {
	node string
	at   time.Duration
}

// witnesses is how many other nodes had failed with a peer not long before an instant.
func witnesses(failures []peerFailure, node string, at time.Duration) int {
	others := map[string]bool{}
	for _, failure := range failures {
		if failure.node != node && failure.at <= at && failure.at > at-signalMaxAge {
			others[failure.node] = true
		}
	}
	return len(others)
}

// JudgeSignals looks at which peers the processes went on sending to, and which they ejected.
func JudgeSignals(s *fault.Script, a *Account) *Signals {
	base := newAmount(a, "signals", 0)
	m := &Signals{Nodes: base.Nodes, Peers: len(s.World.Peers), Seconds: base.Seconds, Broken: base.Broken}
	w := &signalsJudge{
		script:   s,
		account:  a,
		result:   m,
		names:    map[uint64]string{},
		attempts: map[string][]time.Duration{},
		failures: map[string][]peerFailure{},
		wrong:    map[ejection]bool{},
		report:   newReporter(&m.Broken, a.Begin),
	}
	for _, p := range s.World.Peers {
		w.names[uint64(protocol.ServerID(p.Name))] = p.Name
	}
	for _, line := range a.Lines {
		if at := time.Duration(line.At); at >= a.Begin && at <= a.End {
			w.apply(at, line)
		}
	}
	m.measureUse(s, a, w.attempts)
	m.Probes = probeRate(a)
	return m
}

// ejection is a peer that a node ejected.
type ejection struct{ node, peer string }

// signalsJudge goes through the records of a run.
type signalsJudge struct {
	script   *fault.Script
	account  *Account
	result   *Signals
	report   reporter
	names    map[uint64]string          // of peers, by ID
	attempts map[string][]time.Duration // that failed, by peer
	failures map[string][]peerFailure   // the same with health checks
	wrong    map[ejection]bool          // that were reported
}

func (w *signalsJudge) apply(at time.Duration, line record.Line) {
	switch line.Kind {
	case "failed":
		var failure choices.FailureRecord
		if json.Unmarshal(line.Data, &failure) != nil {
			return
		}
		peer := w.names[failure.Server]
		w.failures[peer] = append(w.failures[peer], peerFailure{line.Node, at})
		if !failure.Probe {
			w.attempts[peer] = append(w.attempts[peer], at)
		}
	case "doubts":
		var ejected []uint64
		if json.Unmarshal(line.Data, &ejected) != nil {
			ejected = nil
		}
		w.result.Doubts++
		for _, id := range ejected {
			w.checkEjection(at, line.Node, w.names[id])
		}
	}
}

// checkEjection finds that a node ejected a peer that was sound.
func (w *signalsJudge) checkEjection(at time.Duration, node, peer string) {
	one := ejection{node: node, peer: peer}
	if hasFault(w.script, w.account, peer, at) || w.wrong[one] {
		return
	}
	if witnesses(w.failures[peer], node, at) >= signalWitnesses {
		w.result.WitnessedEjections++
		return
	}
	w.wrong[one] = true
	w.result.WrongEjections++
	w.report("wrong", at, "%s leaves %q alone, which is sound", node, peer)
}

// measureUse measures for how long peers that had failed were sent to.
func (m *Signals) measureUse(s *fault.Script, a *Account, failed map[string][]time.Duration) {
	dead, silent := 0, 0
	arrivals := map[string][]time.Duration{}
	for _, c := range a.Arrivals {
		if !c.Done {
			arrivals[c.Peer] = append(arrivals[c.Peer], c.At)
		}
	}
	for _, f := range s.Faults {
		from, to := a.Begin+f.At.D(), a.Begin+f.Ends().D()
		for _, p := range f.Peers {
			switch f.Kind {
			case "death":
				m.DeadTries += countFailures(failed[p], from, to, &m.Dead)
				dead++
				if i, _ := slices.BinarySearch(arrivals[p], to); i < len(arrivals[p]) && to < a.End {
					m.Back.add(arrivals[p][i] - to)
				}
			case "stall":
				m.SilentTries += countFailures(failed[p], from, to, &m.Silent)
				silent++
			}
		}
	}
	m.DeadTries /= float64(max(dead, 1))
	m.SilentTries /= float64(max(silent, 1))
	m.Dead.summarize()
	m.Silent.summarize()
	m.Back.summarize()
}

// countFailures counts the instants within a time, and adds how long it took until the last.
func countFailures(all []time.Duration, from, to time.Duration, last *Times) float64 {
	i, _ := slices.BinarySearch(all, from)
	j, _ := slices.BinarySearch(all, to)
	if j > i {
		last.add(all[j-1] - from)
	} else {
		last.add(0)
	}
	return float64(j - i)
}

// Verdict are the rules that did not hold.
func (m *Signals) Verdict() []Violation { return m.Broken }

// Text is the result for people.
func (m *Signals) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes in front of %d peers, for %.0f s\n", m.Nodes, m.Peers, m.Seconds)
	fmt.Fprintf(&t, "a dead peer was tried %.1f times, the last time after %.2f s (median of %d), %.2f s at worst; "+
		"it was used again %.2f s after its start (median), %.2f s at worst\n",
		m.DeadTries, m.Dead.Median, m.Dead.Count, m.Dead.Worst, m.Back.Median, m.Back.Worst)
	fmt.Fprintf(&t, "%.1f tries failed with a silent one, the last after %.2f s (median of %d), %.2f s at worst\n",
		m.SilentTries, m.Silent.Median, m.Silent.Count, m.Silent.Worst)
	fmt.Fprintf(&t, "sound peers left alone on others' word: %d without reason, %d since others had failed with them; "+
		"doubts changed %d times; %.1f probes a second came to all peers\n", m.WrongEjections, m.WitnessedEjections, m.Doubts, m.Probes)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (m *Signals) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; dead %.2f/%.2f s, %.1f tries, silent %.2f/%.2f s, %.1f tries, wrong_out %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Dead.Median, m.Dead.Worst, m.DeadTries, m.Silent.Median, m.Silent.Worst,
		m.SilentTries, m.WrongEjections, verdict(m.Broken))
}
