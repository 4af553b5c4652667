package fleetfile

import (
	"slices"
	"time"
)

// Limits of budgets and of their terms.
const (
	minLease   = 500 * time.Millisecond // time for eight requests and for an election of the leader
	maxLease   = time.Minute
	maxReserve = 0.5
	maxSeats   = 1024
	maxBudgets = 64
	maxAmount  = 10000000 // larger amounts lose units in rounding
	minPeriod  = time.Minute
)

// checkBudgets checks the budgets. If there are any, it also checks the terms in the [book] table of the fleet file.
func (c *checker) checkBudgets(f *File) {
	if len(f.Budgets) == 0 {
		return
	}
	if len(f.Budgets) > maxBudgets {
		c.fail("budget", "%d budgets, %d at most", len(f.Budgets), maxBudgets)
	}
	c.checkBudgetTerms(&f.Book)
	names := map[string]bool{}
	subjects := map[string]bool{} // uses and tenants seen so far
	for i := range f.Budgets {
		budget := &f.Budgets[i]
		c.checkSubject(budget)
		subject := budget.Use + " " + budget.Tenant
		if names[budget.Name] || subjects[subject] {
			c.fail("budget", "%q: another budget has the same name, tenant or use", budget.Name)
		}
		names[budget.Name] = true
		subjects[subject] = true
		c.checkAmount(budget, f.Book.Seats)
	}
}

// checkBudgetTerms checks the [book] table of the fleet file and parses its lease.
func (c *checker) checkBudgetTerms(book *Book) {
	book.Edition = c.checkVoters("book", book.Voters, book.Edition)
	book.LeaseTime = c.checkDuration("book.lease", book.Lease, minLease, maxLease)
	if !inRange(book.Reserve, 0, maxReserve) {
		c.fail("book.reserve", "%g is not from 0 to %g", book.Reserve, maxReserve)
	}
	c.checkRange("book.seats", book.Seats, 1, maxSeats)
}

// inRange reports whether a number lies between two inclusive bounds. It returns false for NaN.
func inRange(value, minValue, maxValue float64) bool { return value >= minValue && value <= maxValue }

// checkSubject checks the name of a budget, and whose requests the budget limits.
func (c *checker) checkSubject(budget *Budget) {
	c.checkWord("budget.name", budget.Name)
	switch {
	case budget.Use == "":
		c.checkWord("budget.tenant", budget.Tenant)
	case budget.Use != Retries && budget.Use != ColdPeers:
		c.fail("budget.use", "%q: there are %q and %q", budget.Use, Retries, ColdPeers)
	case budget.Tenant != "":
		c.fail("budget.tenant", "%q is for %s of all tenants, so it cannot name one", budget.Name, budget.Use)
	case budget.Kind != "" && budget.Kind != kindRate:
		c.fail("budget.kind", "%q is for %s, which have a rate", budget.Name, budget.Use)
	}
}

// checkAmount checks that a budget has valid values for the keys of its kind, and no keys of other kinds.
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

// checkKeysOfKind checks that a budget has no amounts other than those of its kind.
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
			c.fail("budget."+amount.key, "%q is of the kind %s, which does not have this key", budget.Name, budget.Kind)
		}
	}
}

// checkRate checks the rate and burst of a budget.
func (c *checker) checkRate(budget *Budget, seats int) {
	if !inRange(budget.Rate, 0, maxAmount) {
		c.fail("budget.rate", "%g is not from 0 to %d", budget.Rate, maxAmount)
	}
	minBurst := float64(seats) + 1 // one unit for each seat, and one more
	if !inRange(budget.Burst, minBurst, maxAmount) {
		c.fail("budget.burst", "%g is not from %g, one more than seats, to %d", budget.Burst, minBurst, maxAmount)
	}
}

// checkCount checks the count of a budget and parses its period.
func (c *checker) checkCount(budget *Budget) {
	c.checkRange("budget.count", budget.Count, 0, maxAmount)
	period, err := time.ParseDuration(budget.Period)
	if err != nil || period < minPeriod {
		c.fail("budget.period", "not a time of a minute or more: %q", budget.Period)
	}
	budget.PeriodTime = period
}
