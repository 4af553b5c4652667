package report

import "slices"

// FigureKind is a figure that may be asserted, or compared.
type FigureKind struct {
	Name    string
	Unit    string // of times; empty: a share, or a number
	Time    bool   // bounds are lengths of time
	OfClass bool   // it is known of each class
	More    bool   // more of it is better
	of      func(f *Figures) (float64, bool)
}

// FigureKinds are all there are, in the order in which they are shown.
func FigureKinds() []FigureKind {
	share := func(name string, n func(*Figures) int) FigureKind {
		return FigureKind{Name: name, OfClass: true, of: func(f *Figures) (float64, bool) {
			return f.Share(n(f)), f.Asked > f.Left
		}}
	}
	latency := func(name string, v func(*Figures) float64) FigureKind {
		return FigureKind{Name: name, Unit: "ms", Time: true, OfClass: true, of: func(f *Figures) (float64, bool) {
			return v(f), v(f) > 0
		}}
	}
	optional := func(v *float64) (float64, bool) {
		if v == nil {
			return 0, false
		}
		return *v, true
	}
	worth := FigureKind{Name: "worth", OfClass: true, More: true, of: func(f *Figures) (float64, bool) {
		return f.Worth, f.Asked > f.Left
	}}
	served := share("served", func(f *Figures) int { return f.Served })
	served.More = true
	return []FigureKind{
		worth, served,
		share("late", func(f *Figures) int { return f.Late }),
		share("refused", func(f *Figures) int { return f.Refused }),
		share("failed", func(f *Figures) int { return f.Failed }),
		share("unanswered", func(f *Figures) int { return f.Unanswered }),
		latency("p50", func(f *Figures) float64 { return f.P50 }),
		latency("p90", func(f *Figures) float64 { return f.P90 }),
		latency("p99", func(f *Figures) float64 { return f.P99 }),
		latency("p999", func(f *Figures) float64 { return f.P999 }),
		{Name: "tries", of: func(f *Figures) (float64, bool) { return optional(f.Tries) }},
		{Name: "cpu", Unit: "ms", Time: true, of: func(f *Figures) (float64, bool) { return optional(f.CPU) }},
	}
}

// FigureNamed is the one of a name.
func FigureNamed(name string) (FigureKind, bool) {
	all := FigureKinds()
	i := slices.IndexFunc(all, func(k FigureKind) bool { return k.Name == name })
	if i < 0 {
		return FigureKind{}, false
	}
	return all[i], true
}

// Figure is a figure of a phase, for a class or, if that is empty, for all; it
// reports false where there is none.
func (r *Report) Figure(what, phase, class string) (float64, bool) {
	k, ok := FigureNamed(what)
	if !ok {
		return 0, false
	}
	for i := range r.Phases {
		p := &r.Phases[i]
		if p.Name != phase {
			continue
		}
		if class == "" {
			return k.of(&p.All)
		}
		for j := range p.Classes {
			if p.Classes[j].Class == class {
				return k.of(&p.Classes[j])
			}
		}
	}
	return 0, false
}
