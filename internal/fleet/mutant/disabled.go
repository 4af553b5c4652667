//go:build !mutant && !plant

package mutant

import "time"

// Active reports whether this process has the fault of a name.
func Active(string) bool { return false }

// Breakpoint lets a test stop this process at a step.
func Breakpoint(string) {}

// WallClock is the wall clock as this process has it.
func WallClock() time.Time { return time.Now() }
