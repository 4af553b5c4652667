// Command olivefleet is one load-balancing node that belongs to a fleet: the same node as olivebridge, which becomes
// this program where its environment names a fleet file.
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
