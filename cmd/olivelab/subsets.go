package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/subsets"
)

// subsetsCommand returns the command that compares methods of choosing peers by calculation; it starts no processes.
func subsetsCommand() *cobra.Command {
	var c subsets.Case
	var jsonTo, htmlTo string
	cmd := &cobra.Command{
		Use:   "subsets",
		Short: "compares ways in which nodes choose the peers that they work with",
		Long: "Gives each of some nodes its peers in every way that is known here, and says how evenly the work of nodes that " +
			"send equally much falls, what moves when a node or peer comes or goes, and at how many peers a key is served.",
		Args: cobra.NoArgs,
	}
	cmd.Flags().IntVar(&c.Nodes, "nodes", 20, "how many nodes")
	cmd.Flags().IntVar(&c.Peers, "peers", 200, "how many peers")
	cmd.Flags().IntVar(&c.Copies, "copies", 8, "how many nodes work with each peer")
	cmd.Flags().Float64Var(&c.Spread, "spread", 1, "the greatest weight of a peer; the least is 1")
	cmd.Flags().StringVar(&jsonTo, "json", "", "where the figures go")
	cmd.Flags().StringVar(&htmlTo, "html", "", "where a page with a picture of each way goes")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		switch {
		case c.Nodes < 2 || c.Nodes > 1000:
			return fmt.Errorf("--nodes %d: not from 2 to 1000", c.Nodes)
		case c.Peers < 2 || c.Peers > 5000:
			return fmt.Errorf("--peers %d: not from 2 to 5000", c.Peers)
		case c.Copies < 1 || c.Copies > c.Nodes:
			return fmt.Errorf("--copies %d: not from 1 to the %d nodes", c.Copies, c.Nodes)
		case !(c.Spread >= 1 && c.Spread <= 1000):
			return errors.New("--spread: not from 1 to 1000")
		}
		jsonFile, err := createOutput(jsonTo)
		if err != nil {
			return err
		}
		defer jsonFile.discard()
		htmlFile, err := createOutput(htmlTo)
		if err != nil {
			return err
		}
		defer htmlFile.discard()
		rows := subsets.Compare(c)
		if err := jsonFile.write(func(w io.Writer) error { return json.NewEncoder(w).Encode(rows) }); err != nil {
			return err
		}
		if err := htmlFile.write(func(w io.Writer) error { return subsets.WriteHTML(w, c, rows) }); err != nil {
			return err
		}
		return subsets.WriteTable(cmd.OutOrStdout(), c, rows)
	}
	return cmd
}
