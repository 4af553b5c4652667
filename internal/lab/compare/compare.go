// Package compare sets the reports of two builds, or of two settings, side by
// side: several pairs, each of one seed, and what the figures of all pairs say
// together.
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

// Pair is two runs of one seed.
type Pair struct{ A, B *report.Report }

// What is seen of a figure.
type Seen string

// What there is to see. A difference is said to be there if its sign is the same
// in so many pairs that chance would rarely do it, and its spread leaves none out.
const (
	Same    Seen = "the same in every pair"
	No      Seen = "no difference seen"
	TooFew  Seen = "too few pairs to tell"
	Better  Seen = "B is better"
	Worse   Seen = "B is worse"
	Nothing Seen = "not measured"
)

const (
	rarely   = 0.05 // chance of a sign test's outcome where there is no difference
	spread   = 0.95 // of the resampled ratios
	resample = 2000
)

// Row is one figure of one phase.
type Row struct {
	What  string  `json:"what"`
	Up    bool    `json:"up"` // more of it is better
	Phase string  `json:"phase"`
	Unit  string  `json:"unit,omitempty"`
	A     float64 `json:"a"` // median of the pairs
	B     float64 `json:"b"`
	Ratio float64 `json:"ratio"` // of the medians, B to A; 0: A is 0
	Lo    float64 `json:"lo"`    // spread of the ratio; of the difference, where A is 0
	Hi    float64 `json:"hi"`
	More  int     `json:"more"` // pairs in which B is more, and less
	Less  int     `json:"less"`
	P     float64 `json:"p"` // of the sign test
	Seen  Seen    `json:"seen"`
}

