// Command olivefleet runs one load-balancing node that belongs to a fleet. It is the same node as olivebridge, which
// executes this program if its environment names a fleet file.
package main

import (
	"fmt"
	"os"

	"olivebridge/internal/program"
	"olivebridge/internal/protocol"
)

func main() {
	if os.Getenv(protocol.EnvFleet) == "" {
		program.Fail(fmt.Errorf("variable %s is missing", protocol.EnvFleet))
	}
	program.Main(program.Options{NewFleet: newFleetNode})
}
