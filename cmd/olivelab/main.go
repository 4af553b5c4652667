// Command olivelab runs nodes against a simulated environment on a virtual clock, under faults drawn from seeds.
// docs/LAB.md is its user guide.
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

// Exit codes. Scripts rely on them.
const (
	exitOK     = 0
	exitFailed = 1 // a broken rule, a failed assertion, a mutant not found, or a count beyond its tolerance
	exitUsage  = 2 // bad arguments, a bad file or a system error kept the command from completing
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr, sources())
	stop()
	os.Exit(code)
}

// errFailed makes the program exit with exitFailed and print no error, because the command has already printed its
// findings.
var errFailed = errors.New("failed")

// run executes the command line in args and returns the exit code.
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
	line, _, _ := strings.Cut(err.Error(), "\n") // errors of libraries may have several lines
	fmt.Fprintln(errs, "olivelab: "+line)
	return exitUsage
}

// workerCommand returns the hidden command with which campaigns start this program as a worker process.
func workerCommand(s campaign.Sources) *cobra.Command {
	return &cobra.Command{
		Use: "worker", Hidden: true, Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { campaign.RunWorker(s) },
	}
}
