package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
)

// clockSlack is how far a process's wall clock may be from what it is to be: it is read a moment before it is recorded.
const clockSlack = 5 * time.Second

// checkClocks finds wall clocks that are not as wrong as the rig made them: a program that was not built for mutants
// has them right.
func checkClocks(a *Account, report reporter) {
	for _, l := range a.Lines {
		var wall int64
		if l.Kind != "wall" || !slices.Contains(a.Names, l.Node) || json.Unmarshal(l.Data, &wall) != nil {
			continue
		}
		wrong := time.Duration(wall-l.At) - a.WallOffset
		if due := a.clockError(l); (wrong - due).Abs() > clockSlack {
			report("rig", time.Duration(l.At), "the wall clock of %s was to be wrong by %v, and is by %v",
				l.Node, due, wrong.Round(time.Second))
		}
	}
}

// clockError is by how much the wall clock of a line's process is to be wrong.
func (a *Account) clockError(l record.Line) (by time.Duration) {
	for _, e := range a.Events {
		if e.What == eventClockWrong && e.Node == l.Node && e.At <= time.Duration(l.At) {
			by = e.Wrong
		}
	}
	return by
}

// checkStepsMet finds steps at which a process was to be met, and was not.
func checkStepsMet(a *Account, report reporter) {
	for _, e := range a.Events {
		if strings.HasPrefix(e.What, "not met ") {
			report("rig", e.At, "%s was %s", e.Node, e.What)
		}
	}
}

// ForMutants reports whether a script can be played with programs alone that were built for mutants.
func ForMutants(s *fault.Script) bool {
	return slices.ContainsFunc(s.Faults, func(f fault.Fault) bool {
		return f.Kind == "fleet-clock" || strings.Contains(f.Kind, "-at-")
	})
}
