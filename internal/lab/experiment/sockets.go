package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/live"
	"olivebridge/internal/lab/sample"
)

// SocketRunner runs scripts on loopback sockets and the machine's clock. Each node is
// a process. It checks only the rules that can be decided with certainty from
// clients, peers and the nodes' processes: see package live.
type SocketRunner struct {
	Node string    // path of the node's program; empty: built from the source tree for each run
	Log  io.Writer // receives errors of the run as they occur; may be nil
}

// clockSockets is the name of this runner's clock in reports.
const clockSockets = "sockets"

// gcPercent is the garbage collector's target percentage during a run. It makes
// collections, which delay requests, 16 times as rare as the default of 100.
const gcPercent = 1600

// Run implements Runner.
func (k SocketRunner) Run(ctx context.Context, s *fault.Script, to sample.Sink) (p RunResult, err error) {
	if err := live.Playable(s); err != nil {
		return RunResult{}, err
	}
	dir, err := os.MkdirTemp("", "olivelab-run-")
	if err != nil {
		return RunResult{}, fmt.Errorf("playing on sockets: %w", err)
	}
	defer os.RemoveAll(dir)
	node := k.Node
	if node == "" {
		if node, err = live.Build(ctx, dir); err != nil {
			return RunResult{}, err
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	r, err := live.Start(ctx, s, live.Options{Node: node, Dir: dir, Log: k.Log, Watch: to})
	if err != nil {
		return RunResult{}, fmt.Errorf("playing on sockets: %w", err)
	}
	broken := r.Broken()
	if ctx.Err() != nil {
		return RunResult{}, ctx.Err()
	}
	if err := r.MachineErr(); err != nil {
		return RunResult{}, fmt.Errorf("playing on sockets: %w", err)
	}
	return RunResult{Clock: clockSockets, Broken: broken}, nil
}
