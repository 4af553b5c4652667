package main

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
)

func replayCommand(s campaign.Sources) *cobra.Command {
	var what scriptFlags
	var log bool
	var procs int
	c := &cobra.Command{
		Use:   "replay SEED | --script FILE",
		Short: "plays one run and writes its trace",
		Long: "Plays one run and writes its trace, one line an event; the last line is `trace sha256 HEX`, the same " +
			"each time. Broken rules go to standard error, one line each. Exit 1 if there are any.",
		Args: cobra.MaximumNArgs(1),
	}
	what.addFlags(c)
	c.Flags().BoolVar(&log, "log", false, "the nodes' logs go to standard error")
	c.Flags().IntVar(&procs, "procs", 0, "GOMAXPROCS of the run; 0: as the environment has it, else 1")
	c.RunE = func(c *cobra.Command, args []string) error {
		if procs < 0 {
			return fmt.Errorf("--procs %d: below 0", procs)
		}
		script, err := what.read(s, args)
		if err != nil {
			return err
		}
		j, err := newJob(s, script)
		if err != nil {
			return err
		}
		j.Trace, j.Log = true, log
		trace := bufio.NewWriterSize(c.OutOrStdout(), 1<<16)
		pool := &campaign.Pool{Workers: 1, Cores: procs, Trace: trace}
		if log {
			pool.Log = c.ErrOrStderr()
		}
		o, err := pool.One(c.Context(), j)
		if err != nil {
			return err
		}
		if o.Result.Hash != "" { // a run whose worker crashed has no hash
			fmt.Fprintf(trace, "trace sha256 %s\n", o.Result.Hash)
		}
		if err := trace.Flush(); err != nil {
			return fmt.Errorf("writing the trace: %w", err)
		}
		if o.Output != "" && !log {
			fmt.Fprintln(c.ErrOrStderr(), strings.TrimSpace(o.Output))
		}
		for _, v := range o.Result.Violations {
			fmt.Fprintln(c.ErrOrStderr(), v)
		}
		if o.Failed() {
			return errFailed
		}
		return nil
	}
	return c
}
