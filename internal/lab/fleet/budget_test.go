package fleet

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"olivebridge/internal/fleet/budget"
	"olivebridge/internal/fleet/record"
)

// arrivals are calls that come to peers, so many a second, one after the other.
func arrivals(a *Account, from, to, rate float64) {
	for s := from; s < to; s += 1 / rate {
		a.Arrivals = append(a.Arrivals, Arrival{At: at(s), Call: time.Duration(len(a.Arrivals)).String()})
	}
}

func holds(x *runBuilder, s float64, node string, h budget.Holding) {
	h.Ends = int64(at(s) + h.Left)
	x.line(s, node, "holds", []budget.Holding{h})
}

// TestAllowance: of two amounts that follow each other the greater counts until the old one is settled.
func TestAllowance(t *testing.T) {
	s := time.Second
	all := Allowance{{At: 10 * s, Share: 0.5}, {At: 20 * s, Share: 2}, {At: 21 * s, Share: 1}}
	for at, want := range map[time.Duration]float64{
		0:                        1,
		10*s - 1:                 1,
		10 * s:                   1,
		10*s + oldAmountTime - 1: 1,
		10*s + oldAmountTime:     0.5,
		20 * s:                   2,
		21 * s:                   2,
		21*s + oldAmountTime:     1,
	} {
		if got := all.shareAt(at); got != want {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
	rate := all.unitsAllowed(100, 10)
	for _, c := range []struct {
		from, to time.Duration
		want     float64
	}{
		{0, 10 * s, 1010}, {13 * s, 15 * s, 105},
		{10 * s, 10*s + oldAmountTime + 2*s, 10 + 100*oldAmountTime.Seconds() + 100},
		{19 * s, 21*s + oldAmountTime + s, 20 + 50 + 200*(1+oldAmountTime.Seconds()) + 100},
	} {
		if got := rate(c.from, c.to); math.Abs(got-c.want) > 0.001 {
			t.Errorf("%v to %v: %.3f, want %.3f", c.from, c.to, got, c.want)
		}
	}
}

// TestBudgetJudge: each rule of budgets is broken by what breaks it.
func TestBudgetJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		tell   func(x *runBuilder)
		broken string
	}{
		{"the rate is kept", func(x *runBuilder) { arrivals(x.a, 2, 59, budgetRate) }, ""},
		{"a burst", func(x *runBuilder) { arrivals(x.a, 2, 59, 100); arrivals(x.a, 30, 30.01, 5000) }, ""},
		{"too large a burst", func(x *runBuilder) { arrivals(x.a, 2, 59, 100); arrivals(x.a, 30, 30.1, 900) }, "over"},
		{"the rate is too high", func(x *runBuilder) { arrivals(x.a, 2, 59, budgetRate*1.3) }, "over"},
		{"nothing comes", func(*runBuilder) {}, "use"},
		{"two parts that are more than the whole", func(x *runBuilder) {
			arrivals(x.a, 2, 59, 100)
			holds(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			holds(x, 21, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, "share"},
		{"one after the other", func(x *runBuilder) {
			arrivals(x.a, 2, 59, 100)
			holds(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			holds(x, 22.1, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, ""},
		{"one that is killed uses nothing", func(x *runBuilder) {
			arrivals(x.a, 2, 59, 100)
			holds(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			x.a.Events = append(x.a.Events, Event{At: at(20.5), Node: "n1", What: "killed", PID: int("n1"[1])})
			holds(x, 21, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, ""},
		{"a part that is held longer than it is counted", func(x *runBuilder) {
			arrivals(x.a, 2, 59, 100)
			x.line(20, "n2", "lends", budget.GrantRecord{Holder: "n1", Grant: 7, Until: int64(at(22))})
			holds(x, 20.5, "n1", budget.Holding{Amount: 10, Left: 1600 * time.Millisecond, Grant: 7})
		}, "lease"},
	} {
		x := newRunBuilder(t)
		c.tell(x)
		slices.SortStableFunc(x.a.Lines, func(a, b record.Line) int { return int(a.At - b.At) })
		slices.SortStableFunc(x.a.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
		b := JudgeBudget(x.a)
		if (len(b.Broken) == 0) != (c.broken == "") || c.broken != "" && b.Broken[0].Rule != c.broken {
			t.Errorf("%s: %v", c.name, b.Broken)
		}
	}
}

// TestAmountJudges: of units at one time and of a count no more than the whole may come to peers.
func TestAmountJudges(t *testing.T) {
	x := newRunBuilder(t)
	for i := range maxInUse + 1 {
		x.a.Arrivals = append(x.a.Arrivals, Arrival{At: at(20 + float64(i)/100), Call: time.Duration(i).String()})
	}
	if m := JudgeInUse(x.a); m.Max != maxInUse+1 || len(m.Broken) != 1 || m.Broken[0].Rule != "over" {
		t.Errorf("%+v", m)
	}
	x.a.Arrivals[maxInUse].At = at(20.03) // by then one is done with
	x.a.Arrivals = slices.Insert(x.a.Arrivals, 3, Arrival{At: at(20.025), Call: x.a.Arrivals[0].Call, Done: true})
	slices.SortStableFunc(x.a.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	if m := JudgeInUse(x.a); m.Max != maxInUse || len(m.Broken) != 0 {
		t.Errorf("%+v", m)
	}
	x = newRunBuilder(t)
	x.a.Periods = 1
	arrivals(x.a, 2, 50, 60)
	if m := JudgeCount(x.a); len(m.Broken) != 1 || m.Broken[0].Rule != "over" {
		t.Errorf("%+v", m)
	}
}

// TestCountHistory: a history that one ledger could have made is told from one that none could.
func TestCountHistory(t *testing.T) {
	got := func(units, left int64) budget.CountGrant {
		return budget.CountGrant{Period: 1, Units: units, Remaining: left}
	}
	for _, c := range []struct {
		name string
		tell []budget.CountRecord // each a second after the one before
		want porcupine.CheckResult
	}{
		{"one after the other", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}, Granted: got(100, countLimit-100), Answered: true},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-150), Answered: true},
		}, porcupine.Ok},
		{"given twice", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}, Granted: got(100, countLimit-100), Answered: true},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-50), Answered: true},
		}, porcupine.Illegal},
		{"a lost answer", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-150), Answered: true},
		}, porcupine.Ok},
		{"a lost ask", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-50), Answered: true},
		}, porcupine.Ok},
	} {
		x := newRunBuilder(t)
		for i, one := range c.tell {
			one.Began = int64(at(20 + float64(i)))
			x.line(20.5+float64(i), "n1", "counted", one)
		}
		if got := countHistory(x.a); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
