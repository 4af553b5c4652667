package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
)

// progressInterval is the minimum interval of real time between two progress lines.
const progressInterval = 2 * time.Second

func seedsCommand(s campaign.Sources) *cobra.Command {
	var seeds seedRange
	var with workerFlags
	var file string
	c := &cobra.Command{
		Use:   "seeds --from N --count M",
		Short: "plays a range of seeds",
		Long: "Plays a range of seeds. Each that breaks a rule leaves a line on standard output; the last line " +
			"is `M passed, K failed`. Exit 1 if any failed.",
		Args: cobra.NoArgs,
	}
	seeds.addFlags(c)
	with.addFlags(c)
	c.Flags().StringVar(&file, "json", "", "where all results go, with totals")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := seeds.validate(); err != nil {
			return err
		}
		if _, err := with.validate(s); err != nil {
			return err
		}
		sink, err := createOutput(file)
		if err != nil {
			return err
		}
		defer sink.discard()
		report := campaign.NewReport()
		pool := &campaign.Pool{Workers: with.procs}
		lastPrinted := time.Now()
		jobs := campaign.Seeds(seeds.from, seeds.count, with.scenario)
		err = pool.Run(c.Context(), jobs, func(o campaign.Outcome) bool {
			report.Add(o)
			if o.Failed() {
				fmt.Fprintln(c.OutOrStdout(), campaign.FailureLine(&o, with.replayCommand(o.Job.Seed)))
			}
			if time.Since(lastPrinted) >= progressInterval || uint64(report.Seeds) == seeds.count {
				lastPrinted = time.Now()
				fmt.Fprintln(c.ErrOrStderr(), report.Progress(seeds.count))
			}
			return true
		})
		if err != nil {
			return err
		}
		if err := sink.write(report.WriteJSON); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d passed, %d failed\n", report.Passed, report.Failed)
		if report.Failed > 0 {
			return errFailed
		}
		return nil
	}
	return c
}
