package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
)

func shrinkCommand(s campaign.Sources) *cobra.Command {
	var what scriptFlags
	var file, rule string
	var procs int
	c := &cobra.Command{
		Use:   "shrink SEED | --script FILE",
		Short: "makes the smallest script that still fails",
		Long: "Takes faults, clients, peers, nodes and time away as long as the same rule is still broken, and " +
			"writes the smallest script. The outcome does not hang on the number of workers.",
		Args: cobra.MaximumNArgs(1),
	}
	what.addFlags(c)
	c.Flags().StringVar(&file, "out", "", "where the script goes; by default to standard output")
	c.Flags().StringVar(&rule, "rule", "", "the rule that must stay broken; by default the first that is")
	c.Flags().IntVar(&procs, "procs", 0, "worker processes; 0: one a core")
	c.RunE = func(c *cobra.Command, args []string) error {
		if procs < 0 {
			return fmt.Errorf("--procs %d: below 0", procs)
		}
		if rule != "" && len(s.Rules) > 0 && !slices.Contains(s.Rules, rule) {
			return fmt.Errorf("--rule: there is none named %q", rule)
		}
		script, err := what.read(s, args)
		if err != nil {
			return err
		}
		out, err := createOutput(file)
		if err != nil {
			return err
		}
		defer out.discard()
		lastPrinted := time.Now()
		shrinker := campaign.Shrinker{Sources: s, Rule: rule, Pool: &campaign.Pool{Workers: procs}}
		shrinker.OnStep = func(n campaign.Step) {
			if time.Since(lastPrinted) >= progressInterval {
				lastPrinted = time.Now()
				fmt.Fprintln(c.ErrOrStderr(), stepLine(n))
			}
		}
		found, failed := shrinker.Shrink(c.Context(), script)
		if found == nil {
			return failed
		}
		fmt.Fprintln(c.ErrOrStderr(), stepLine(found.Steps))
		fill := func(w io.Writer) error {
			fmt.Fprintf(w, "# seed %d, shrunk by %d cuts: %s\n", script.Seed, found.Steps.Accepted, found.First)
			return s.Write(found.Script, w)
		}
		if file == "" {
			err = fill(c.OutOrStdout())
		} else {
			err = out.write(fill)
		}
		if err != nil {
			return err
		}
		return failed // if shrinking was interrupted, the smallest script so far has been written above
	}
	return c
}

// stepLine formats the progress of shrinking as one line.
func stepLine(n campaign.Step) string {
	w := &n.Script.World
	return fmt.Sprintf("%s: %d runs, %d cuts; left: %v, %d faults, %d nodes, %d peers, %d clients, %d rogues",
		n.Rule, n.Runs, n.Accepted, n.Script.Length.D(), len(n.Script.Faults), len(w.Nodes), len(w.Peers),
		len(w.Clients), len(w.Malformed))
}
