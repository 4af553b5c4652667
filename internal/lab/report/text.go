package report

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// WriteText writes the report for a terminal.
func (r *Report) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	form := ""
	if r.Short {
		form = ", short form"
	}
	fmt.Fprintf(w, "%s: %s\n", r.Name, r.Shows)
	fmt.Fprintf(w, "%s clock, seed %d, %gs%s\n\n", r.Clock, r.Seed, r.Length, form)
	r.figureTable(false).write(w)
	if len(r.Faults) > 0 {
		fmt.Fprintln(w)
		t := table{{"fault", "from", "to", "about"}}
		for _, f := range r.Faults {
			t = append(t, []string{f.Kind, seconds(f.From), seconds(f.To), f.Note})
		}
		t.write(w)
	}
	fmt.Fprintln(w)
	r.checkTable().write(w)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "broken:", b)
	}
	fmt.Fprintf(w, "load tool late: 99%% of requests by at most %s, the latest by %s\n",
		millis(r.Lateness.P99), millis(r.Lateness.Max))
	fmt.Fprintln(w, r.Conclusion())
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// Conclusion is the verdict in one line.
func (r *Report) Conclusion() string {
	held, judged := 0, 0
	for _, c := range r.Checks {
		if c.Verdict != None {
			judged++
		}
		if c.Verdict == Passed {
			held++
		}
	}
	line := fmt.Sprintf("%s: %d of %d assertions hold", r.Verdict, held, judged)
	if n := len(r.Checks) - judged; n > 0 {
		line += fmt.Sprintf(", %d not judged", n)
	}
	if n := len(r.Broken); n > 0 {
		line += fmt.Sprintf(", %d rules broken", n)
	}
	if r.Verdict == None {
		return "no verdict: " + r.Why
	}
	return line
}

// figureTable is a line for each phase and its parts; unless all is asked for,
// the parts of the whole run only.
func (r *Report) figureTable(all bool) table {
	t := table{{"phase", "of", "asked", "worth", "late", "refused", "failed", "no answer",
		"p50", "p90", "p99", "p99.9", "tries", "cpu"}}
	for i := range r.Phases {
		p := &r.Phases[i]
		name := fmt.Sprintf("%s %s-%s", p.Name, seconds(p.From), seconds(p.To))
		for j, f := range p.parts() {
			if j > 0 && p.Name != Whole && !all {
				break
			}
			if j > 0 {
				name = ""
			}
			t = append(t, []string{name, cmp.Or(f.Class, f.Tenant, "all"),
				strconv.Itoa(f.Asked), fmt.Sprintf("%.3f", f.Worth),
				percent(f.Share(f.Late)), percent(f.Share(f.Refused)), percent(f.Share(f.Failed)),
				percent(f.Share(f.Unanswered)), millis(f.P50), millis(f.P90), millis(f.P99), millis(f.P999),
				number(f.Tries, "%.2f"), number(f.CPU, "%.3fms")})
		}
	}
	return t
}

func (r *Report) checkTable() table {
	t := table{{"assertion", "bound", "figure", ""}}
	for _, c := range r.Checks {
		note := string(c.Verdict)
		if c.Note != "" {
			note = c.Note
		}
		value := c.show(c.Value)
		if c.Verdict == None {
			value = "-"
		}
		t = append(t, []string{c.name(), c.bound(), value, note})
	}
	if len(t) == 1 {
		return nil
	}
	return t
}

func (c *Check) name() string {
	name := c.What
	if of := cmp.Or(c.Class, c.Tenant); of != "" {
		name += " of " + of
	}
	if c.Phase != Whole {
		name += " in " + c.Phase
	}
	return name
}

func (c *Check) bound() string {
	var parts []string
	if c.Least != nil {
		parts = append(parts, ">= "+c.show(*c.Least))
	}
	if c.Most != nil {
		parts = append(parts, "<= "+c.show(*c.Most))
	}
	return strings.Join(parts, ", ")
}

func (c *Check) show(v float64) string {
	if c.Unit == "ms" {
		return millis(v)
	}
	return strconv.FormatFloat(v, 'f', 4, 64)
}

func percent(v float64) string { return strconv.FormatFloat(100*v, 'f', 2, 64) + "%" }

func millis(v float64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', 4, 64) + "ms"
}

func seconds(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) + "s" }

func number(v *float64, format string) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf(format, *v)
}

// table is rows of cells, the head first.
type table [][]string

// write writes the rows with their columns aligned: words to the left, figures
// to the right.
func (t table) write(w io.Writer) {
	if len(t) == 0 {
		return
	}
	wide := make([]int, len(t[0]))
	figures := make([]bool, len(t[0]))
	for i, row := range t {
		for j, cell := range row {
			wide[j] = max(wide[j], utf8.RuneCountInString(cell))
			if i > 0 && cell != "" {
				figures[j] = strings.ContainsAny(cell[:1], "0123456789.-+x") || figures[j]
			}
		}
	}
	for _, row := range t {
		var line strings.Builder
		for j, cell := range row {
			if figures[j] {
				fmt.Fprintf(&line, "%*s  ", wide[j], cell)
			} else {
				fmt.Fprintf(&line, "%-*s  ", wide[j], cell)
			}
		}
		fmt.Fprintln(w, strings.TrimRight(line.String(), " "))
	}
}

// WriteTable writes rows of cells, the head first, with their columns aligned.
func WriteTable(w io.Writer, rows [][]string) { table(rows).write(w) }
