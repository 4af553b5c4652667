package fleet

import (
	"fmt"
	"strings"

	"olivebridge/internal/lab/fault"
)

// Verdict returns the rules that the run broke.
func (m *Members) Verdict() []Violation { return m.Broken }

// Line returns the result in one line.
func (m *Members) Line(s *fault.Script) string {
	return fmt.Sprintf("seed %d: %s; agree %.2f/%.2f s of %d, detect %.2f/%.2f s of %d, %d false deaths, %d flaps; %s",
		s.Seed, strings.Join(s.Kinds(), " "), m.Agree.Median, m.Agree.Worst, m.Agree.Count, m.Detect.Median,
		m.Detect.Worst, m.Detect.Count, m.FalseDeaths, m.Flaps, verdict(m.Broken))
}

// Text returns the result for the command's output: the actual state of each node at the end, its view, and the
// figures.
func (m *Members) Text(a *Account) string {
	var b strings.Builder
	j := final(a)
	fmt.Fprintln(&b, "at the end:")
	for _, name := range a.Names {
		n := j.truth.nodes[name]
		is := "does not run"
		switch {
		case n.running && n.stopped:
			is = "is stopped"
		case n.running && n.leaving:
			is = "is ending"
		case n.running:
			is = "runs"
		}
		fmt.Fprintf(&b, "  %-6s %-13s", name, is)
		if v := j.node(name).view; v != nil && n.running {
			fmt.Fprintf(&b, " with the view %s", v.view.String())
		}
		fmt.Fprintln(&b)
	}
	fmt.Fprintf(&b, "%d processes, %.0f s, %d changes, %d of them followed by another before all views agreed\n",
		m.Nodes, m.Seconds, m.Changes, m.Unsettled)
	fmt.Fprintf(&b, "all views agree %.2f s after a change (median of %d), %.2f s at worst\n",
		m.Agree.Median, m.Agree.Count, m.Agree.Worst)
	fmt.Fprintf(&b, "a kill is seen by a process after %.2f s (median of %d), %.2f s at worst\n",
		m.Detect.Median, m.Detect.Count, m.Detect.Worst)
	fmt.Fprintf(&b, "false deaths %d, suspicions of healthy processes %d\n", m.FalseDeaths, m.Flaps)
	fmt.Fprintf(&b, "a process sends %.0f bytes a second, uses %.2f%% of a core and %.1f MB\n", m.Bytes, 100*m.CPU, m.RSS)
	for _, one := range m.Broken {
		fmt.Fprintf(&b, "  %s\n", one)
	}
	return b.String()
}

// final returns the judge in its state at the end of a run.
func final(a *Account) *judge {
	copied := *a
	j := newJudge(&copied)
	j.play()
	return j
}
