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
	// signalRequestsPerPeer is the rate at which all processes together send to a peer, in requests per second. Each of
	// ten processes then sends to a peer once in 2 s, so that a process alone detects a fault late.
	signalRequestsPerPeer = 5.0
	// signalWitnesses is the number of other nodes that have to report failures of a peer before a node ejects it.
	signalWitnesses = 2
	// signalMaxAge is the time after the end of a peer's fault in which nodes may still report failures of it. A node
	// counts as a witness of an ejection if it had a failure within this time.
	signalMaxAge = 8 * time.Second
	// firstSignalFault is the time from the start of the script to the first fault of a peer.
	firstSignalFault = 8 * time.Second
	// signalFaultLength is the duration of a fault.
	signalFaultLength = 7 * time.Second
)

// SignalWitnesses returns the number of witnesses that an ejection needs, or 0 if processes do not share their
// observations of peers.
func SignalWitnesses(tell bool) int {
	if tell {
		return signalWitnesses
	}
	return 0
}

// signalsQuietScript returns choicesQuietScript with fewer calls.
func signalsQuietScript(peers int) quietScriptMaker {
	return func(seed uint64, nodes int, length time.Duration) *fault.Script {
		s := choicesQuietScript(peers)(seed, nodes, length)
		for i := range s.World.Clients {
			s.World.Clients[i].Rate *= signalRequestsPerPeer / requestsPerPeer
		}
		return s
	}
}

// signalsDemoScript returns the script that demonstrates signals: one in ten peers at a time dies or stops answering.
func signalsDemoScript(peers int) scriptMaker {
	return func(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
		if length < 25*time.Second {
			return nil, fmt.Errorf("%v: at least 25s are wanted", length)
		}
		s := signalsQuietScript(peers)(seed, nodes, length)
		g := figure.Stream(seed, "drama")
		for i, at := 0, firstSignalFault; at+9*time.Second <= length; i, at = i+1, at+17*time.Second {
			var failing []string
			for _, p := range g.Perm(peers)[:max(peers/10, 1)] {
				failing = append(failing, s.World.Peers[p].Name)
			}
			kind := []string{"death", "stall"}[i%2]
			s.Faults = append(s.Faults, fault.Fault{
				Kind: kind, At: figure.Span(at), For: figure.Span(signalFaultLength), Peers: failing,
			})
		}
		return s, s.Check()
	}
}

// SignalsScenario examines the signals that processes send each other about peers. With 0 witnesses they send none.
func SignalsScenario(peers, witnesses int) Scenario {
	extraTables := func(FileValues) string { return "" }
	if witnesses > 0 {
		extraTables = func(FileValues) string { return fmt.Sprintf("\n[choices]\nwitnesses = %d\n", witnesses) }
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
		ExtraTables:  extraTables,
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeSignals(s, a) },
	}
}

// Signals is the result of a run that examines signals.
type Signals struct {
	Nodes              int         `json:"nodes"`
	Peers              int         `json:"peers"`
	Seconds            float64     `json:"seconds"`
	DeadUse            Times       `json:"dead_used_s"`   // time from a peer's death to the last attempt by any process
	DeadTries          float64     `json:"dead_tries"`    // mean number of failed attempts at a dead peer
	SilentUse          Times       `json:"silent_used_s"` // the same for a silent peer, until the last attempt failed
	SilentTries        float64     `json:"silent_tries"`
	ReuseTime          Times       `json:"back_s"`    // time from a dead peer's restart to the first attempt there
	WrongEjections     int         `json:"wrong_out"` // ejections of healthy peers without enough witnesses
	WitnessedEjections int         `json:"by_chance"` // the same with enough witnesses, due to a busy machine
	Probes             float64     `json:"probes_s"`  // health checks per second at all peers
	Doubts             int         `json:"doubts"`    // the number of changes of a process's set of ejected peers
	Broken             []Violation `json:"broken"`
}

// hasFault reports whether a peer had a fault at an instant or at most signalMaxAge before it.
func hasFault(s *fault.Script, a *Account, peer string, at time.Duration) bool {
	return slices.ContainsFunc(s.Faults, func(f fault.Fault) bool {
		return slices.Contains(f.Peers, peer) && at >= a.Begin+f.At.D() && at <= a.Begin+f.Ends().D()+signalMaxAge
	})
}

