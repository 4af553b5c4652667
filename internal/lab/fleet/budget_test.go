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

// addArrivals adds calls that arrive at peers at a constant rate, in calls per second, between two times in seconds.
func addArrivals(a *Account, from, to, rate float64) {
	for s := from; s < to; s += 1 / rate {
		a.Arrivals = append(a.Arrivals, Arrival{At: seconds(s), Call: time.Duration(len(a.Arrivals)).String()})
	}
}

func addHolding(x *runBuilder, s float64, node string, h budget.Holding) {
	h.Ends = int64(seconds(s) + h.Left)
	x.addLine(s, node, "holds", []budget.Holding{h})
}

// TestAllowance checks that within oldAmountTime after a change the greater of the two amounts is allowed.
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
			t.Errorf("share at %v is %v, want %v", at, got, want)
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
			t.Errorf("units allowed from %v to %v: %.3f, want %.3f", c.from, c.to, got, c.want)
		}
	}
}

// TestBudgetJudge checks that each rule of budgets is reported for a run that breaks it, and for no other run.
func TestBudgetJudge(t *testing.T) {
	for _, c := range []struct {
		name   string
		build  func(x *runBuilder)
		broken string
	}{
		{"arrivals at the rate", func(x *runBuilder) { addArrivals(x.a, 2, 59, budgetRate) }, ""},
		{"an allowed burst", func(x *runBuilder) { addArrivals(x.a, 2, 59, 100); addArrivals(x.a, 30, 30.01, 5000) }, ""},
		{"a burst that is too large", func(x *runBuilder) {
			addArrivals(x.a, 2, 59, 100)
			addArrivals(x.a, 30, 30.1, 900)
		}, "over"},
		{"the rate is too high", func(x *runBuilder) { addArrivals(x.a, 2, 59, budgetRate*1.3) }, "over"},
		{"no arrivals", func(*runBuilder) {}, "use"},
		{"two shares that exceed the budget", func(x *runBuilder) {
			addArrivals(x.a, 2, 59, 100)
			addHolding(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			addHolding(x, 21, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, "share"},
		{"two shares in succession", func(x *runBuilder) {
			addArrivals(x.a, 2, 59, 100)
			addHolding(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			addHolding(x, 22.1, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, ""},
		{"a killed process uses no share", func(x *runBuilder) {
			addArrivals(x.a, 2, 59, 100)
			addHolding(x, 20, "n1", budget.Holding{Amount: 80, Left: 2 * time.Second})
			x.a.Events = append(x.a.Events, Event{At: seconds(20.5), Node: "n1", What: "killed", PID: int("n1"[1])})
			addHolding(x, 21, "n2", budget.Holding{Amount: 80, Left: 2 * time.Second})
		}, ""},
		{"a share held beyond the end that the leader recorded", func(x *runBuilder) {
			addArrivals(x.a, 2, 59, 100)
			x.addLine(20, "n2", "lends", budget.GrantRecord{Holder: "n1", Grant: 7, Until: int64(seconds(22))})
			addHolding(x, 20.5, "n1", budget.Holding{Amount: 10, Left: 1600 * time.Millisecond, Grant: 7})
		}, "lease"},
	} {
		x := newRunBuilder(t)
		c.build(x)
		slices.SortStableFunc(x.a.Lines, func(a, b record.Line) int { return int(a.At - b.At) })
		slices.SortStableFunc(x.a.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
		b := JudgeBudget(x.a)
		if (len(b.Broken) == 0) != (c.broken == "") || c.broken != "" && b.Broken[0].Rule != c.broken {
			t.Errorf("%s: violations %v", c.name, b.Broken)
		}
	}
}

// TestAmountJudges checks that a run is reported in which more calls than the limit are in flight at one time, or
// arrive in a period.
func TestAmountJudges(t *testing.T) {
	x := newRunBuilder(t)
	for i := range maxInUse + 1 {
		x.a.Arrivals = append(x.a.Arrivals, Arrival{At: seconds(20 + float64(i)/100), Call: time.Duration(i).String()})
	}
	if m := JudgeInUse(x.a); m.Max != maxInUse+1 || len(m.Broken) != 1 || m.Broken[0].Rule != "over" {
		t.Errorf("calls in flight above the limit were not reported: %+v", m)
	}
	x.a.Arrivals[maxInUse].At = seconds(20.03) // by then one call has ended
	x.a.Arrivals = slices.Insert(x.a.Arrivals, 3, Arrival{At: seconds(20.025), Call: x.a.Arrivals[0].Call, Done: true})
	slices.SortStableFunc(x.a.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	if m := JudgeInUse(x.a); m.Max != maxInUse || len(m.Broken) != 0 {
		t.Errorf("calls in flight within the limit were reported: %+v", m)
	}
	x = newRunBuilder(t)
	x.a.Periods = 1
	addArrivals(x.a, 2, 50, 60)
	if m := JudgeCount(x.a); len(m.Broken) != 1 || m.Broken[0].Rule != "over" {
		t.Errorf("more arrivals than the limit were not reported: %+v", m)
	}
}

// TestCountHistory checks that a history that a single ledger can produce is accepted, and that any other is rejected.
func TestCountHistory(t *testing.T) {
	got := func(units, left int64) budget.CountGrant {
		return budget.CountGrant{Period: 1, Units: units, Remaining: left}
	}
	for _, c := range []struct {
		name    string
		records []budget.CountRecord // one second apart
		want    porcupine.CheckResult
	}{
		{"two requests in succession", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}, Granted: got(100, countLimit-100), Answered: true},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-150), Answered: true},
		}, porcupine.Ok},
		{"the same units granted twice", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}, Granted: got(100, countLimit-100), Answered: true},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-50), Answered: true},
		}, porcupine.Illegal},
		{"a request that took effect without an answer", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-150), Answered: true},
		}, porcupine.Ok},
		{"a request that did not take effect", []budget.CountRecord{
			{Request: budget.CountRequest{Period: 1, Need: 100}},
			{Request: budget.CountRequest{Period: 1, Need: 50}, Granted: got(50, countLimit-50), Answered: true},
		}, porcupine.Ok},
	} {
		x := newRunBuilder(t)
		for i, one := range c.records {
			one.Began = int64(seconds(20 + float64(i)))
			x.addLine(20.5+float64(i), "n1", "counted", one)
		}
		if got := countHistory(x.a); got != c.want {
			t.Errorf("%s: result %v", c.name, got)
		}
	}
}
