//go:build !mutant && !plant

package mutant

import "time"

// Active reports whether the named fault is enabled in this process. Without the build tags it returns false.
func Active(string) bool { return false }

// Breakpoint lets a test pause this process at the named step. Without the build tags it does nothing.
func Breakpoint(string) {}

// WallClock returns the time of the wall clock, to which a test may add an error. Without the build tags it adds none.
func WallClock() time.Time { return time.Now() }
