//go:build !mutant && !plant

// Package mutant tells of which mutants a process is one: programs with a fault that was put there on purpose, so that the rig
// can prove that it finds it. Programs in service are none, and know of none.
package mutant

import "time"

// Active reports whether this process is the mutant of a name.
func Active(string) bool { return false }

// At is a step of the program's at which the rig may want to be.
func At(string) {}

// WallClock is the wall clock as this process has it.
func WallClock() time.Time { return time.Now() }
