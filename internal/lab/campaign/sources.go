// Package campaign plays many seeds in many processes, and does what takes many runs: it
// shrinks a script that fails, counts which faults met, and hunts for mutants.
//
// Runs happen in worker processes, since a bubble that deadlocks, or a panic in a goroutine
// of a node, ends the process that it is in. A worker is the same program, started with one
// more argument: whoever uses this package calls Work there.
package campaign

import (
	"io"
	"iter"
	"testing"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/stage"
)

// Player plays one script inside a bubble that the worker has made, and writes its trace to w (nil: none).
type Player func(t *testing.T, s *fault.Script, w io.Writer) stage.Result

// Draw makes the script of a seed.
type Draw func(seed uint64) *fault.Script

// Sources are what a campaign needs of scripts and runs. They stand here alone, so that
// the package can be tested without a world, and used with another.
type Sources struct {
	// Play plays a script. Logged is the same with the nodes' logs written to log.
	Play   Player
	Logged func(log io.Writer) Player
	// Watched plays a script and tells to how it goes, in the place of a trace.
	Watched Player
	// Scenario reads the file that seeds draw from; "" is the one that is built in.
	Scenario func(path string) (Draw, error)
	// Parse reads a script; its errors name the file, the line and the reason, in one line.
	Parse func(name string, text []byte) (*fault.Script, error)
	// Write writes a script as Parse reads it.
	Write func(s *fault.Script, w io.Writer) error
	// Smaller gives scripts each with something taken away, the largest cuts first.
	Smaller func(s *fault.Script) iter.Seq[*fault.Script]
	// Kinds and Pairs are the kinds of fault in a script, and which of them overlap.
	Kinds func(s *fault.Script) []string
	Pairs func(s *fault.Script) [][2]string
	// AllKinds are the kinds that there are, Rules the names of the rules.
	AllKinds []string
	Rules    []string
}
