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

// Virtual is the Runner on the virtual clock. It plays each script in a worker
// process; a script gives the same figures in every run, whatever the load of the
// machine.
type Virtual struct {
	Command []string  // command line of a worker; empty: this program with the argument "worker"
	Log     io.Writer // receives the worker's standard error; may be nil
}

// clockVirtual is the name of this runner's clock in reports.
const clockVirtual = "virtual"

// Run implements Runner.
func (v Virtual) Run(ctx context.Context, s *fault.Script, to sample.Sink) (RunResult, error) {
	var text strings.Builder
	if err := s.Write(&text); err != nil {
		return RunResult{}, err
	}
	reader := sample.NewReader(to)
	pool := &campaign.Pool{Command: v.Command, Workers: 1, Trace: reader, Log: v.Log}
	o, err := pool.One(ctx, campaign.Job{Seed: s.Seed, Script: text.String(), Watch: true})
	switch {
	case err != nil:
		return RunResult{}, fmt.Errorf("playing on the virtual clock: %w", err)
	case reader.Err() != nil:
		return RunResult{}, reader.Err()
	case reader.Count() == 0 && !o.Failed():
		return RunResult{}, errors.New("the worker reported no samples: it was built from an older revision")
	}
	p := RunResult{Clock: clockVirtual}
	for _, broken := range o.Result.Violations {
		p.Broken = append(p.Broken, broken.String())
	}
	return p, nil
}
