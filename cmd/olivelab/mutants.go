package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
	"olivebridge/internal/lab/mutant"
)

// toolPackage is the path of this program's package, relative to the root of the source tree.
const toolPackage = "./cmd/olivelab"

func mutantsCommand(s campaign.Sources) *cobra.Command {
	var with workerFlags
	var seeds uint64
	var only, file string
	c := &cobra.Command{
		Use:     "mutants",
		Aliases: []string{"plants"}, // the earlier name
		Short:   "looks for mutants, to show that the lab can fail",
		Long: "Builds the program with one mutant after another, and plays seeds from 1 on until one breaks " +
			"a rule that is to show it, and does not without it. Run in the source tree, with go. " +
			"Exit 1 if one is not found.",
		Args: cobra.NoArgs,
	}
	with.addFlags(c)
	c.Flags().Uint64Var(&seeds, "seeds", 200, "how many seeds a mutant is looked for in")
	c.Flags().StringVar(&only, "only", "", "the `name` of the one mutant to look for")
	c.Flags().StringVar(&file, "json", "", "where the table goes as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if seeds == 0 {
			return errors.New("--seeds: at least 1")
		}
		if _, err := with.validate(s); err != nil {
			return err
		}
		some, err := selectMutants(s, only)
		if err != nil {
			return err
		}
		out, err := createOutput(file)
		if err != nil {
			return err
		}
		defer out.discard()
		finds, err := huntMutants(c, with, seeds, some)
		if err != nil {
			return err
		}
		if err := out.write(func(w io.Writer) error { return json.NewEncoder(w).Encode(finds) }); err != nil {
			return err
		}
		found := 0
		for _, f := range finds {
			if f.Rule != "" {
				found++
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "%d of %d mutants found\n", found, len(finds))
		if found < len(finds) {
			return errFailed
		}
		return nil
	}
	return c
}

// selectMutants returns the mutant named only, or all mutants if only is empty. It returns an error if any mutant names
// a rule that does not exist, because no run could detect that mutant.
func selectMutants(s campaign.Sources, only string) ([]mutant.Mutant, error) {
	all, err := mutant.All()
	if err != nil {
		return nil, err
	}
	for _, p := range all {
		for _, r := range p.Rules {
			if len(s.Rules) > 0 && !slices.Contains(s.Rules, r) {
				return nil, fmt.Errorf("mutant %s: there is no rule named %q", p.Name, r)
			}
		}
	}
	if only == "" {
		return all, nil
	}
	i := slices.IndexFunc(all, func(p mutant.Mutant) bool { return p.Name == only })
	if i < 0 {
		return nil, fmt.Errorf("--only: there is no mutant named %q", only)
	}
	return all[i : i+1], nil
}

// huntMutants builds and plays the mutants one after the other and prints a table row for each.
func huntMutants(c *cobra.Command, with workerFlags, seeds uint64, selected []mutant.Mutant) ([]campaign.HuntResult, error) {
	root, err := mutant.Root()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "olivelab-mutants")
	if err != nil {
		return nil, fmt.Errorf("creating the build directory: %w", err)
	}
	defer os.RemoveAll(dir)
	hunter := &campaign.Hunter{
		Root: root, Dir: dir, Tool: toolPackage, Seeds: seeds, Scenario: with.scenario,
		Pool: campaign.Pool{Workers: with.procs},
	}
	sound := &campaign.Pool{Workers: 1}
	var finds []campaign.HuntResult
	fmt.Fprintf(c.OutOrStdout(), tableFormat+"\n", "mutant", "rule", "seeds", "seconds", "expected; others met")
	for _, p := range selected {
		fmt.Fprintf(c.ErrOrStderr(), "building and playing: %s\n", p.Name)
		f, err := hunter.Hunt(c.Context(), p, sound)
		if err != nil {
			return nil, err
		}
		finds = append(finds, f)
		fmt.Fprintln(c.OutOrStdout(), formatFind(f))
		os.Remove(filepath.Join(dir, p.Name)) // built programs are large
	}
	return finds, nil
}

// tableFormat is the format of a table row: mutant, rule, seeds, seconds and notes.
const tableFormat = "%-34s %-14s %6s %8s  %s"

func formatFind(f campaign.HuntResult) string {
	rule, seeds := f.Rule, fmt.Sprint(f.Seed)
	if rule == "" {
		rule, seeds = "NOT FOUND", "-"
	}
	notes := strings.Join(f.Expected, ", ")
	if len(f.Others) > 0 {
		notes += "; " + strings.Join(f.Others, ", ")
	}
	return fmt.Sprintf(tableFormat, f.Name, rule, seeds, fmt.Sprintf("%.1f", f.RealTime.Seconds()), notes)
}
