package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/operations"
	"olivebridge/internal/lab/fault"
)

const (
	// roundStart is the time from the start of the script until the operators start their round.
	roundStart = 4 * time.Second
	// roundHold is the time for which each server is kept out of service.
	roundHold = 300 * time.Millisecond
	// roundName is the round's name.
	roundName = "kernel"
	// suspendedPeer is the index of the peer that the operators suspend before the round.
	suspendedPeer = 5
	// operatorInterval is the interval at which operators ask for the round's status.
	operatorInterval = 500 * time.Millisecond
	// operatorTimeout is the time limit of an operator's call. The documented limit is 1 s.
	operatorTimeout = 1500 * time.Millisecond
	// inFlightMargin is the time after a node's death in which a call that it had sent may still arrive at a peer.
	inFlightMargin = 250 * time.Millisecond
)

// Rounds is the result of a run with commands of operators.
type Rounds struct {
	Nodes      int         `json:"nodes"`
	Seconds    float64     `json:"seconds"`
	Steps      int         `json:"steps"`
	Drivers    int         `json:"drivers"` // the number of processes that took steps
	RoundTime  float64     `json:"took_s"`  // time from the first step to the last one; 0 if there was no step
	Checked    int         `json:"quiet"`   // the number of times that a server was out of service at all nodes
	Skipped    int         `json:"skipped"` // of those, the ones not judged since a process was cut off or stopped
	LateCalls  int         `json:"late"`    // attempts that arrived at a server out of service
	OpenCalls  int         `json:"held"`    // calls in flight at a server that counted as drained
	Calls      int         `json:"calls"`   // the number of operators' calls
	Unanswered int         `json:"silent"`  // of those, the ones without an answer
	Undecided  int         `json:"unsure"`  // of those, the ones answered with a request to repeat them
	Broken     []Violation `json:"broken"`
}

// JudgeRounds checks a run against the guarantees that operators have.
func JudgeRounds(s *fault.Script, a *Account) *Rounds {
	base := newAmount(a, "rounds", 0)
	m := &Rounds{Nodes: base.Nodes, Seconds: base.Seconds, Broken: base.Broken}
	report := newReporter(&m.Broken, a.Begin)
	m.checkSteps(s, a, report)
	m.checkAnswers(s, a, report)
	return m
}

// checkSteps checks the steps of the round, and the calls at servers that are out of service.
func (m *Rounds) checkSteps(s *fault.Script, a *Account, report reporter) {
	taken := map[operations.StepRecord]time.Duration{}
	drivers := map[string]bool{}
	var first, last time.Duration
	suspended := ""
	for _, line := range a.Lines {
		var step operations.StepRecord
		if line.Kind != "step" || json.Unmarshal(line.Data, &step) != nil {
			continue
		}
		at := time.Duration(line.At)
		if _, twice := taken[step]; twice {
			report("once", at, "%s takes step %s of server %s for the second time", line.Node, step.From, step.Server)
		}
		taken[step] = at
		drivers[fmt.Sprint(line.Node, line.PID)] = true
		m.Steps++
		if first == 0 {
			first = at
		}
		last = at
		switch step.From {
		case operations.Pending:
			if suspended != "" && step.Server != s.World.Peers[suspendedPeer].Name {
				report("one", at, "%s is taken out of service while %s is out of service", step.Server, suspended)
			}
			suspended = step.Server
		case operations.Drained:
			suspended = ""
		}
	}
	m.Drivers = len(drivers)
	m.checkAllDrained(a, taken, report)
	if m.Steps > 0 {
		m.RoundTime = (last - first).Seconds()
	}
}

// checkAllDrained checks each server from the time at which it counted as drained until it was restored.
func (m *Rounds) checkAllDrained(a *Account, taken map[operations.StepRecord]time.Duration, report reporter) {
	for step, at := range taken {
		if step.From != operations.Draining {
			continue
		}
		step.From = operations.Drained
		end, restored := taken[step]
		if !restored {
			end = min(at+roundHold, a.End)
		}
		m.checkDrained(a, step.Server, at, end, report)
	}
}

// checkDrained reports calls that were in flight at a server at the first of two instants, or arrived there before the
// second one. Between the instants all nodes had reported that they have no calls there.
func (m *Rounds) checkDrained(a *Account, server string, from, to time.Duration, report reporter) {
	m.Checked++
	if wasDisturbed(a, from, to) {
		m.Skipped++
		return
	}
	if open := openCallsAt(a, server, from); open > 0 {
		m.OpenCalls += open
		report("busy", from, "%s counts as drained, but has %d calls in flight", server, open)
	}
	for _, arrival := range a.Arrivals {
		if arrival.Peer == server && !arrival.Done && arrival.At > from && arrival.At < to {
			m.LateCalls++
			report("out", arrival.At, "an attempt arrives at %s, which has been out of service at all nodes for %.3fs",
				server, (arrival.At - from).Seconds())
		}
	}
}

