package fleet

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// roundsQuietScript returns a script without faults with six peers, and with calls that take longer than the
// distribution of a step to all nodes.
func roundsQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := budgetQuietScript(seed, nodes, length)
	for i := range s.World.Clients {
		s.World.Clients[i].Rate /= 4
	}
	class := &s.World.Classes[0] // the class that clients call
	class.Work *= 30
	class.Spread = 0.2
	class.Objective *= 20
	class.Deadline *= 20
	return s
}

// roundsDemoScript returns the script that demonstrates a round: one process after the other is killed during the
// round, voters included.
func roundsDemoScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	if nodes < 4 || length < 25*time.Second {
		return nil, fmt.Errorf("%d nodes and %v: at least 4 and 25s are wanted", nodes, length)
	}
	s := roundsQuietScript(seed, nodes, length)
	g := figure.Stream(seed, "drama")
	for at := 5 * time.Second; at+settleTail <= length; at += 4 * time.Second {
		down := figure.Span(figure.Seconds(figure.Uniform(g, 0.6, 2.5)))
		node := s.World.Nodes[g.IntN(nodes)].Name
		s.Faults = append(s.Faults, fault.Fault{
			Kind: "node-kill", At: figure.Span(at), For: down, Nodes: []string{node},
		})
	}
	return s, s.Check()
}

// RoundsScenario examines operators' commands that apply to the whole fleet.
func RoundsScenario() Scenario {
	return Scenario{
		Name:         "rounds",
		DemoScript:   roundsDemoScript,
		RandomScript: withDrawnFaults(roundsQuietScript, RandomScript),
		QuietScript:  roundsQuietScript,
		Cases:        []Case{upgradesCase(), votersCase()},
		ExtraTables:  func(v FileValues) string { return "\n[operators]\n" + v.votersTable() },
		Judge:        func(s *fault.Script, a *Account) Outcome { return JudgeRounds(s, a) },
		Operators:    playOperators,
	}
}

// The operators' status command, and the prefix of the answer to a command that succeeded.
const (
	callStatus    = "FLEET STATUS"
	answerSuccess = "SUCCESS"
)

// operators send commands to randomly drawn nodes, one after the other.
type operators struct {
	script    *fault.Script
	addresses func(node string) string
	random    *rand.Rand
	begin     time.Time
	calls     []OperatorCall
}

// playOperators suspends one server, starts a round through all servers, and asks randomly drawn nodes for the status
// until the script is over. At the end it asks each node once.
func playOperators(ctx context.Context, addresses func(node string) string, s *fault.Script) []OperatorCall {
	o := &operators{
		script:    s,
		addresses: addresses,
		random:    figure.Stream(s.Seed, "operators"),
		begin:     time.Now(),
	}
	time.Sleep(roundStart)
	o.callUntilDone(ctx, "FLEET SUSPEND "+s.World.Peers[suspendedPeer].Name)
	beginRound := fmt.Sprintf("FLEET ROUND %s %s ALL", roundName, roundHold)
	o.callUntilDone(ctx, beginRound)
	o.callUntilDone(ctx, beginRound) // must not start a second round
	for time.Since(o.begin) < s.Length.D()-2*operatorTimeout && ctx.Err() == nil {
		o.callAny(ctx, callStatus)
		time.Sleep(operatorInterval)
	}
	for _, node := range s.World.Nodes {
		o.call(ctx, node.Name, callStatus)
	}
	return o.calls
}

// callUntilDone repeats a command until it succeeds or the script is over.
func (o *operators) callUntilDone(ctx context.Context, line string) {
	for !o.callAny(ctx, line) && ctx.Err() == nil && time.Since(o.begin) < o.script.Length.D() {
		time.Sleep(operatorInterval)
	}
}

// callAny sends a command to a randomly drawn node, and reports whether it succeeded.
func (o *operators) callAny(ctx context.Context, line string) bool {
	nodes := o.script.World.Nodes
	answer := o.call(ctx, nodes[o.random.IntN(len(nodes))].Name, line)
	return strings.HasPrefix(answer, answerSuccess)
}

func (o *operators) call(ctx context.Context, node, line string) string {
	answer := callOperator(ctx, o.addresses(node), line)
	o.calls = append(o.calls, OperatorCall{At: record.Now(), Node: node, Line: line, Answer: answer})
	return answer
}

// callOperator sends one line to an admin listener and returns the answer. It returns "" if there is none.
func callOperator(ctx context.Context, address, line string) string {
	dialer := net.Dialer{Timeout: operatorTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(operatorTimeout))
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return ""
	}
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}
