package main

import (
	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
)

func faultsCommand(s campaign.Sources) *cobra.Command {
	var seeds seedRange
	var scenario string
	c := &cobra.Command{
		Use:   "faults --from N --count M",
		Short: "shows which faults the seeds of a range combine",
		Long: "Draws the scripts of a range of seeds, plays none, and shows in how many of them each two kinds " +
			"of fault were at work at one time; below stands what was never met.",
		Args: cobra.NoArgs,
	}
	seeds.addFlags(c)
	scenarioFlag(c, &scenario)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := seeds.validate(); err != nil {
			return err
		}
		draw, err := s.Scenario(scenario)
		if err != nil {
			return err
		}
		var table campaign.FaultTable
		for i := range seeds.count {
			if err := c.Context().Err(); err != nil {
				return err
			}
			script := draw(seeds.from + i)
			table.Add(s.Kinds(script), s.Pairs(script))
		}
		return table.Write(c.OutOrStdout(), s.AllKinds)
	}
	return c
}
