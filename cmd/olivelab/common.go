package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/fault"
)

// seedRange holds the flags --from and --count, which select a range of seeds.
type seedRange struct{ from, count uint64 }

func (r *seedRange) addFlags(c *cobra.Command) {
	c.Flags().Uint64Var(&r.from, "from", 1, "the first seed")
	c.Flags().Uint64Var(&r.count, "count", 100, "how many seeds")
}

func (r *seedRange) validate() error {
	if r.count == 0 {
		return errors.New("--count: at least 1")
	}
	if r.from+r.count-1 < r.from {
		return fmt.Errorf("--from %d --count %d: beyond the last seed", r.from, r.count)
	}
	return nil
}

func scenarioFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "scenario", "", "the scenario `file` that seeds draw from; \"\": the built-in one")
}

// workerFlags holds the flags of commands that play runs in worker processes.
type workerFlags struct {
	procs    int
	scenario string
}

func (w *workerFlags) addFlags(c *cobra.Command) {
	c.Flags().IntVar(&w.procs, "procs", 0, "worker processes; 0: one a core")
	scenarioFlag(c, &w.scenario)
}

func (w *workerFlags) validate(s campaign.Sources) (campaign.Draw, error) {
	if w.procs < 0 {
		return nil, fmt.Errorf("--procs %d: below 0", w.procs)
	}
	return s.Scenario(w.scenario)
}

// replayCommand returns the command line that replays a seed.
func (w *workerFlags) replayCommand(seed uint64) string {
	call := "olivelab replay " + strconv.FormatUint(seed, 10)
	if w.scenario != "" {
		call += " --scenario " + w.scenario
	}
	return call
}

// scriptFlags holds the flags of commands that play a single run, given by a seed or by a script file.
type scriptFlags struct {
	script   string
	scenario string
}

func (t *scriptFlags) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&t.script, "script", "", "the script `file` to play instead of a seed")
	scenarioFlag(c, &t.scenario)
}

// read returns the script read from --script, or the script drawn from the seed in args.
func (t *scriptFlags) read(s campaign.Sources, args []string) (*fault.Script, error) {
	switch {
	case (len(args) == 1) == (t.script != ""):
		return nil, errors.New("wanted: a SEED, or --script FILE")
	case t.script != "" && t.scenario != "":
		return nil, errors.New("--scenario: only with a SEED")
	case t.script != "":
		text, err := os.ReadFile(t.script)
		if err != nil {
			return nil, shortPathError(err)
		}
		return s.Parse(t.script, text)
	}
	seed, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("SEED: not a number from 0 on: %q", args[0])
	}
	draw, err := s.Scenario(t.scenario)
	if err != nil {
		return nil, err
	}
	return draw(seed), nil
}

// newJob returns the campaign job that plays a script.
func newJob(s campaign.Sources, script *fault.Script) (campaign.Job, error) {
	var text strings.Builder
	if err := s.Write(script, &text); err != nil {
		return campaign.Job{}, fmt.Errorf("writing the script: %w", err)
	}
	return campaign.Job{Seed: script.Seed, Script: text.String()}, nil
}

// shortPathError reduces an os.PathError to the path and the cause, without the operation. It returns other errors
// unchanged.
func shortPathError(err error) error {
	if e, ok := errors.AsType[*os.PathError](err); ok {
		return fmt.Errorf("%s: %w", e.Path, e.Err)
	}
	return err
}
