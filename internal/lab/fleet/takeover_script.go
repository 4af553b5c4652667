package fleet

import (
	"context"
	"fmt"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
)

// takeoverQuietScript returns a script without faults in which the simulated clients generate little load.
func takeoverQuietScript(seed uint64, nodes int, length time.Duration) *fault.Script {
	s := quietScript(seed, nodes, length)
	for i := range s.World.Tenants {
		s.World.Tenants[i].Quota = 0
	}
	for i := range s.World.Peers { // enough capacity for all calls
		s.World.Peers[i].Cores = 8
		s.World.Peers[i].Slots = 8
	}
	s.World.Classes = append(s.World.Classes, copiedClass())
	for i := range s.World.Clients { // only the calls of the scenario's own clients are judged
		s.World.Clients[i].Mix = map[string]float64{"status": 1}
	}
	return s
}

// takeoverDemoScript returns the script that demonstrates a takeover: one process after the other is killed and started
// again.
func takeoverDemoScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	if nodes < 3 || length < 20*time.Second {
		return nil, fmt.Errorf("%d nodes and %v: at least 3 and 20s are wanted", nodes, length)
	}
	s := takeoverQuietScript(seed, nodes, length)
	g := figure.Stream(seed, "drama")
	for at := 5 * time.Second; at+settleTail <= length; at += 5 * time.Second {
		down := figure.Span(figure.Seconds(figure.Uniform(g, 0.6, 4)))
		node := s.World.Nodes[g.IntN(nodes)].Name
		s.Faults = append(s.Faults, fault.Fault{
			Kind: "node-kill", At: figure.Span(at), For: down, Nodes: []string{node},
		})
	}
	return s, s.Check()
}

// takeoverRandomScript returns a script, drawn by the seed, with faults of all kinds of the processes and of the
// network between them.
func takeoverRandomScript(seed uint64, nodes int, length time.Duration) (*fault.Script, error) {
	drawn, err := RandomScript(seed, nodes, length)
	if err != nil {
		return nil, err
	}
	s := takeoverQuietScript(seed, nodes, length)
	s.Faults = drawn.Faults
	return s, s.Check()
}

// TakeoverScenario examines whether a call survives the death of its node and runs only once. If store is false, the
// nodes store no calls; if retry is false, clients do not retry.
func TakeoverScenario(store, retry bool) Scenario {
	return Scenario{
		Name:         "takeover",
		DemoScript:   takeoverDemoScript,
		RandomScript: takeoverRandomScript,
		QuietScript:  takeoverQuietScript,
		Cases:        []Case{votersCase(), upgradesCase(), copiesCase(), stepsCase()},
		ExtraTables: func(v FileValues) string {
			if !store {
				return ""
			}
			return fmt.Sprintf("\n[work]\nclasses = [%q]\n%swindow = %q\n", clientCallClass, v.votersTable(), callRetention)
		},
		Judge: func(_ *fault.Script, a *Account) Outcome { return JudgeTakeover(a, store && retry) },
		Clients: func(ctx context.Context, nodes map[string]string, s *fault.Script) []ClientCall {
			load := &clientLoad{nodes: nodes, retry: retry, script: s}
			return load.run(ctx)
		},
		CopyingClients: func(ctx context.Context, nodes map[string]string, s *fault.Script) []CopiedCall {
			copying := &copyingClients{nodes: nodes, script: s}
			return copying.run(ctx)
		},
	}
}