// peerFailure is a failed attempt or health check of a node at a peer.
type peerFailure struct {
	node string
	at   time.Duration
}

// witnesses returns the number of other nodes that had a failure at a peer within signalMaxAge before an instant.
func witnesses(failures []peerFailure, node string, at time.Duration) int {
	others := map[string]bool{}
	for _, failure := range failures {
		if failure.node != node && failure.at <= at && failure.at > at-signalMaxAge {
			others[failure.node] = true
		}
	}
	return len(others)
}

// JudgeSignals checks which peers the processes ejected, and measures how long they continued to send to failed peers.
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
		reported: map[ejection]bool{},
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

// ejection identifies a node and a peer that it ejected.
type ejection struct{ node, peer string }

// signalsJudge processes the records of a run.
type signalsJudge struct {
	script   *fault.Script
	account  *Account
	result   *Signals
	report   reporter
	names    map[uint64]string          // names of peers, by ID
	attempts map[string][]time.Duration // times of the failed attempts, by peer
	failures map[string][]peerFailure   // failed attempts and health checks, by peer
	reported map[ejection]bool          // ejections that were reported
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

// checkEjection reports the ejection of a healthy peer.
func (w *signalsJudge) checkEjection(at time.Duration, node, peer string) {
	one := ejection{node: node, peer: peer}
	if hasFault(w.script, w.account, peer, at) || w.reported[one] {
		return
	}
	if witnesses(w.failures[peer], node, at) >= signalWitnesses {
		w.result.WitnessedEjections++
		return
	}
	w.reported[one] = true
	w.result.WrongEjections++
	w.report("wrong", at, "%s ejects %q, which is healthy", node, peer)
}

// measureUse measures how long processes continued to send to peers that had failed.
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
				m.DeadTries += countFailures(failed[p], from, to, &m.DeadUse)
				dead++
				if i, _ := slices.BinarySearch(arrivals[p], to); i < len(arrivals[p]) && to < a.End {
					m.ReuseTime.add(arrivals[p][i] - to)
				}
			case "stall":
				m.SilentTries += countFailures(failed[p], from, to, &m.SilentUse)
				silent++
			}
		}
	}
	m.DeadTries /= float64(max(dead, 1))
	m.SilentTries /= float64(max(silent, 1))
	m.DeadUse.summarize()
	m.SilentUse.summarize()
	m.ReuseTime.summarize()
}

// countFailures returns the number of times within [from, to), and adds the duration until the last of them to last.
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

// Verdict returns the rules that the run broke.
func (m *Signals) Verdict() []Violation { return m.Broken }

// Text returns the result for the command's output.
func (m *Signals) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes in front of %d peers, for %.0f s\n", m.Nodes, m.Peers, m.Seconds)
	fmt.Fprintf(&t, "a dead peer was tried %.1f times, the last time after %.2f s (median of %d), %.2f s at worst; "+
		"it was used again %.2f s after its start (median), %.2f s at worst\n",
		m.DeadTries, m.DeadUse.Median, m.DeadUse.Count, m.DeadUse.Worst, m.ReuseTime.Median, m.ReuseTime.Worst)
	fmt.Fprintf(&t, "%.1f tries failed with a silent one, the last after %.2f s (median of %d), %.2f s at worst\n",
		m.SilentTries, m.SilentUse.Median, m.SilentUse.Count, m.SilentUse.Worst)
	fmt.Fprintf(&t, "ejections of healthy peers: %d without enough witnesses, %d with enough; "+
		"the ejected peers changed %d times; %.1f probes a second arrived at all peers\n",
		m.WrongEjections, m.WitnessedEjections, m.Doubts, m.Probes)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (m *Signals) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; dead %.2f/%.2f s, %.1f tries, silent %.2f/%.2f s, %.1f tries, wrong_out %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.DeadUse.Median, m.DeadUse.Worst, m.DeadTries,
		m.SilentUse.Median, m.SilentUse.Worst,
		m.SilentTries, m.WrongEjections, verdict(m.Broken))
}
