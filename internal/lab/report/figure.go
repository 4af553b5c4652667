package report

import "slices"

// FigureKind is a kind of figure that experiments can assert and comparisons can compare.
type FigureKind struct {
	Name         string
	Unit         string                           // empty for shares and plain numbers
	IsDuration   bool                             // the bounds of an assertion are durations
	PerScope     bool                             // it is measured per class and tenant, not only over all requests
	MoreIsBetter bool                             // a higher value is better
	value        func(f *Figures) (float64, bool) // reports false if it was not measured
}

// FigureKinds returns all kinds of figures in the order in which they are displayed.
func FigureKinds() []FigureKind {
	share := func(name string, n func(*Figures) int) FigureKind {
		return FigureKind{Name: name, PerScope: true, value: func(f *Figures) (float64, bool) {
			return f.Share(n(f)), f.Asked > f.Left
		}}
	}
	latency := func(name string, v func(*Figures) float64) FigureKind {
		return FigureKind{Name: name, Unit: "ms", IsDuration: true, PerScope: true, value: func(f *Figures) (float64, bool) {
			return v(f), v(f) > 0
		}}
	}
	optional := func(v *float64) (float64, bool) {
		if v == nil {
			return 0, false
		}
		return *v, true
	}
	worth := FigureKind{Name: "worth", PerScope: true, MoreIsBetter: true, value: func(f *Figures) (float64, bool) {
		return f.Worth, f.Asked > f.Left
	}}
	served := share("served", func(f *Figures) int { return f.Served })
	served.MoreIsBetter = true
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
		{Name: "tries", value: func(f *Figures) (float64, bool) { return optional(f.Tries) }},
		{Name: "cpu", Unit: "ms", IsDuration: true, value: func(f *Figures) (float64, bool) { return optional(f.CPU) }},
		{Name: "resident", Unit: "MB", value: func(f *Figures) (float64, bool) { return optional(f.Resident) }},
		{Name: "growth", value: func(f *Figures) (float64, bool) { return optional(f.Growth) }},
	}
}

// FindFigureKind returns the kind of figure with the given name and whether there is one.
func FindFigureKind(name string) (FigureKind, bool) {
	all := FigureKinds()
	i := slices.IndexFunc(all, func(k FigureKind) bool { return k.Name == name })
	if i < 0 {
		return FigureKind{}, false
	}
	return all[i], true
}

// Scope selects the requests that a figure covers: those of a class, those of a tenant or, if both are empty, all.
type Scope struct{ Class, Tenant string }

// Figure returns the figure with the given name of a phase and a scope. It reports false if there is none.
func (r *Report) Figure(name, phase string, of Scope) (float64, bool) {
	k, ok := FindFigureKind(name)
	if !ok {
		return 0, false
	}
	for i := range r.Phases {
		p := &r.Phases[i]
		if p.Name != phase {
			continue
		}
		for _, f := range p.scopes() {
			if (Scope{f.Class, f.Tenant}) == of {
				return k.value(f)
			}
		}
	}
	return 0, false
}

// scopes returns the figures of all requests, followed by those of each class and of each tenant.
func (p *Phase) scopes() []*Figures {
	all := []*Figures{&p.All}
	for _, list := range [][]Figures{p.Classes, p.Tenants} {
		for i := range list {
			all = append(all, &list[i])
		}
	}
	return all
}
