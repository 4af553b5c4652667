// Command rig runs the cases of the review. Each case starts stand-ins (servers, discovery) and nodes as separate
// processes on loopback addresses, sends requests, writes a record of what was sent, answered and run, and judges it.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE | server NAME ADDR | discovery ADDR")
		os.Exit(exitFailed)
	}
	switch os.Args[1] {
	case "server":
		runServer(os.Args[2], os.Args[3])
	case "discovery":
		runDiscovery(os.Args[2])
	default:
		run, known := cases[os.Args[1]]
		if !known {
			fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
			os.Exit(exitFailed)
		}
		os.Exit(runCase(run))
	}
}

// cases has each case by its name. Each file of a case adds its own.
var cases = map[string]func(*caseRun) (broken bool, err error){}
