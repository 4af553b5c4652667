package experiment

import (
	"fmt"
	"slices"
	"time"

	"olivebridge/internal/lab/fault"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/report"
)

// Whole is the name of the phase that covers the entire run.
const Whole = report.WholeRun

// Assert is a lower or upper bound, or both, on one figure of the report.
type Assert struct {
	What         string `toml:"what"`
	Class        string `toml:"class"`  // at most one of Class and Tenant is set
	Tenant       string `toml:"tenant"` // Class and Tenant empty: all requests
	Phase        string `toml:"phase"`  // empty: the whole run
	Least        Bound  `toml:"least"`
	Most         Bound  `toml:"most"`
	FullFormOnly bool   `toml:"full"` // evaluated only when the full form is played
}

// Bound is a limit on a figure: a number, or a duration written as a string such as "200ms".
type Bound struct {
	set        bool
	isDuration bool
	value      float64 // in milliseconds if isDuration
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
		b.isDuration, b.value = true, milliseconds(s.D())
	default:
		return fmt.Errorf("want a number or a duration, not %v", v)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// checkAsserts returns an error for an assertion that names an unknown figure,
// class, tenant or phase, or whose bounds are missing, of the wrong type or
// inverted. It sets an empty phase to Whole.
func (e *Experiment) checkAsserts(d *fault.Document) error {
	for i := range e.Asserts {
		a := &e.Asserts[i]
		at := func(key string) string { return fmt.Sprintf("assert[%d].%s", i, key) }
		f, ok := report.FindFigureKind(a.What)
		if !ok {
			return d.Error(at("what"), "unknown figure %q", a.What)
		}
		classes, tenants := e.classAndTenantNames()
		switch {
		case a.Class != "" && a.Tenant != "":
			return d.Error(at("tenant"), "class and tenant are both set")
		case a.Class != "" && !slices.Contains(classes, a.Class):
			return d.Error(at("class"), "unknown class %q", a.Class)
		case a.Tenant != "" && !slices.Contains(tenants, a.Tenant):
			return d.Error(at("tenant"), "unknown tenant %q", a.Tenant)
		case a.Class+a.Tenant != "" && !f.PerScope:
			return d.Error(at("what"), "%s is measured only over all requests, not by class or tenant", a.What)
		}
		if a.Phase == "" {
			a.Phase = Whole
		}
		known := func(p Phase) bool { return p.Name == a.Phase }
		if a.Phase != Whole && !slices.ContainsFunc(e.Phases, known) {
			return d.Error(at("phase"), "unknown phase %q", a.Phase)
		}
		if !a.Least.set && !a.Most.set {
			return d.Error(fmt.Sprintf("assert[%d]", i), "needs least, most or both")
		}
		for _, b := range []struct {
			key string
			Bound
		}{{"least", a.Least}, {"most", a.Most}} {
			if b.set && b.isDuration != f.IsDuration {
				want := "a number"
				if f.IsDuration {
					want = `a duration such as "200ms"`
				}
				return d.Error(at(b.key), "%s needs %s", a.What, want)
			}
		}
		if a.Least.set && a.Most.set && a.Least.value > a.Most.value {
			return d.Error(at("most"), "most is below least")
		}
	}
	return nil
}

// classAndTenantNames returns the names of the classes and the tenants of the
// experiment's world.
func (e *Experiment) classAndTenantNames() (classes, tenants []string) {
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

// evaluateAsserts compares the report's figures with the assertions and
// appends one check for each of them to the report.
func (e *Experiment) evaluateAsserts(r *report.Report) {
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
		case r.Short && a.FullFormOnly:
			c.Verdict, c.Note = report.NoVerdict, "full form only"
		case !measured:
			c.Verdict, c.Note = report.NoVerdict, "not measured"
		case a.Least.set && value < a.Least.value, a.Most.set && value > a.Most.value:
			c.Verdict = report.Failed
		}
		r.Checks = append(r.Checks, c)
	}
}
