// Command drill is the simulator adapter: it hosts instances of the balancer on the simulator's wire, which has batches
// of events on standard input and one reply to each on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// gcPercent trades memory, of which the adapter uses little, for processor time, which the simulator counts.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
