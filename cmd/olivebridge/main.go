// Command olivebridge runs one load-balancing node on the sockets of the host.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"olivebridge/internal/program"
	"olivebridge/internal/protocol"
)

// fleetProgram is the executable of a node that is a fleet member. It is a separate program because every process that
// links the fleet's libraries uses more memory than a node outside a fleet can spare.
const fleetProgram = "olivefleet"

func main() {
	if os.Getenv(protocol.EnvFleet) != "" {
		program.Fail(execProgram(fleetProgram))
	}
	program.Main(program.Options{})
}

// execProgram replaces this process by the named program in the directory of this executable. It returns only on
// failure.
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
