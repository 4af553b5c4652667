package compare

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"olivebridge/internal/lab/report"
)

// pairs are runs whose p99 is as given, and whose shares of failed requests are.
func pairs(a, b []float64, failedA, failedB int) (all []Pair) {
	one := func(p99 float64, failed int) *report.Report {
		counts := report.Counts{Asked: 100, Served: 100 - failed, Failed: failed}
		f := report.Figures{Counts: counts, Worth: 1, P50: 10, P90: 20, P99: p99, P999: 99}
		return &report.Report{Phases: []report.Phase{{Name: report.Whole, All: f}}}
	}
	for i := range a {
		all = append(all, Pair{one(a[i], failedA), one(b[i], failedB)})
	}
	return all
}

func row(rows []Row, what string) Row {
	for _, r := range rows {
		if r.What == what {
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
		name  string
		a, b  []float64
		seen  Seen
		ratio float64
	}{
		{"the same", six, six, Same, 1},
		{"a fifth more", six, times(1.2, six), Worse, 1.2},
		{"a tenth less", six, times(0.9, six), Better, 0.9},
		{"now more, now less", six, []float64{104, 116, 94, 106, 109, 91}, No, 1},
		{"five of six", six, []float64{110, 130, 99, 121, 116, 94}, No, 0},
		{"five pairs", six[:5], times(2, six[:5]), TooFew, 2},
	} {
		r := row(Rows(pairs(c.a, c.b, 0, 0)), "p99")
		if r.Seen != c.seen || c.ratio > 0 && math.Abs(r.Ratio-c.ratio) > 0.05 || r.Lo > r.Ratio || r.Hi < r.Ratio {
			t.Errorf("%s: %+v", c.name, r)
		}
	}
	rows := Rows(pairs(six, six, 0, 3)) // where A has none, the difference counts
	if r := row(rows, "failed"); r.Seen != Worse || r.Ratio != 0 || r.Lo != 0.03 || r.Hi != 0.03 {
		t.Errorf("%+v", r)
	}
	if r := row(rows, "cpu"); r.Seen != Nothing {
		t.Errorf("%+v", r)
	}
}

// Where there is no difference, one is seen rarely; where there is, it is seen whatever the seeds do.
func TestChance(t *testing.T) {
	g := rand.New(rand.NewPCG(1, 2))
	const runs = 200
	seen, found := 0, 0
	for range runs {
		var a, b, more []float64
		for range 10 {
			seed := 100 * (1 + g.Float64()) // pairs differ more among them than their sides do
			a, b = append(a, seed+g.NormFloat64()), append(b, seed+g.NormFloat64())
			more = append(more, seed*1.2+g.NormFloat64())
		}
		var none, some Row
		none.weigh(a, b)
		some.weigh(a, more)
		if none.Seen == Better || none.Seen == Worse {
			seen++
		}
		if some.Seen == Worse {
			found++
		}
	}
	if seen > runs/20 || found < runs*9/10 {
		t.Errorf("of %d: seen %d where there is none, %d where there is", runs, seen, found)
	}
}

func TestWrite(t *testing.T) {
	six := []float64{100, 120, 90, 110, 105, 95}
	broke := pairs(six, six, 1, 1)
	broke[2].B.Seed, broke[2].B.Broken = 9, []string{"late", "lost"}
	for _, c := range []struct {
		all  []Pair
		want []string
	}{
		{pairs(six, six, 1, 1), []string{"A: old\nB: new\n6 pairs", "the same in every pair", "\nno difference seen\n"}},
		{pairs(six[:2], six[1:3], 1, 1), []string{"too few pairs to tell: 6 at least"}},
		{broke, []string{"B broke rules in 1 of its runs, which count for nothing: seed 9: late\n"}},
		{pairs(six, six, 0, 5), []string{"B is worse", "+0.05 to +0.05", "2 figures differ"}},
	} {
		var b strings.Builder
		if err := Write(&b, "old", "new", c.all, Rows(c.all)); err != nil {
			t.Fatal(err)
		}
		for _, want := range c.want {
			if !strings.Contains(b.String(), want) {
				t.Errorf("no %q in\n%s", want, b.String())
			}
		}
	}
}