// Rows compares all figures in all phases that both sides have.
func Rows(pairs []Pair) []Row {
	if len(pairs) == 0 {
		return nil
	}
	var rows []Row
	for _, p := range pairs[0].A.Phases {
		for _, k := range report.FigureKinds() {
			r := Row{What: k.Name, Up: k.More, Phase: p.Name, Unit: k.Unit}
			var a, b []float64
			for _, one := range pairs {
				x, ok := one.A.Figure(k.Name, p.Name, report.Part{})
				y, too := one.B.Figure(k.Name, p.Name, report.Part{})
				if ok && too {
					a, b = append(a, x), append(b, y)
				}
			}
			if len(a) < len(pairs) {
				r.Seen = Nothing
			} else {
				r.weigh(a, b)
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// weigh looks at one figure's values, pair by pair.
func (r *Row) weigh(a, b []float64) {
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
	r.P = signTest(r.More, r.Less)
	r.Lo, r.Hi = r.bootstrap(a, b)
	nothing := 1.0
	if r.A == 0 {
		nothing = 0
	}
	switch {
	case r.More+r.Less == 0:
		r.Seen = Same
	case signTest(len(a), 0) > rarely:
		r.Seen = TooFew
	case r.P > rarely || r.Lo <= nothing && r.Hi >= nothing:
		r.Seen = No
	case r.More > r.Less == r.Up:
		r.Seen = Better
	default:
		r.Seen = Worse
	}
}

// bootstrap is between what the ratio of the medians lies (the difference, where
// A's is 0) when pairs are drawn again and again from those there are.
func (r *Row) bootstrap(a, b []float64) (lo, hi float64) {
	draws := figure.Stream(1, r.What+" in "+r.Phase)
	all := make([]float64, 0, resample)
	x, y := make([]float64, len(a)), make([]float64, len(a))
	for range resample {
		drawPairs(draws, a, b, x, y)
		switch ma, mb := sortedMedian(x), sortedMedian(y); {
		case r.A == 0:
			all = append(all, mb-ma)
		case ma == 0:
			all = append(all, math.MaxFloat64)
		default:
			all = append(all, mb/ma)
		}
	}
	slices.Sort(all)
	tail := int((1 - spread) / 2 * resample)
	return all[tail], all[len(all)-1-tail]
}

func drawPairs(g *rand.Rand, a, b, x, y []float64) {
	for i := range x {
		n := g.IntN(len(a))
		x[i], y[i] = a[n], b[n]
	}
}

// signTest is how probable it is that so uneven a split of signs, or a more
// uneven one, comes of chance alone.
func signTest(more, less int) float64 {
	n, k := more+less, min(more, less)
	if n == 0 {
		return 1
	}
	sum, ways := 0.0, 1.0
	for i := 0; i <= k; i++ {
		sum += ways
		ways = ways * float64(n-i) / float64(i+1)
	}
	return min(2*sum/math.Pow(2, float64(n)), 1)
}

func median(of []float64) float64 { return sortedMedian(slices.Clone(of)) }

// sortedMedian sorts what it is given.
func sortedMedian(s []float64) float64 {
	slices.Sort(s)
	n := len(s)
	if n%2 == 1 {
		return s[n/2]
	}
	return (s[n/2-1] + s[n/2]) / 2
}

// Write writes the rows as a table, by phase, and what is seen in all.
func Write(out io.Writer, a, b string, pairs []Pair, rows []Row) error {
	t := [][]string{{"phase", "figure", "A", "B", "B/A", "spread", "pairs +/-", ""}}
	seen := 0
	last := ""
	for _, r := range rows {
		if r.Seen == Nothing {
			continue
		}
		if r.Seen == Better || r.Seen == Worse {
			seen++
		}
		phase := r.Phase
		if phase == last {
			phase = ""
		}
		last = r.Phase
		ratio, spread := "-", fmt.Sprintf("%s to %s", signed(r.Lo), signed(r.Hi))
		if r.A != 0 {
			ratio, spread = short(r.Ratio), fmt.Sprintf("%s to %s", short(r.Lo), short(r.Hi))
		}
		t = append(t, []string{phase, r.What, short(r.A) + r.Unit, short(r.B) + r.Unit, ratio, spread,
			fmt.Sprintf("%d/%d", r.More, r.Less), string(r.Seen)})
	}
	var text strings.Builder
	fmt.Fprintf(&text, "A: %s\nB: %s\n%d pairs, one seed each; medians\n\n", a, b, len(pairs))
	report.WriteTable(&text, t)
	switch {
	case len(rows) == 0:
		fmt.Fprintln(&text, "\nnothing to compare")
	case seen == 0 && slices.ContainsFunc(rows, func(r Row) bool { return r.Seen == TooFew }):
		fmt.Fprintf(&text, "\ntoo few pairs to tell: %d at least\n", leastPairs())
	case seen == 0:
		fmt.Fprintln(&text, "\nno difference seen")
	default:
		fmt.Fprintf(&text, "\n%d figures differ; of those that do not, about one in twenty would be said to\n", seen)
	}
	for i, name := range []string{"A", "B"} {
		if n, first := broken(pairs, i); n > 0 {
			fmt.Fprintf(&text, "%s broke rules in %d of its runs, which count for nothing: %s\n", name, n, first)
		}
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return fmt.Errorf("writing the comparison: %w", err)
	}
	return nil
}

// broken is in how many of one side's runs a rule was broken, and the first of them.
func broken(pairs []Pair, side int) (n int, first string) {
	for _, p := range pairs {
		if r := [...]*report.Report{p.A, p.B}[side]; len(r.Broken) > 0 {
			if n++; n == 1 {
				first = fmt.Sprintf("seed %d: %s", r.Seed, r.Broken[0])
			}
		}
	}
	return n, first
}

// leastPairs is how many must agree before a difference is believed.
func leastPairs() int {
	n := 1
	for signTest(n, 0) > rarely {
		n++
	}
	return n
}

func short(v float64) string {
	if v == math.MaxFloat64 {
		return "inf"
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

func signed(v float64) string {
	if v > 0 {
		return "+" + short(v)
	}
	return short(v)
}
