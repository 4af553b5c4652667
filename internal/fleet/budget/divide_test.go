package budget

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The targets are at least 0 and add up to no more than the amount and no less than the demand or the amount, less the
// amount that hysteresis can leave. A holder with a higher demand never has a lower target by more than hysteresis
// allows.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 1000).Draw(t, "amount")
		var demands []Demand
		for i := range rapid.IntRange(0, 12).Draw(t, "holders") {
			demands = append(demands, Demand{fmt.Sprint("n", i), rapid.Float64Range(0, 400).Draw(t, "demand"),
				rapid.Float64Range(0, 300).Draw(t, "previous")})
		}
		targets := Divide(amount, demands)
		sum, demand := 0.0, 0.0
		for _, d := range demands {
			sum += targets[d.Holder]
			demand += d.Units
			if targets[d.Holder] < 0 {
				t.Fatalf("%s has the negative target %g", d.Holder, targets[d.Holder])
			}
		}
		slack := hysteresis * amount
		if sum > amount*(1+1e-9) || sum < min(demand, amount)-slack-1e-9 {
			t.Fatalf("targets add up to %g of an amount of %g, for a demand of %g", sum, amount, demand)
		}
		for _, a := range demands {
			for _, b := range demands {
				tolerance := hysteresis*amount/float64(len(demands))*2 + 1e-9
				if a.Units >= b.Units && targets[a.Holder] < targets[b.Holder]-tolerance {
					t.Fatalf("%v has a lower target than %v", a, b)
				}
			}
		}
	})
	got := Divide(90, []Demand{{"a", 10, 0}, {"b", 100, 0}, {"c", 100, 0}})
	if got["a"] != 10 || got["b"] != 40 || got["c"] != 40 {
		t.Error(got)
	}
	if got := Divide(90, []Demand{{"a", 0, 0}, {"b", 0, 0}, {"c", 0, 0}}); math.Abs(got["a"]-30) > 1e-9 {
		t.Error(got)
	}
}
