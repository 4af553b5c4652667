package fault

import (
	"maps"
	"slices"

	"olivebridge/internal/lab/figure"
)

// stay is a kind's time in a run.
type stay struct {
	kind     string
	from, to figure.Span
}

func (s *Script) stays() []stay {
	var all []stay
	for i := range s.Faults {
		f := &s.Faults[i]
		all = append(all, stay{f.Kind, f.At, f.until()})
	}
	for _, r := range s.World.Malformed {
		all = append(all, stay{Rogues, r.From, r.From + r.For})
	}
	return all
}

// Kinds lists the kinds of faults in the script, sorted.
func (s *Script) Kinds() []string {
	set := map[string]bool{}
	for _, f := range s.stays() {
		set[f.kind] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Pairs lists the pairs of two kinds that are there at one time, sorted, the
// lesser name first. One that is done in an instant counts as there for 3 s.
func (s *Script) Pairs() [][2]string {
	set := map[[2]string]bool{}
	all := s.stays()
	for i, a := range all {
		for _, b := range all[:i] {
			if a.kind != b.kind && a.from < b.to && b.from < a.to {
				set[[2]string{min(a.kind, b.kind), max(a.kind, b.kind)}] = true
			}
		}
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
}
