//go:build mutant || plant

// Package mutant tells of which mutants a process is one, so that the rig can prove that it finds them.
package mutant

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Active reports whether this process is the mutant of a name.
func Active(name string) bool {
	return slices.Contains(strings.Split(os.Getenv("OLIVEFLEET_PLANT"), ","), name)
}

// WallClock is the wall clock as this process has it: wrong by what OLIVEFLEET_WALL says.
func WallClock() time.Time {
	wrong, err := time.ParseDuration(os.Getenv("OLIVEFLEET_WALL"))
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(wrong)
}

// waits is for how long a process waits at a step for the rig.
const waits = 10 * time.Second

// At is a step of the program's at which the rig may want to be: it has put a file there that says so, and lets the first
// that comes wait until it has done what it wants.
func At(step string) {
	dir := os.Getenv("TMPDIR")
	at := filepath.Join(dir, "at-"+step)
	if dir == "" || os.Rename(filepath.Join(dir, "arm-"+step), at) != nil {
		return
	}
	for end := time.Now().Add(waits); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(at); err != nil {
			return
		}
	}
}
