// Package compare compares the reports of two builds or of two settings. It takes several pairs of runs, each pair with
// one seed, and tests for each figure whether the two sides differ.
package compare

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/report"
)

// Pair holds the reports of two runs with the same seed.
type Pair struct{ A, B *report.Report }

// Verdict is the result of comparing one figure.
type Verdict string

// The verdicts. A difference is reported if the p-value of the sign test is at most significanceLevel and the
// confidence interval excludes the value for no difference.
const (
	Same         Verdict = "the same in every pair"
	NoDifference Verdict = "no difference seen"
	TooFewPairs  Verdict = "too few pairs to tell"
	Better       Verdict = "B is better"
	Worse        Verdict = "B is worse"
	NotMeasured  Verdict = "not measured"
)

const (
	significanceLevel = 0.05 // largest p-value of the sign test that counts as a difference
	confidenceLevel   = 0.95 // share of the resampled ratios within the confidence interval
	resampleCount     = 2000 // bootstrap samples per figure
)

// Row is the comparison of one figure in one phase.
type Row struct {
	FigureName   string  `json:"what"`
	MoreIsBetter bool    `json:"up"` // a higher value is better
	Phase        string  `json:"phase"`
	Unit         string  `json:"unit,omitempty"`
	A            float64 `json:"a"` // median over the pairs
	B            float64 `json:"b"`
	Ratio        float64 `json:"ratio"` // median of B divided by median of A; 0 if A is 0
	Lo           float64 `json:"lo"`    // bounds of the confidence interval of Ratio, or of B-A if A is 0
	Hi           float64 `json:"hi"`
	More         int     `json:"more"` // number of pairs in which B is higher; Less: lower
	Less         int     `json:"less"`
	PValue       float64 `json:"p"` // p-value of the sign test
	Verdict      Verdict `json:"seen"`
}

