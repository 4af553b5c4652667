package experiment

import (
	"fmt"
	"slices"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/report"
)

// Whole is the name of the phase that is the run as a whole.
const Whole = report.WholeRun

// Assert is a bound on one figure.
type Assert struct {
	What   string `toml:"what"`
	Class  string `toml:"class"`  // or:
	Tenant string `toml:"tenant"` // both empty: all requests
	Phase  string `toml:"phase"`  // empty: the whole run
	Least  Bound  `toml:"least"`
	Most   Bound  `toml:"most"`
	Full   bool   `toml:"full"` // it is judged in the full form only
}

// Bound is a number, or a length of time, written as such.
type Bound struct {
	set   bool
	time  bool
	value float64 // of a length of time, in milliseconds
}

// FromFile implements fault.Scalar.
func (b *Bound) FromFile(v any) error {
	b.set = true
	switch v := v.(type) {
	case float64:
		b.value = v
	case int64:
		b.value = float64(v)
	case string:
		var s figure.Span
		if err := s.UnmarshalText([]byte(v)); err != nil {
			return err
		}
		b.time, b.value = true, milliseconds(s.D())
	default:
		return fmt.Errorf("want a number or a length of time, not %v", v)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkAsserts looks for figures, classes and phases that there are not, and
// for bounds that could not be meant.
func (e *Experiment) checkAsserts(d *fault.Document) error {
	for i := range e.Asserts {
		a := &e.Asserts[i]
		at := func(key string) string { return fmt.Sprintf("assert[%d].%s", i, key) }
		f, ok := report.FindFigureKind(a.What)
		if !ok {
			return d.Error(at("what"), "no such figure: %q", a.What)
		}
		classes, tenants := e.parts()
		switch {
		case a.Class != "" && a.Tenant != "":
			return d.Error(at("tenant"), "either a class or a tenant")
		case a.Class != "" && !slices.Contains(classes, a.Class):
			return d.Error(at("class"), "no such class: %q", a.Class)
		case a.Tenant != "" && !slices.Contains(tenants, a.Tenant):
			return d.Error(at("tenant"), "no such tenant: %q", a.Tenant)
		case a.Class+a.Tenant != "" && !f.PerScope:
			return d.Error(at("what"), "%s is known of all requests together only", a.What)
		}
		if a.Phase == "" {
			a.Phase = Whole
		}
		known := func(p Phase) bool { return p.Name == a.Phase }
		if a.Phase != Whole && !slices.ContainsFunc(e.Phases, known) {
			return d.Error(at("phase"), "no such phase: %q", a.Phase)
		}
		if !a.Least.set && !a.Most.set {
			return d.Error(fmt.Sprintf("assert[%d]", i), "neither least nor most")
		}
		for _, b := range []struct {
			key string
			Bound
		}{{"least", a.Least}, {"most", a.Most}} {
			if b.set && b.time != f.IsDuration {
				want := "a number"
				if f.IsDuration {
					want = `a length of time such as "200ms"`
				}
				return d.Error(at(b.key), "%s wants %s", a.What, want)
			}
		}
		if a.Least.set && a.Most.set && a.Least.value > a.Most.value {
			return d.Error(at("most"), "bounds upside down")
		}
	}
	return nil
}

// parts are the names of the classes and the tenants that there will be.
func (e *Experiment) parts() (classes, tenants []string) {
	if e.inline {
		for _, c := range e.Script.World.Classes {
			classes = append(classes, c.Name)
		}
		for _, t := range e.Script.World.Tenants {
			tenants = append(tenants, t.Name)
		}
		return classes, tenants
	}
	for _, c := range e.scenario.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range e.scenario.Tenants {
		tenants = append(tenants, t.Name)
	}
	return classes, tenants
}

// judge holds the assertions against a report's figures.
func (e *Experiment) judge(r *report.Report) {
	for _, a := range e.Asserts {
		f, _ := report.FindFigureKind(a.What)
		c := report.Check{Figure: a.What, Class: a.Class, Tenant: a.Tenant, Phase: a.Phase, Unit: f.Unit}
		value, measured := r.Figure(a.What, a.Phase, report.Scope{Class: a.Class, Tenant: a.Tenant})
		c.Value, c.Verdict = value, report.Passed
		if a.Least.set {
			c.Least = &a.Least.value
		}
		if a.Most.set {
			c.Most = &a.Most.value
		}
		switch {
		case r.Short && a.Full:
			c.Verdict, c.Note = report.NoVerdict, "full form only"
		case !measured:
			c.Verdict, c.Note = report.NoVerdict, "not measured"
		case a.Least.set && value < a.Least.value, a.Most.set && value > a.Most.value:
			c.Verdict = report.Failed
		}
		r.Checks = append(r.Checks, c)
	}
}
