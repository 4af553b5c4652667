package compare

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"olivebridge/internal/lab/report"
)

// newPairs returns pairs of runs with the given p99 values and the given numbers of failed requests out of 100.
func newPairs(a, b []float64, failedA, failedB int) (all []Pair) {
	one := func(p99 float64, failed int) *report.Report {
		counts := report.Counts{Asked: 100, Served: 100 - failed, Failed: failed}
		f := report.Figures{Counts: counts, Worth: 1, P50: 10, P90: 20, P99: p99, P999: 99}
		return &report.Report{Phases: []report.Phase{{Name: report.WholeRun, All: f}}}
	}
	for i := range a {
		all = append(all, Pair{one(a[i], failedA), one(b[i], failedB)})
	}
	return all
}

func findRow(rows []Row, what string) Row {
	for _, r := range rows {
		if r.FigureName == what {
			return r
		}
	}
	return Row{}
}

func TestRows(t *testing.T) {
	six := []float64{100, 120, 90, 110, 105, 95}
	times := func(f float64, of []float64) (all []float64) {
		for _, v := range of {
			all = append(all, f*v)
		}
		return all
	}
	for _, c := range []struct {
		name    string
		a, b    []float64
		verdict Verdict
		ratio   float64
	}{
		{"same values", six, six, Same, 1},
		{"20 percent higher", six, times(1.2, six), Worse, 1.2},
		{"10 percent lower", six, times(0.9, six), Better, 0.9},
		{"mixed signs", six, []float64{104, 116, 94, 106, 109, 91}, NoDifference, 1},
		{"five of six higher", six, []float64{110, 130, 99, 121, 116, 94}, NoDifference, 0},
		{"only five pairs", six[:5], times(2, six[:5]), TooFewPairs, 2},
	} {
		r := findRow(Rows(newPairs(c.a, c.b, 0, 0)), "p99")
		if r.Verdict != c.verdict || c.ratio > 0 && math.Abs(r.Ratio-c.ratio) > 0.05 || r.Lo > r.Ratio || r.Hi < r.Ratio {
			t.Errorf("%s: unexpected row %+v", c.name, r)
		}
	}
	rows := Rows(newPairs(six, six, 0, 3)) // A is 0, so the difference is compared
	if r := findRow(rows, "failed"); r.Verdict != Worse || r.Ratio != 0 || r.Lo != 0.03 || r.Hi != 0.03 {
		t.Errorf("A is 0: unexpected row %+v", r)
	}
	if r := findRow(rows, "cpu"); r.Verdict != NotMeasured {
		t.Errorf("%+v", r)
	}
}

// TestChance checks the error rates of the comparison: a difference is rarely reported if there is none, and is
// reported if there is one although the seeds differ much more.
func TestChance(t *testing.T) {
	g := rand.New(rand.NewPCG(1, 2))
	const runs = 200
	seen, found := 0, 0
	for range runs {
		var a, b, more []float64
		for range 10 {
			seed := 100 * (1 + g.Float64()) // the pairs differ more from each other than the sides of a pair
			a, b = append(a, seed+g.NormFloat64()), append(b, seed+g.NormFloat64())
			more = append(more, seed*1.2+g.NormFloat64())
		}
		var none, some Row
		none.evaluate(a, b)
		some.evaluate(a, more)
		if none.Verdict == Better || none.Verdict == Worse {
			seen++
		}
		if some.Verdict == Worse {
			found++
		}
	}
	if seen > runs/20 || found < runs*9/10 {
		t.Errorf("%d runs: difference reported %d times without one, %d times with one", runs, seen, found)
	}
}

func TestWrite(t *testing.T) {
	six := []float64{100, 120, 90, 110, 105, 95}
	broke := newPairs(six, six, 1, 1)
	broke[2].B.Seed, broke[2].B.Broken = 9, []string{"late", "lost"}
	for _, c := range []struct {
		all  []Pair
		want []string
	}{
		{newPairs(six, six, 1, 1), []string{"A: old\nB: new\n6 pairs", "the same in every pair", "\nno difference seen\n"}},
		{newPairs(six[:2], six[1:3], 1, 1), []string{"too few pairs to tell: 6 at least"}},
		{broke, []string{"B broke rules in 1 of its runs, which count for nothing: seed 9: late\n"}},
		{newPairs(six, six, 0, 5), []string{"B is worse", "+0.05 to +0.05", "2 figures differ"}},
	} {
		var b strings.Builder
		if err := Write(&b, "old", "new", c.all, Rows(c.all)); err != nil {
			t.Fatal(err)
		}
		for _, want := range c.want {
			if !strings.Contains(b.String(), want) {
				t.Errorf("%q is missing in\n%s", want, b.String())
			}
		}
	}
}
