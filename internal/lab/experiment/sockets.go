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

// Sockets plays on loopback sockets and the machine's clock, with each node a
// process of its own. Only those rules are judged that clients, peers and the
// nodes' processes show for sure: see package live.
type Sockets struct {
	Node string    // the nodes' program; empty: built from the source tree for each run
	Log  io.Writer // hears at once what goes wrong with a run; nil: nobody
}

// clockSockets is this runner's name in reports.
const clockSockets = "sockets"

// collectAt lets the collector, whose work holds requests up, come a sixteenth as
// often as usual while a run is played.
const collectAt = 1600

// Run implements Runner.
func (k Sockets) Run(ctx context.Context, s *fault.Script, to sample.Sink) (p Played, err error) {
	if err := live.Playable(s); err != nil {
		return Played{}, err
	}
	dir, err := os.MkdirTemp("", "olivelab-run-")
	if err != nil {
		return Played{}, fmt.Errorf("playing on sockets: %w", err)
	}
	defer os.RemoveAll(dir)
	node := k.Node
	if node == "" {
		if node, err = live.Build(ctx, dir); err != nil {
			return Played{}, err
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(collectAt))
	r, err := live.Start(ctx, s, live.Options{Node: node, Dir: dir, Log: k.Log, Watch: to})
	if err != nil {
		return Played{}, fmt.Errorf("playing on sockets: %w", err)
	}
	broken := r.Broken()
	if ctx.Err() != nil {
		return Played{}, ctx.Err()
	}
	if err := r.Machine(); err != nil {
		return Played{}, fmt.Errorf("playing on sockets: %w", err)
	}
	return Played{Clock: clockSockets, Broken: broken}, nil
}
