package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/compare"
	"olivebridge/internal/lab/experiment"
	"olivebridge/internal/lab/report"
)

// compareSide is one of the two builds or experiments under comparison.
type compareSide struct {
	name       string
	definition *experiment.Experiment
	backend    experiment.Runner
}

// compareCommand returns the command that compares two builds or two experiments.
func compareCommand() *cobra.Command {
	var on clockFlags
	var file, out string
	var pairs uint64
	var short bool
	c := &cobra.Command{
		Use:   "compare A B",
		Short: "compares two builds, or two experiments, over several pairs of runs",
		Long: "A and B are two experiment files (*.toml), or two builds, which then play the file that --experiment " +
			"names: two nodes' programs, or, with --virtual, two builds of olivelab. Each pair has a seed of its own, and the order within pairs is A B, B A, and so on. For " +
			"each figure the table has the medians, their ratio with its spread, and whether a difference is seen.",
		Args: cobra.ExactArgs(2),
	}
	on.addFlags(c)
	c.Flags().StringVar(&file, "experiment", "", "the experiment `file` that two builds play")
	c.Flags().StringVar(&out, "json", "", "where the table goes as JSON")
	c.Flags().Uint64Var(&pairs, "pairs", 6, "how many pairs")
	c.Flags().BoolVar(&short, "short", false, "the short forms")
	c.RunE = func(c *cobra.Command, args []string) error {
		if pairs == 0 {
			return errors.New("--pairs: at least 1")
		}
		sides, err := on.readSides(args, file, c.ErrOrStderr())
		if err != nil {
			return err
		}
		sink, err := createOutput(out)
		if err != nil {
			return err
		}
		defer sink.discard()
		pairResults, err := playPairs(c.Context(), sides, pairs, short, c.ErrOrStderr())
		if err != nil {
			return err
		}
		rows := compare.Rows(pairResults)
		if err := sink.write(func(w io.Writer) error { return json.NewEncoder(w).Encode(rows) }); err != nil {
			return err
		}
		return compare.Write(c.OutOrStdout(), sides[0].name, sides[1].name, pairResults, rows)
	}
	return c
}

// readSides loads the experiment and selects the runner of each side. The two args are experiment files, or builds
// that play the experiment in file.
func (k *clockFlags) readSides(args []string, file string, errs io.Writer) (sides [2]compareSide, err error) {
	files := 0
	for _, a := range args {
		if strings.HasSuffix(a, ".toml") {
			files++
		}
	}
	switch {
	case files == 1:
		return sides, errors.New("wanted: two experiment files, or two builds")
	case files == 2 && file != "":
		return sides, errors.New("--experiment: only with two builds")
	case files == 0 && file == "":
		return sides, errors.New("--experiment: which file are the builds to play?")
	}
	for i, a := range args {
		path, build := a, ""
		if files == 0 {
			path, build = file, a
		}
		sides[i].name = a
		if sides[i].definition, err = experiment.Load(path); err != nil {
			return sides, err
		}
		if sides[i].backend, err = k.runner(build, errs); err != nil {
			return sides, err
		}
	}
	return sides, nil
}

// maxRunAttempts is the number of times that a run is played before it fails for lack of a verdict, because the load
// tool was late each time.
const maxRunAttempts = 3

// playSide plays one side's run of a pair and repeats it while it has no verdict, up to maxRunAttempts times in all.
func playSide(ctx context.Context, s compareSide, seed uint64, short bool, errs io.Writer) (*report.Report, error) {
	for n := 1; ; n++ {
		plan, err := s.definition.Plan(seed, short)
		if err != nil {
			return nil, err
		}
		r, err := plan.Run(ctx, s.backend, nil)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s: %w", s.name, err)
		case r.Verdict != report.NoVerdict:
			return r, nil
		case n == maxRunAttempts:
			return nil, fmt.Errorf("%s, seed %d: no verdict: %s", s.name, seed, r.Reason)
		}
		fmt.Fprintf(errs, "%s, seed %d: once more: %s\n", s.name, seed, r.Reason)
	}
}

// playPairs plays all pairs, in the alternating order A B, B A. The run of pair n,
// counted from 0, uses the seed of the side's experiment plus n.
func playPairs(
	ctx context.Context, sides [2]compareSide, pairs uint64, short bool, errs io.Writer,
) (all []compare.Pair, err error) {
	for n := range pairs {
		var got [2]*report.Report
		for turn := range 2 {
			i := (turn + int(n%2)) % 2
			s := sides[i]
			if got[i], err = playSide(ctx, s, s.definition.Seed+n, short, errs); err != nil {
				return nil, err
			}
		}
		all = append(all, compare.Pair{A: got[0], B: got[1]})
		worth := func(i int) float64 { return got[i].Phases[0].All.Worth }
		fmt.Fprintf(errs, "pair %d of %d: worth %.4f and %.4f\n", n+1, pairs, worth(0), worth(1))
	}
	return all, nil
}
