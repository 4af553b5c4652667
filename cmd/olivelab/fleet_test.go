package main

import (
	"strings"
	"testing"
)

// Guards the validation of flags: a call that cannot be played exits with one line of error and starts no process.
func TestFleetRejectsBadFlags(t *testing.T) {
	for args, want := range map[string]string{
		"":                             "fleet of what? see --help",
		"members --nodes 0":            "--nodes 0: not from 1 to 83",
		"members --nodes 3":            "3 nodes: at least 4 are wanted",
		"members --for 5s":             "5s: at least 25s are wanted",
		"members --for 1h":             "--for 1h0m0s: not from 1s to 10m",
		"members --seeds 5":            `--seeds "5": not a range such as 1..100`,
		"members --seeds 5..2":         `--seeds "5..2": not a range`,
		"members --at-once 0":          "--at-once 0: not from 1 to 64",
		"members --case none":          `--case: no case "none"; there are [splits `,
		"members --script a --case b":  "--case: not with --script",
		"members --script no/where":    "no/where: no such file or directory",
		"members --mutant none":        `--mutant "none": there are dead-kept`,
		"members --plant none":         `--mutant "none": there are dead-kept`, // --plant is the earlier name of --mutant
		"members --plant a --mutant a": "if any flags in the group [mutant plant] are set none of the others can be",
		"members --node no/where":      "--node: no/where: no such file or directory",
		"budget --nodes 1":             "1 nodes and 30s: at least 2 and 20s are wanted",
	} {
		code, _, errs := runTool(t, append([]string{"fleet"}, strings.Fields(args)...)...)
		if code != exitUsage || !strings.HasPrefix(errs, "olivelab: "+want) {
			t.Errorf("fleet %s: exit %d with unexpected stderr %s", args, code, errs)
		}
	}
	for _, name := range []string{"members", "budget", "in-use", "count", "retries"} {
		if code, out, _ := runTool(t, "fleet", name, "--case", "list"); code != exitOK ||
			strings.Count(out, "processes, ") < 6 {
			t.Errorf("list of hard cases of %s: exit %d, fewer than 6 cases or a failure: %s", name, code, out)
		}
	}
}
