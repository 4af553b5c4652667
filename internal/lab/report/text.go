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

// WriteText writes the report as plain text with aligned tables.
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
			t = append(t, []string{f.Kind, formatSeconds(f.From), formatSeconds(f.To), f.Note})
		}
		t.write(w)
	}
	fmt.Fprintln(w)
	r.checkTable().write(w)
	for _, b := range r.Broken {
		fmt.Fprintln(w, "broken:", b)
	}
	fmt.Fprintf(w, "load tool late: 99%% of requests by at most %s, the latest by %s\n",
		formatMillis(r.Lateness.P99), formatMillis(r.Lateness.Max))
	fmt.Fprintln(w, r.Conclusion())
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

// Conclusion returns the verdict and the number of assertions that hold in one line.
func (r *Report) Conclusion() string {
	held, judged := 0, 0
	for _, c := range r.Checks {
		if c.Verdict != NoVerdict {
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
	if r.Verdict == NoVerdict {
		return "no verdict: " + r.Reason
	}
	return line
}

// figureTable returns a table with a row for each phase and scope. Unless all is true, it has the rows per class and
// tenant for the whole run only.
func (r *Report) figureTable(all bool) table {
	t := table{{"phase", "of", "asked", "worth", "late", "refused", "failed", "no answer",
		"p50", "p90", "p99", "p99.9", "tries", "cpu"}}
	for i := range r.Phases {
		p := &r.Phases[i]
		name := fmt.Sprintf("%s %s-%s", p.Name, formatSeconds(p.From), formatSeconds(p.To))
		for j, f := range p.scopes() {
			if j > 0 && p.Name != WholeRun && !all {
				break
			}
			if j > 0 {
				name = ""
			}
			t = append(t, []string{name, cmp.Or(f.Class, f.Tenant, "all"),
				strconv.Itoa(f.Asked), fmt.Sprintf("%.3f", f.Worth),
				formatPercent(f.Share(f.Late)), formatPercent(f.Share(f.Refused)), formatPercent(f.Share(f.Failed)),
				formatPercent(f.Share(f.Unanswered)), formatMillis(f.P50), formatMillis(f.P90), formatMillis(f.P99),
				formatMillis(f.P999),
				formatOptional(f.Tries, "%.2f"), formatOptional(f.CPU, "%.3fms")})
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
		value := c.formatValue(c.Value)
		if c.Verdict == NoVerdict {
			value = "-"
		}
		t = append(t, []string{c.label(), c.formatBounds(), value, note})
	}
	if len(t) == 1 {
		return nil
	}
	return t
}

func (c *Check) label() string {
	name := c.Figure
	if of := cmp.Or(c.Class, c.Tenant); of != "" {
		name += " of " + of
	}
	if c.Phase != WholeRun {
		name += " in " + c.Phase
	}
	return name
}

func (c *Check) formatBounds() string {
	var parts []string
	if c.Least != nil {
		parts = append(parts, ">= "+c.formatValue(*c.Least))
	}
	if c.Most != nil {
		parts = append(parts, "<= "+c.formatValue(*c.Most))
	}
	return strings.Join(parts, ", ")
}

func (c *Check) formatValue(v float64) string {
	if c.Unit == "ms" {
		return formatMillis(v)
	}
	return strconv.FormatFloat(v, 'f', 4, 64)
}

func formatPercent(v float64) string { return strconv.FormatFloat(100*v, 'f', 2, 64) + "%" }

func formatMillis(v float64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', 4, 64) + "ms"
}

func formatSeconds(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) + "s" }

func formatOptional(v *float64, format string) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf(format, *v)
}

// table is a list of rows of cells, with the column headings first.
type table [][]string

// write writes the rows with aligned columns: text to the left, numbers to the right.
func (t table) write(w io.Writer) {
	if len(t) == 0 {
		return
	}
	widths := make([]int, len(t[0]))
	numeric := make([]bool, len(t[0]))
	for i, row := range t {
		for j, cell := range row {
			widths[j] = max(widths[j], utf8.RuneCountInString(cell))
			if i > 0 && cell != "" {
				numeric[j] = strings.ContainsAny(cell[:1], "0123456789.-+x") || numeric[j]
			}
		}
	}
	for _, row := range t {
		var line strings.Builder
		for j, cell := range row {
			if numeric[j] {
				fmt.Fprintf(&line, "%*s  ", widths[j], cell)
			} else {
				fmt.Fprintf(&line, "%-*s  ", widths[j], cell)
			}
		}
		fmt.Fprintln(w, strings.TrimRight(line.String(), " "))
	}
}

// WriteTable writes rows of cells with aligned columns. The first row holds the column headings.
func WriteTable(w io.Writer, rows [][]string) { table(rows).write(w) }
