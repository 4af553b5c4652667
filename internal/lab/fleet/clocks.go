package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"olivebridge/internal/fleet/record"
	"olivebridge/internal/lab/fault"
)

// clockSlack is the tolerance for a process's wall clock, since the clock is read shortly before it is recorded.
const clockSlack = 5 * time.Second

// checkClocks reports wall clocks whose error is not the one that the rig set. A program that was not built for mutants
// always has the correct time.
func checkClocks(a *Account, report reporter) {
	for _, l := range a.Lines {
		var wall int64
		if l.Kind != "wall" || !slices.Contains(a.Names, l.Node) || json.Unmarshal(l.Data, &wall) != nil {
			continue
		}
		wrong := time.Duration(wall-l.At) - a.WallOffset
		if due := a.clockError(l); (wrong - due).Abs() > clockSlack {
			report("rig", time.Duration(l.At), "the wall clock of %s should be wrong by %v, but is wrong by %v",
				l.Node, due, wrong.Round(time.Second))
		}
	}
}

// clockError returns the error that the rig set for the wall clock of a line's process.
func (a *Account) clockError(l record.Line) (by time.Duration) {
	for _, e := range a.Events {
		if e.What == eventClockWrong && e.Node == l.Node && e.At <= time.Duration(l.At) {
			by = e.Wrong
		}
	}
	return by
}

// checkStepsMet reports steps at which a fault should have met a process but did not.
func checkStepsMet(a *Account, report reporter) {
	for _, e := range a.Events {
		if strings.HasPrefix(e.What, "not met ") {
			report("rig", e.At, "%s was %s", e.Node, e.What)
		}
	}
}

// ForMutants reports whether a script needs programs that were built for mutants.
func ForMutants(s *fault.Script) bool {
	return slices.ContainsFunc(s.Faults, func(f fault.Fault) bool {
		return f.Kind == "fleet-clock" || strings.Contains(f.Kind, "-at-")
	})
}
