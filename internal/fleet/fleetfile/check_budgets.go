package fleetfile

import (
	"slices"
	"time"
)

// The bounds of budgets and their terms.
const (
	minLease   = 500 * time.Millisecond // with eight requests in it, and an election of the leader within
	maxLease   = time.Minute
	maxReserve = 0.5
	maxSeats   = 1024
	maxBudgets = 64
	maxAmount  = 10000000 // beyond it a unit is lost in rounding
	minPeriod  = time.Minute
)

// checkBudgets checks the budgets, and the terms that they need.
func (c *checker) checkBudgets(f *File) {
	if len(f.Budgets) == 0 {
		return
	}
	if len(f.Budgets) > maxBudgets {
		c.fail("budget", "%d budgets, %d at most", len(f.Budgets), maxBudgets)
	}
	c.checkBudgetTerms(&f.Book)
	names := map[string]bool{}
	subjects := map[string]bool{} // uses and tenants
	for i := range f.Budgets {
		budget := &f.Budgets[i]
		c.checkSubject(budget)
		subject := budget.Use + " " + budget.Tenant
		if names[budget.Name] || subjects[subject] {
			c.fail("budget", "%q: its name, its tenant or its use stands twice", budget.Name)
		}
		names[budget.Name] = true
		subjects[subject] = true
		c.checkAmount(budget, f.Book.Seats)
	}
}

func (c *checker) checkBudgetTerms(book *Book) {
	book.Edition = c.checkVoters("book", book.Voters, book.Edition)
	book.LeaseTime = c.checkDuration("book.lease", book.Lease, minLease, maxLease)
	if !inRange(book.Reserve, 0, maxReserve) {
		c.fail("book.reserve", "%g is not from 0 to %g", book.Reserve, maxReserve)
	}
	c.checkRange("book.seats", book.Seats, 1, maxSeats)
}

// inRange reports whether a number is between two bounds. NaN is not.
func inRange(value, minValue, maxValue float64) bool { return value >= minValue && value <= maxValue }

// checkSubject checks a budget's name, and what it limits.
func (c *checker) checkSubject(budget *Budget) {
	c.checkWord("budget.name", budget.Name)
	switch {
	case budget.Use == "":
		c.checkWord("budget.tenant", budget.Tenant)
	case budget.Use != Retries && budget.Use != ColdPeers:
		c.fail("budget.use", "%q: there are %q and %q", budget.Use, Retries, ColdPeers)
	case budget.Tenant != "":
		c.fail("budget.tenant", "%q is for %s, of whatever tenant", budget.Name, budget.Use)
	case budget.Kind != "" && budget.Kind != kindRate:
		c.fail("budget.kind", "%q is for %s, which have a rate", budget.Name, budget.Use)
	}
}

// checkAmount checks what a budget's kind has, and that it has nothing else.
func (c *checker) checkAmount(budget *Budget, seats int) {
	if budget.Kind == "" {
		budget.Kind = kindRate
	}
	switch budget.Kind {
	case kindRate:
		c.checkKeysOfKind(budget, "rate", "burst")
		c.checkRate(budget, seats)
	case kindInUse:
		c.checkKeysOfKind(budget, "most")
		c.checkRange("budget.most", budget.Most, 0, maxAmount)
	case kindCount:
		c.checkKeysOfKind(budget, "count", "period")
		c.checkCount(budget)
	default:
		c.fail("budget.kind", "%q is none of rate, in-use and count", budget.Kind)
	}
}

// checkKeysOfKind checks that a budget has no other amounts than those of its kind.
func (c *checker) checkKeysOfKind(budget *Budget, keys ...string) {
	for _, amount := range []struct {
		key string
		set bool
	}{
		{"rate", budget.Rate != 0},
		{"burst", budget.Burst != 0},
		{"most", budget.Most != 0},
		{"count", budget.Count != 0},
		{"period", budget.Period != ""},
	} {
		if amount.set && !slices.Contains(keys, amount.key) {
			c.fail("budget."+amount.key, "%q is of the kind %s, which has none", budget.Name, budget.Kind)
		}
	}
}

func (c *checker) checkRate(budget *Budget, seats int) {
	if !inRange(budget.Rate, 0, maxAmount) {
		c.fail("budget.rate", "%g is not from 0 to %d", budget.Rate, maxAmount)
	}
	minBurst := float64(seats) + 1 // each seat needs one unit of its own
	if !inRange(budget.Burst, minBurst, maxAmount) {
		c.fail("budget.burst", "%g is not from %g, one more than seats, to %d", budget.Burst, minBurst, maxAmount)
	}
}

func (c *checker) checkCount(budget *Budget) {
	c.checkRange("budget.count", budget.Count, 0, maxAmount)
	period, err := time.ParseDuration(budget.Period)
	if err != nil || period < minPeriod {
		c.fail("budget.period", "not a time of a minute or more: %q", budget.Period)
	}
	budget.PeriodTime = period
}
