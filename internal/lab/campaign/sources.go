// Package campaign plays many seeds in parallel worker processes. It also shrinks a failing
// script, counts overlapping faults, and hunts mutants.
//
// Runs are isolated in worker processes because a deadlocked synctest bubble, or a panic in a
// goroutine of a node, ends the whole process. A worker is the same program, started with an
// additional argument; a program that uses this package calls RunWorker for that argument.
package campaign

import (
	"io"
	"iter"
	"testing"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/stage"
)

// Player plays one script inside the worker's synctest bubble and writes its trace to w; w may be nil.
type Player func(t *testing.T, s *fault.Script, w io.Writer) stage.Result

// Draw returns the script of a seed.
type Draw func(seed uint64) *fault.Script

// Sources holds the functions with which a campaign draws, parses, plays and reduces scripts.
// Passing them in allows tests without a world, and use with another world.
type Sources struct {
	// Play plays a script. Logged returns a Player that also writes the nodes' logs to log.
	Play   Player
	Logged func(log io.Writer) Player
	// Watched plays a script and writes the samples of the run in place of a trace.
	Watched Player
	// Scenario loads a scenario file; an empty path is the built-in scenario.
	Scenario func(path string) (Draw, error)
	// Parse parses a script; its errors are one line with the file, the line and the reason.
	Parse func(name string, text []byte) (*fault.Script, error)
	// Write writes a script in the format that Parse reads.
	Write func(s *fault.Script, w io.Writer) error
	// Smaller yields reductions of a script, the largest reductions first.
	Smaller func(s *fault.Script) iter.Seq[*fault.Script]
	// Kinds returns the kinds of fault in a script, Pairs the pairs of kinds that overlap.
	Kinds func(s *fault.Script) []string
	Pairs func(s *fault.Script) [][2]string
	// AllKinds lists all kinds of fault, Rules the names of all rules.
	AllKinds []string
	Rules    []string
}
