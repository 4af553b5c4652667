// Command drill is the simulator adapter: it hosts instances of the balancer for the simulator. It reads batches of
// events from standard input and writes one reply to each batch to standard output, in the protocol of package wire.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// gcPercent is above the default of 100 to save processor time, which the simulator counts, at the cost of memory, of
// which the adapter uses little.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
