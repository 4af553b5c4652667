package fault

import (
	"maps"
	"slices"

	"olivebridge/internal/lab/figure"
)

// activePeriod is a period of a run in which a fault of a kind counts as active.
type activePeriod struct {
	kind     string
	from, to figure.Span
}

func (s *Script) activePeriods() []activePeriod {
	var all []activePeriod
	for i := range s.Faults {
		f := &s.Faults[i]
		all = append(all, activePeriod{f.Kind, f.At, f.overlapEnd()})
	}
	for _, r := range s.World.Malformed {
		all = append(all, activePeriod{Rogues, r.From, r.From + r.For})
	}
	return all
}

// Kinds returns the kinds of faults in the script, sorted.
func (s *Script) Kinds() []string {
	set := map[string]bool{}
	for _, f := range s.activePeriods() {
		set[f.kind] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Pairs returns the pairs of different kinds that are active at the same time, sorted, the lesser name first. An
// instantaneous fault counts as active for 3 s.
func (s *Script) Pairs() [][2]string {
	set := map[[2]string]bool{}
	all := s.activePeriods()
	for i, a := range all {
		for _, b := range all[:i] {
			if a.kind != b.kind && a.from < b.to && b.from < a.to {
				set[[2]string{min(a.kind, b.kind), max(a.kind, b.kind)}] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
}
