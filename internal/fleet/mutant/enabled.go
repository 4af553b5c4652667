//go:build mutant || plant

package mutant

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// envFaults names the faults of this process, separated by commas.
	envFaults = "OLIVEFLEET_PLANT"
	// envClockError is by how much the wall clock of this process is wrong.
	envClockError = "OLIVEFLEET_WALL"
	// envDirectory is the directory in which a test sets breakpoints.
	envDirectory = "TMPDIR"

	// breakpointTimeout is for how long a process waits at a breakpoint.
	breakpointTimeout = 10 * time.Second
	// breakpointPoll is how often it looks whether it may go on.
	breakpointPoll = time.Millisecond
)

// Active reports whether this process has the fault of a name.
func Active(name string) bool {
	return slices.Contains(strings.Split(os.Getenv(envFaults), ","), name)
}

// WallClock is the wall clock as this process has it: wrong by what envClockError says.
func WallClock() time.Time {
	clockError, err := time.ParseDuration(os.Getenv(envClockError))
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(clockError)
}

// Breakpoint lets a test stop this process at a step. The test sets it by the file arm-STEP, which the first process
// that comes there renames to at-STEP; that waits until the test has removed the file.
func Breakpoint(step string) {
	directory := os.Getenv(envDirectory)
	reached := filepath.Join(directory, "at-"+step)
	if directory == "" || os.Rename(filepath.Join(directory, "arm-"+step), reached) != nil {
		return
	}
	for end := time.Now().Add(breakpointTimeout); time.Now().Before(end); time.Sleep(breakpointPoll) {
		if _, err := os.Stat(reached); err != nil {
			return
		}
	}
}
