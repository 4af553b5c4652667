package report

import "slices"

// FigureKind is a figure that may be asserted, or compared.
type FigureKind struct {
	Name   string
	Unit   string // of times; empty: a share, or a number
	Time   bool   // bounds are lengths of time
	OfPart bool   // it is known of each class and tenant
	More   bool   // more of it is better
	of     func(f *Figures) (float64, bool)
}

// FigureKinds are all there are, in the order in which they are shown.
func FigureKinds() []FigureKind {
	share := func(name string, n func(*Figures) int) FigureKind {
		return FigureKind{Name: name, OfPart: true, of: func(f *Figures) (float64, bool) {
			return f.Share(n(f)), f.Asked > f.Left
		}}
	}
	latency := func(name string, v func(*Figures) float64) FigureKind {
		return FigureKind{Name: name, Unit: "ms", Time: true, OfPart: true, of: func(f *Figures) (float64, bool) {
			return v(f), v(f) > 0
		}}
	}
	optional := func(v *float64) (float64, bool) {
		if v == nil {
			return 0, false
		}
		return *v, true
	}
	worth := FigureKind{Name: "worth", OfPart: true, More: true, of: func(f *Figures) (float64, bool) {
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
		{Name: "resident", Unit: "MB", of: func(f *Figures) (float64, bool) { return optional(f.Resident) }},
		{Name: "growth", of: func(f *Figures) (float64, bool) { return optional(f.Growth) }},
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

// Part is the requests that a figure is of: those of a class, or of a tenant, or,
// if both are empty, all.
type Part struct{ Class, Tenant string }

// Figure is a figure of a phase and a part; it reports false where there is none.
func (r *Report) Figure(what, phase string, of Part) (float64, bool) {
	k, ok := FigureNamed(what)
	if !ok {
		return 0, false
	}
	for i := range r.Phases {
		p := &r.Phases[i]
		if p.Name != phase {
			continue
		}
		for _, f := range p.parts() {
			if (Part{f.Class, f.Tenant}) == of {
				return k.of(f)
			}
		}
	}
	return 0, false
}

// parts are the figures of all, then of each class and each tenant.
func (p *Phase) parts() []*Figures {
	all := []*Figures{&p.All}
	for _, list := range [][]Figures{p.Classes, p.Tenants} {
		for i := range list {
			all = append(all, &list[i])
		}
	}
	return all
}
