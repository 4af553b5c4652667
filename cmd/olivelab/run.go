package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/experiment"
	"olivebridge/internal/lab/live"
	"olivebridge/internal/lab/report"
)

// clockFlags holds the flags that select the virtual clock or loopback sockets for experiments.
type clockFlags struct {
	virtual bool
	node    string // path of the nodes' program, on sockets; empty: built from the source tree
}

func (k *clockFlags) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&k.virtual, "virtual", false,
		"play on the virtual clock: fast, and the same each time; else on loopback sockets, in real time")
}

// runner returns the runner that plays experiments. The path in build is that of an olivelab program on the virtual
// clock, and of a node's program on sockets. If build is empty, the virtual clock runs in this program, and sockets use
// the program from --node, or else one built from the source tree.
func (k *clockFlags) runner(build string, errs io.Writer) (experiment.Runner, error) {
	switch {
	case k.virtual && k.node != "":
		return nil, errors.New("--node: not with --virtual, where nodes run inside of olivelab")
	case k.virtual && build != "":
		return experiment.Virtual{Command: []string{build, "worker"}}, nil
	case k.virtual:
		return experiment.Virtual{}, nil
	}
	if build = cmp.Or(build, k.node); build != "" {
		if err := live.CheckProgram(build); err != nil {
			return nil, shortPathError(err)
		}
		path, err := filepath.Abs(build)
		return experiment.SocketRunner{Node: path, Log: errs}, err
	}
	return experiment.SocketRunner{Log: errs}, nil
}

// runCommand returns the command that plays one experiment.
func runCommand() *cobra.Command {
	var on clockFlags
	var files struct{ json, html, svg string }
	var seed uint64
	var short bool
	c := &cobra.Command{
		Use:   "run FILE.toml",
		Short: "plays an experiment and reports on it",
		Long: "Plays an experiment: a world under a stated rate of requests, faults, and assertions. The report goes to " +
			"standard output, the progress to standard error. Exit 1 if an assertion fails or a rule is broken, 2 if the " +
			"file is bad, or if the load tool ran too late for a verdict.",
		Args: cobra.ExactArgs(1),
	}
	on.addFlags(c)
	c.Flags().StringVar(&on.node, "node", "", "the nodes' `program`, on sockets; \"\": built from the source tree")
	c.Flags().StringVar(&files.json, "json", "", "where the report goes as JSON")
	c.Flags().StringVar(&files.html, "html", "", "where it goes as one page with pictures")
	c.Flags().StringVar(&files.svg, "svg", "", "where its picture goes")
	c.Flags().Uint64Var(&seed, "seed", 0, "the seed; 0: the one that the file states")
	c.Flags().BoolVar(&short, "short", false, "the short form")
	c.RunE = func(c *cobra.Command, args []string) error {
		plan, err := loadPlan(args[0], seed, short)
		if err != nil {
			return err
		}
		with, err := on.runner("", c.ErrOrStderr())
		if err != nil {
			return err
		}
		var sinks []*outputFile
		for _, path := range []string{files.json, files.html, files.svg} {
			s, err := createOutput(path)
			if err != nil {
				return err
			}
			defer s.discard()
			sinks = append(sinks, s)
		}
		r, err := plan.Run(c.Context(), with, progressPrinter(c.ErrOrStderr()))
		if err != nil {
			return err
		}
		for i, write := range []func(io.Writer) error{r.WriteJSON, r.WriteHTML, r.WriteSVG} {
			if err := sinks[i].write(write); err != nil {
				return err
			}
		}
		if err := r.WriteText(c.OutOrStdout()); err != nil {
			return err
		}
		switch r.Verdict {
		case report.Failed:
			return errFailed
		case report.NoVerdict:
			return errors.New("no verdict: " + r.Reason)
		}
		return nil
	}
	return c
}

// loadPlan reads the experiment file at path and returns its plan. Seed 0 stands for the seed in the file.
func loadPlan(path string, seed uint64, short bool) (*experiment.Plan, error) {
	e, err := experiment.Load(path)
	if err != nil {
		return nil, err
	}
	if seed == 0 {
		seed = e.Seed
	}
	return e.Plan(seed, short)
}

// progressPrinter returns a callback that prints the progress of a run, at most once per progressInterval of real time.
func progressPrinter(w io.Writer) func(experiment.Progress) {
	lastPrinted := time.Now()
	return func(p experiment.Progress) {
		if time.Since(lastPrinted) >= progressInterval {
			lastPrinted = time.Now()
			fmt.Fprintf(w, "%.0f of %.0f seconds, %d asked, worth %.3f\n", p.At, p.Length, p.Asked, p.Worth)
		}
	}
}
