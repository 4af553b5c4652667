package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/sample"
)

// Virtual plays on the virtual clock, in a worker process of its own: the same
// script gives the same figures each time, whatever else the machine does.
type Virtual struct {
	Command []string  // starts a worker; empty: this program, with the argument "worker"
	Log     io.Writer // hears what the worker writes to standard error; nil: nobody
}

// clockVirtual is this runner's name in reports.
const clockVirtual = "virtual"

// Run implements Runner.
func (v Virtual) Run(ctx context.Context, s *fault.Script, to sample.Sink) (Played, error) {
	var text strings.Builder
	if err := s.Write(&text); err != nil {
		return Played{}, err
	}
	told := sample.NewReader(to)
	pool := &campaign.Pool{Command: v.Command, Procs: 1, Trace: told, Log: v.Log}
	o, err := pool.One(ctx, campaign.Job{Seed: s.Seed, Script: text.String(), Watch: true})
	switch {
	case err != nil:
		return Played{}, fmt.Errorf("playing on the virtual clock: %w", err)
	case told.Err() != nil:
		return Played{}, told.Err()
	case told.Count() == 0 && !o.Failed():
		return Played{}, errors.New("the worker tells nothing of its runs: it was built from an older revision")
	}
	p := Played{Clock: clockVirtual}
	for _, broken := range o.Result.Violations {
		p.Broken = append(p.Broken, broken.String())
	}
	return p, nil
}