// Rows compares all figures in all phases of the first pair. A figure that a report lacks gets the verdict NotMeasured.
func Rows(pairs []Pair) []Row {
	if len(pairs) == 0 {
		return nil
	}
	var rows []Row
	for _, p := range pairs[0].A.Phases {
		for _, k := range report.FigureKinds() {
			r := Row{FigureName: k.Name, MoreIsBetter: k.MoreIsBetter, Phase: p.Name, Unit: k.Unit}
			var a, b []float64
			for _, pair := range pairs {
				x, okA := pair.A.Figure(k.Name, p.Name, report.Scope{})
				y, okB := pair.B.Figure(k.Name, p.Name, report.Scope{})
				if okA && okB {
					a, b = append(a, x), append(b, y)
				}
			}
			if len(a) < len(pairs) {
				r.Verdict = NotMeasured
			} else {
				r.evaluate(a, b)
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// evaluate compares the values of one figure, a[i] and b[i] being those of pair i, and sets the results of the row.
func (r *Row) evaluate(a, b []float64) {
	r.A, r.B = median(a), median(b)
	if r.A != 0 {
		r.Ratio = r.B / r.A
	}
	for i := range a {
		switch {
		case b[i] > a[i]:
			r.More++
		case b[i] < a[i]:
			r.Less++
		}
	}
	r.PValue = signTest(r.More, r.Less)
	r.Lo, r.Hi = r.bootstrap(a, b)
	noDifference := 1.0
	if r.A == 0 {
		noDifference = 0
	}
	switch {
	case r.More+r.Less == 0:
		r.Verdict = Same
	case signTest(len(a), 0) > significanceLevel:
		r.Verdict = TooFewPairs
	case r.PValue > significanceLevel || r.Lo <= noDifference && r.Hi >= noDifference:
		r.Verdict = NoDifference
	case r.More > r.Less == r.MoreIsBetter:
		r.Verdict = Better
	default:
		r.Verdict = Worse
	}
}

// bootstrap returns the bounds of the confidence interval of the ratio of the medians (or of their difference, if A's
// median is 0). It resamples the pairs with replacement.
func (r *Row) bootstrap(a, b []float64) (lo, hi float64) {
	draws := figure.Stream(1, r.FigureName+" in "+r.Phase)
	ratios := make([]float64, 0, resampleCount)
	x, y := make([]float64, len(a)), make([]float64, len(a))
	for range resampleCount {
		drawPairs(draws, a, b, x, y)
		switch ma, mb := sortedMedian(x), sortedMedian(y); {
		case r.A == 0:
			ratios = append(ratios, mb-ma)
		case ma == 0:
			ratios = append(ratios, math.MaxFloat64)
		default:
			ratios = append(ratios, mb/ma)
		}
	}
	slices.Sort(ratios)
	tail := int((1 - confidenceLevel) / 2 * resampleCount)
	return ratios[tail], ratios[len(ratios)-1-tail]
}

// drawPairs fills x and y with pairs drawn from a and b with replacement.
func drawPairs(random *rand.Rand, a, b, x, y []float64) {
	for i := range x {
		n := random.IntN(len(a))
		x[i], y[i] = a[n], b[n]
	}
}

// signTest returns the two-sided p-value of the sign test: the probability that chance alone splits the signs at least
// as unevenly.
func signTest(more, less int) float64 {
	n, k := more+less, min(more, less)
	if n == 0 {
		return 1
	}
	sum, combinations := 0.0, 1.0
	for i := 0; i <= k; i++ {
		sum += combinations
		combinations = combinations * float64(n-i) / float64(i+1)
	}
	return min(2*sum/math.Pow(2, float64(n)), 1)
}

func median(of []float64) float64 { return sortedMedian(slices.Clone(of)) }

// sortedMedian sorts s in place and returns its median.
func sortedMedian(s []float64) float64 {
	slices.Sort(s)
	n := len(s)
	if n%2 == 1 {
		return s[n/2]
	}
	return (s[n/2-1] + s[n/2]) / 2
}

// Write writes the rows as a table grouped by phase, followed by the overall result and the number of runs that broke
// rules. a and b name the two sides.
func Write(out io.Writer, a, b string, pairs []Pair, rows []Row) error {
	table := [][]string{{"phase", "figure", "A", "B", "B/A", "spread", "pairs +/-", ""}}
	seen := 0
	last := ""
	for _, r := range rows {
		if r.Verdict == NotMeasured {
			continue
		}
		if r.Verdict == Better || r.Verdict == Worse {
			seen++
		}
		phase := r.Phase
		if phase == last {
			phase = ""
		}
		last = r.Phase
		ratio, spread := "-", fmt.Sprintf("%s to %s", formatSigned(r.Lo), formatSigned(r.Hi))
		if r.A != 0 {
			ratio, spread = formatFigure(r.Ratio), fmt.Sprintf("%s to %s", formatFigure(r.Lo), formatFigure(r.Hi))
		}
		table = append(table, []string{phase, r.FigureName, formatFigure(r.A) + r.Unit, formatFigure(r.B) + r.Unit,
			ratio, spread, fmt.Sprintf("%d/%d", r.More, r.Less), string(r.Verdict)})
	}
	var text strings.Builder
	fmt.Fprintf(&text, "A: %s\nB: %s\n%d pairs, one seed each; medians\n\n", a, b, len(pairs))
	report.WriteTable(&text, table)
	switch {
	case len(rows) == 0:
		fmt.Fprintln(&text, "\nnothing to compare")
	case seen == 0 && slices.ContainsFunc(rows, func(r Row) bool { return r.Verdict == TooFewPairs }):
		fmt.Fprintf(&text, "\ntoo few pairs to tell: %d at least\n", minPairs())
	case seen == 0:
		fmt.Fprintln(&text, "\nno difference seen")
	default:
		fmt.Fprintf(&text, "\n%d figures differ; of those that do not, about one in twenty would be said to\n", seen)
	}
	for i, name := range []string{"A", "B"} {
		if n, first := countFailedRuns(pairs, i); n > 0 {
			fmt.Fprintf(&text, "%s broke rules in %d of its runs, which count for nothing: %s\n", name, n, first)
		}
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("writing the comparison: %w", err)
	}
	return nil
}

// countFailedRuns returns the number of runs of one side (0: A, 1: B) that broke a rule, and the first broken rule of
// the first such run.
func countFailedRuns(pairs []Pair, side int) (n int, first string) {
	for _, p := range pairs {
		if r := [...]*report.Report{p.A, p.B}[side]; len(r.Broken) > 0 {
			if n++; n == 1 {
				first = fmt.Sprintf("seed %d: %s", r.Seed, r.Broken[0])
			}
		}
	}
	return n, first
}

// minPairs returns the smallest number of pairs with the same sign that is significant.
func minPairs() int {
	n := 1
	for signTest(n, 0) > significanceLevel {
		n++
	}
	return n
}

func formatFigure(v float64) string {
	if v == math.MaxFloat64 {
		return "inf"
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

func formatSigned(v float64) string {
	if v > 0 {
		return "+" + formatFigure(v)
	}
	return formatFigure(v)
}
