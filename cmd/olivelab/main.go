// Command olivelab plays nodes against a modelled world on a virtual clock, under faults
// drawn from seeds; docs/LAB.md is for whoever uses it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"olivebridge/internal/lab/campaign"
)

// How the program ends: scripts rely on it.
const (
	exitOK     = 0
	exitFailed = 1 // a rule was broken, a mutant not found, or a count has risen
	exitUsage  = 2 // the call, a file or the machine was at fault, and what was asked for was not done
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr, sources())
	stop()
	os.Exit(code)
}

// errFailed ends a command whose runs failed: it has told all there is to tell.
var errFailed = errors.New("failed")

// run is one call of the program; it returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer, s campaign.Sources) int {
	root := &cobra.Command{
		Use:               "olivelab",
		Short:             "plays nodes under faults drawn from seeds, on a virtual clock",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Args:              cobra.NoArgs,
	}
	root.RunE = func(*cobra.Command, []string) error { return errors.New("which command? see --help") }
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(seedsCommand(s), replayCommand(s), shrinkCommand(s), faultsCommand(s), mutantsCommand(s), upCommand(),
		pathCommand(), pathProxyCommand(), runCommand(), compareCommand(), fleetCommand(), workerCommand(s))
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.Is(err, context.Canceled):
		err = errors.New("interrupted")
	}
	line, _, _ := strings.Cut(err.Error(), "\n") // one line, whatever a library says
	fmt.Fprintln(errs, "olivelab: "+line)
	return exitUsage
}

// workerCommand is how campaigns start this program to play runs.
func workerCommand(s campaign.Sources) *cobra.Command {
	return &cobra.Command{
		Use: "worker", Hidden: true, Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { campaign.RunWorker(s) },
	}
}
