// Command olivebridge is one load-balancing node on real sockets.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"olivebridge/internal/program"
	"olivebridge/internal/protocol"
)

// fleetProgram is the node that belongs to a fleet. It is a program of its own, since the libraries that this takes
// cost every process that links them more memory than the platform's node can spare.
const fleetProgram = "olivefleet"

func main() {
	if os.Getenv(protocol.EnvFleet) != "" {
		program.Fail(execProgram(fleetProgram))
	}
	program.Main(program.Options{})
}

// execProgram replaces this process by another program of the same folder. It returns only if it cannot.
func execProgram(name string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("variable %s: finding %s: %w", protocol.EnvFleet, name, err)
	}
	path := filepath.Join(filepath.Dir(self), name)
	if err := syscall.Exec(path, os.Args, os.Environ()); err != nil {
		return fmt.Errorf("variable %s is set, and %s cannot be started: %w", protocol.EnvFleet, path, err)
	}
	return nil
}
