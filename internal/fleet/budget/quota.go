package budget

import (
	"fmt"
	"math"
	"time"
)

// Kind is what a quota limits.
type Kind string

// The kinds.
const (
	Rate  Kind = "rate"   // units a second
	InUse Kind = "in-use" // units at one time, from Admit until Release
	Count Kind = "count"  // units in a period of the wall clock
)

// Quota is a limit for the whole fleet.
type Quota struct {
	Name   string
	Kind   Kind
	Amount float64       // of Rate a second, of InUse at one time, of Count in a period
	Burst  float64       // of Rate: units beyond it, over all nodes together
	Hold   time.Duration // of InUse: for how long a unit may be in use after it was admitted
	Period time.Duration // of Count: counted from the Unix epoch
}

// Terms hold for all quotas of a fleet.
type Terms struct {
	Lease   time.Duration // for how long a grant may be used, by its holder's clock, from before it was requested
	Reserve float64       // part of every quota that is never lent, from 0 to 1
	Seats   int           // into how many parts the reserve is divided
}

// termsText describes quotas and terms. A holder sends it to the leader, which compares it with its own: so the text,
// the order of Quota's fields and the names of those of Terms are part of the protocol.
func termsText(quotas []Quota, terms Terms) string { return fmt.Sprintf("%v %+v", quotas, terms) }

// clockDrift is by which part two clocks may run apart: far more than quartz does.
const clockDrift = 0.01

// leaderLease is for how long a leader counts a grant from when it was made.
func (t Terms) leaderLease() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + clockDrift))
}

// holderLease is for how long a holder uses a grant from before it requested it.
func (t Terms) holderLease() time.Duration {
	return time.Duration(float64(t.Lease) * (1 - clockDrift))
}

// seatReserve is one seat's part of a quota.
func (q Quota) seatReserve(t Terms) float64 {
	part := q.Amount * t.Reserve / float64(max(t.Seats, 1))
	switch q.Kind {
	case InUse: // whole units
		return math.Floor(part)
	case Count: // no reserve is needed: a stock that is held lasts without a leader
		return 0
	}
	return part
}

// seatReserves are a seat's parts by quota, without those that are 0.
func (t Terms) seatReserves(quotas []Quota) map[string]float64 {
	reserves := map[string]float64{}
	for _, q := range quotas {
		if part := q.seatReserve(t); part > 0 {
			reserves[q.Name] = part
		}
	}
	return reserves
}
