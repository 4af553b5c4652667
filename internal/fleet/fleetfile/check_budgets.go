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
		b := &f.Budgets[i]
		c.checkSubject(b)
		subject := b.Use + " " + b.Tenant
		if names[b.Name] || subjects[subject] {
			c.fail("budget", "%q: its name, its tenant or its use stands twice", b.Name)
		}
		names[b.Name] = true
		subjects[subject] = true
		c.checkAmount(b, f.Book.Seats)
	}
}

func (c *checker) checkBudgetTerms(b *Book) {
	b.Edition = c.checkVoters("book", b.Voters, b.Edition)
	b.LeaseTime = c.checkDuration("book.lease", b.Lease, minLease, maxLease)
	if !within(b.Reserve, 0, maxReserve) {
		c.fail("book.reserve", "%g is not from 0 to %g", b.Reserve, maxReserve)
	}
	c.checkRange("book.seats", b.Seats, 1, maxSeats)
}

// within reports whether a number is between two bounds. NaN is not.
func within(value, least, most float64) bool { return value >= least && value <= most }

// checkSubject checks a budget's name, and what it limits.
func (c *checker) checkSubject(b *Budget) {
	c.checkWord("budget.name", b.Name)
	switch {
	case b.Use == "":
		c.checkWord("budget.tenant", b.Tenant)
	case b.Use != Retries && b.Use != ColdPeers:
		c.fail("budget.use", "%q: there are %q and %q", b.Use, Retries, ColdPeers)
	case b.Tenant != "":
		c.fail("budget.tenant", "%q is for %s, of whatever tenant", b.Name, b.Use)
	case b.Kind != "" && b.Kind != kindRate:
		c.fail("budget.kind", "%q is for %s, which have a rate", b.Name, b.Use)
	}
}

// checkAmount checks what a budget's kind has, and that it has nothing else.
func (c *checker) checkAmount(b *Budget, seats int) {
	if b.Kind == "" {
		b.Kind = kindRate
	}
	switch b.Kind {
	case kindRate:
		c.checkKeysOfKind(b, "rate", "burst")
		c.checkRate(b, seats)
	case kindInUse:
		c.checkKeysOfKind(b, "most")
		c.checkRange("budget.most", b.Most, 0, maxAmount)
	case kindCount:
		c.checkKeysOfKind(b, "count", "period")
		c.checkCount(b)
	default:
		c.fail("budget.kind", "%q is none of rate, in-use and count", b.Kind)
	}
}

// checkKeysOfKind checks that a budget has no other amounts than those of its kind.
func (c *checker) checkKeysOfKind(b *Budget, keys ...string) {
	for _, amount := range []struct {
		key string
		set bool
	}{
		{"rate", b.Rate != 0},
		{"burst", b.Burst != 0},
		{"most", b.Most != 0},
		{"count", b.Count != 0},
		{"period", b.Period != ""},
	} {
		if amount.set && !slices.Contains(keys, amount.key) {
			c.fail("budget."+amount.key, "%q is of the kind %s, which has none", b.Name, b.Kind)
		}
	}
}

func (c *checker) checkRate(b *Budget, seats int) {
	if !within(b.Rate, 0, maxAmount) {
		c.fail("budget.rate", "%g is not from 0 to %d", b.Rate, maxAmount)
	}
	minBurst := float64(seats) + 1 // each seat needs one unit of its own
	if !within(b.Burst, minBurst, maxAmount) {
		c.fail("budget.burst", "%g is not from %g, one more than seats, to %d", b.Burst, minBurst, maxAmount)
	}
}

func (c *checker) checkCount(b *Budget) {
	c.checkRange("budget.count", b.Count, 0, maxAmount)
	period, err := time.ParseDuration(b.Period)
	if err != nil || period < minPeriod {
		c.fail("budget.period", "not a time of a minute or more: %q", b.Period)
	}
	b.PeriodTime = period
}
