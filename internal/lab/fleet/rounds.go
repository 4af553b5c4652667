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
	// roundStart is when the operators begin their round.
	roundStart = 4 * time.Second
	// roundHold is for how long each server is held out.
	roundHold = 300 * time.Millisecond
	// roundName is the round's name.
	roundName = "kernel"
	// suspendedPeer is the index of the peer that the operators suspend themselves before.
	suspendedPeer = 5
	// operatorInterval is how often operators ask how the round stands.
	operatorInterval = 500 * time.Millisecond
	// operatorTimeout is how long an answer may take: a second is owed.
	operatorTimeout = 1500 * time.Millisecond
	// inFlightMargin is how long after its node's death a call may still come to a peer that the rig plays.
	inFlightMargin = 250 * time.Millisecond
)

// Rounds is what came of operators' calls.
type Rounds struct {
	Nodes      int         `json:"nodes"`
	Seconds    float64     `json:"seconds"`
	Steps      int         `json:"steps"`
	Drivers    int         `json:"drivers"` // processes that took steps
	Took       float64     `json:"took_s"`  // from the round's beginning to its last step; 0: it was not done
	Checked    int         `json:"quiet"`   // times that a server was out at all nodes, which was looked at
	Skipped    int         `json:"skipped"` // of them, those in which some process was cut off or stood still
	LateCalls  int         `json:"late"`    // tries that came to a server all the same
	OpenCalls  int         `json:"held"`    // calls that it had in hand when it counted as empty
	Calls      int         `json:"calls"`   // of operators
	Unanswered int         `json:"silent"`  // of them, those that nobody answered
	Undecided  int         `json:"unsure"`  // and those that were to be said again
	Broken     []Violation `json:"broken"`
}

// JudgeRounds holds a run against what operators may count on.
func JudgeRounds(s *fault.Script, a *Account) *Rounds {
	base := newAmount(a, "rounds", 0)
	m := &Rounds{Nodes: base.Nodes, Seconds: base.Seconds, Broken: base.Broken}
	report := newReporter(&m.Broken, a.Begin)
	m.checkSteps(s, a, report)
	m.checkAnswers(s, a, report)
	return m
}

// checkSteps looks at the steps that were taken, and at what came to servers while they were out of use.
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
			report("once", at, "%s takes step %s of server %s a second time", line.Node, step.From, step.Server)
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
				report("one", at, "%s leaves while %s is out", step.Server, suspended)
			}
			suspended = step.Server
		case operations.Drained:
			suspended = ""
		}
	}
	m.Drivers = len(drivers)
	m.checkAllDrained(a, taken, report)
	if m.Steps > 0 {
		m.Took = (last - first).Seconds()
	}
}

// checkAllDrained looks at each server from when it counted as drained until it was restored.
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

// checkDrained finds calls that were open at a server, or came to it, between two instants in which all nodes had said
// that they have none there.
func (m *Rounds) checkDrained(a *Account, server string, from, to time.Duration, report reporter) {
	m.Checked++
	if wasDisturbed(a, from, to) {
		m.Skipped++
		return
	}
	if open := openCallsAt(a, server, from); open > 0 {
		m.OpenCalls += open
		report("busy", from, "%s counts as empty, and has %d calls in hand", server, open)
	}
	for _, arrival := range a.Arrivals {
		if arrival.Peer == server && !arrival.Done && arrival.At > from && arrival.At < to {
			m.LateCalls++
			report("out", arrival.At, "a try comes to %s, which was out at all nodes for %.3fs",
				server, (arrival.At - from).Seconds())
		}
	}
}

// openCallsAt is how many calls a server had open at an instant. Of those whose node may have died meanwhile no end is
// seen: they are not counted.
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
	for _, came := range open {
		nodeEnded := func(e Event) bool {
			ended := e.What == eventKilled || e.What == eventEnded
			return ended && e.At > came-inFlightMargin && e.At <= at
		}
		if !slices.ContainsFunc(a.Events, nodeEnded) {
			count++
		}
	}
	return count
}

// wasDisturbed reports whether some process was cut off or stopped just before the end of a time: it was given up, and
// may live.
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

// checkAnswers looks at what operators were answered.
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
		report("once", a.End, "%d rounds were begun under one name", begun)
	}
	last := a.OperatorCalls[max(len(a.OperatorCalls)-len(s.World.Nodes), 0):]
	m.checkLastAnswers(s, a, last, report)
}

// beganRound reports whether a call has begun a round that there was not.
func (c OperatorCall) beganRound() bool {
	return strings.HasPrefix(c.Line, "FLEET ROUND") && strings.HasPrefix(c.Answer, answerSuccess) &&
		!strings.Contains(c.Answer, "before")
}

// checkLastAnswers holds how the round stood at the end, as each node said, against how it has to.
func (m *Rounds) checkLastAnswers(s *fault.Script, a *Account, last []OperatorCall, report reporter) {
	header := fmt.Sprintf("round %q, begun at ", roundName)
	suspended := s.World.Peers[suspendedPeer].Name
	answered := 0
	for _, call := range last {
		if call.Answer == "" {
			continue // a process that ends or is dead
		}
		answered++
		if _, rest, found := strings.Cut(call.Answer, header); !found || !strings.Contains(rest, "done, ") {
			report("done", call.At, "at the end %s says: %.200s", call.Node, call.Answer)
		}
		if !strings.Contains(call.Answer, "out by the fleet's word: ["+suspended+"]") {
			report("word", call.At, "%s does not have %s out alone: %.200s", call.Node, suspended, call.Answer)
		}
	}
	if answered == 0 {
		report("done", a.End, "nobody says how it stands")
	}
}

// Verdict are the rules that did not hold.
func (m *Rounds) Verdict() []Violation { return m.Broken }

// Text is the result for people.
func (m *Rounds) Text(*Account) string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d processes, %.0f s: a round of %d steps took %.2f s, taken by %d processes\n",
		m.Nodes, m.Seconds, m.Steps, m.Took, m.Drivers)
	fmt.Fprintf(&t, "%d times a server was out at all nodes (%d not judged, since a process was cut off or stood still): "+
		"it had %d calls in hand, and %d tries came to it\n", m.Checked, m.Skipped, m.OpenCalls, m.LateCalls)
	fmt.Fprintf(&t, "operators called %d times, were not answered %d times, and told to call again %d times\n",
		m.Calls, m.Unanswered, m.Undecided)
	for _, one := range m.Broken {
		fmt.Fprintf(&t, "  %s\n", one)
	}
	return t.String()
}

// Line is the result in one line.
func (m *Rounds) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; %d steps by %d, %.1f s, out %d (%d not judged), late %d; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Steps, m.Drivers, m.Took, m.Checked, m.Skipped, m.LateCalls,
		verdict(m.Broken))
}
