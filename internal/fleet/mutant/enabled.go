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
	// envFaults is the environment variable with the names of the enabled faults, separated by commas.
	envFaults = "OLIVEFLEET_PLANT"
	// envClockError is the environment variable with the duration that WallClock adds to the time.
	envClockError = "OLIVEFLEET_WALL"
	// envDirectory is the environment variable with the directory of the breakpoint files.
	envDirectory = "TMPDIR"

	// breakpointTimeout is the longest pause at a breakpoint.
	breakpointTimeout = 10 * time.Second
	// breakpointPoll is the interval at which a process that is paused at a breakpoint checks for the file's removal.
	breakpointPoll = time.Millisecond
)

// Active reports whether the named fault is enabled in this process.
func Active(name string) bool {
	return slices.Contains(strings.Split(os.Getenv(envFaults), ","), name)
}

// WallClock returns the time of the wall clock plus the duration in the variable envClockError, if that is valid.
func WallClock() time.Time {
	clockError, err := time.ParseDuration(os.Getenv(envClockError))
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(clockError)
}

// Breakpoint lets a test pause this process at the named step. The test creates the file arm-STEP. The first process
// that reaches the step renames the file to at-STEP, and waits until the test removes it or breakpointTimeout expires.
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