// openCallsAt returns the number of calls in flight at a server at an instant. The end of a call is not observed if its
// node has died since, so a call is not counted if it arrived before the death of any node, or less than inFlightMargin
// after it.
func openCallsAt(a *Account, server string, at time.Duration) (count int) {
	open := map[string]time.Duration{}
	for _, arrival := range a.Arrivals {
		switch {
		case arrival.Peer != server || arrival.At > at:
		case arrival.Done:
			delete(open, arrival.Call)
		default:
			open[arrival.Call] = arrival.At
		}
	}
	for _, arrivedAt := range open {
		nodeEnded := func(e Event) bool {
			ended := e.What == eventKilled || e.What == eventEnded
			return ended && e.At > arrivedAt-inFlightMargin && e.At <= at
		}
		if !slices.ContainsFunc(a.Events, nodeEnded) {
			count++
		}
	}
	return count
}

// wasDisturbed reports whether some process was cut off or stopped, or had a stranger under its name, shortly before or
// during a time. The others may have declared it dead although it runs.
func wasDisturbed(a *Account, from, to time.Duration) bool {
	now := newTruth(a.Names)
	isAway := func(name string) bool { return now.nodes[name].stopped || now.nodes[name].hasStranger }
	for _, e := range a.Events {
		if e.At > to {
			break
		}
		now.apply(e)
		if e.At > from-undisturbedTime && (!now.isIntact() || slices.ContainsFunc(a.Names, isAway)) {
			return true
		}
	}
	return !now.isIntact()
}

// checkAnswers checks the answers to operators.
func (m *Rounds) checkAnswers(s *fault.Script, a *Account, report reporter) {
	begun := 0
	for _, call := range a.OperatorCalls {
		m.Calls++
		switch {
		case call.Answer == "":
			m.Unanswered++
		case strings.Contains(call.Answer, "say it again"):
			m.Undecided++
		case call.beganRound():
			begun++
		}
	}
	if begun > 1 {
		report("once", a.End, "%d rounds were started under one name", begun)
	}
	last := a.OperatorCalls[max(len(a.OperatorCalls)-len(s.World.Nodes), 0):]
	m.checkLastAnswers(s, a, last, report)
}

// beganRound reports whether a call started a round that did not exist before.
func (c OperatorCall) beganRound() bool {
	return strings.HasPrefix(c.Line, "FLEET ROUND") && strings.HasPrefix(c.Answer, answerSuccess) &&
		!strings.Contains(c.Answer, "before")
}

// checkLastAnswers checks the status of the round that each node reported at the end.
func (m *Rounds) checkLastAnswers(s *fault.Script, a *Account, last []OperatorCall, report reporter) {
	header := fmt.Sprintf("round %q, begun at ", roundName)
	suspended := s.World.Peers[suspendedPeer].Name
	answered := 0
	for _, call := range last {
		if call.Answer == "" {
			continue // the process is ending or dead
		}
		answered++
		if _, rest, found := strings.Cut(call.Answer, header); !found || !strings.Contains(rest, "done, ") {
			report("done", call.At, "the last status at %s does not show a finished round: %.200s", call.Node, call.Answer)
		}
		if !strings.Contains(call.Answer, "out by the fleet's word: ["+suspended+"]") {
			report("word", call.At, "the status at %s does not show %s as the only suspended server: %.200s",
				call.Node, suspended, call.Answer)
		}
	}
	if answered == 0 {
		report("done", a.End, "no node answered with a status at the end")
	}
}

// Verdict returns the rules that the run broke.
func (m *Rounds) Verdict() []Violation { return m.Broken }

// Text returns the result for the command's output.
func (m *Rounds) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes, %.0f s: a round of %d steps took %.2f s, taken by %d processes\n",
		m.Nodes, m.Seconds, m.Steps, m.RoundTime, m.Drivers)
	fmt.Fprintf(&t, "%d times a server was out at all nodes (%d not judged, since a process was cut off or stopped): "+
		"it had %d calls in flight, and %d attempts arrived at it\n", m.Checked, m.Skipped, m.OpenCalls, m.LateCalls)
	fmt.Fprintf(&t, "operators called %d times, were not answered %d times, and were asked to repeat the call %d times\n",
		m.Calls, m.Unanswered, m.Undecided)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line returns the result in one line.
func (m *Rounds) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; %d steps by %d, %.1f s, out %d (%d not judged), late %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Steps, m.Drivers, m.RoundTime, m.Checked, m.Skipped, m.LateCalls,
		verdict(m.Broken))
}
