package budget

import (
	"fmt"
	"math"
	"time"
)

// Kind is the kind of limit that a quota sets.
type Kind string

// Kinds of quotas.
const (
	Rate  Kind = "rate"   // units per second
	InUse Kind = "in-use" // units in use at one time, each from Admit until Release
	Count Kind = "count"  // units per period of the wall clock
)

// Quota is a fleet-wide limit. The order of its fields is part of the protocol, see termsText.
type Quota struct {
	Name   string
	Kind   Kind
	Amount float64       // units; Rate: per second; InUse: at one time; Count: per period
	Burst  float64       // Rate: token bucket burst in units, summed over all nodes
	Hold   time.Duration // InUse: maximum duration between the admission of a unit and its release
	Period time.Duration // Count: length of a period; periods are counted from the Unix epoch
}

// Terms are the settings that apply to all quotas of a fleet. The names and the order of its fields are part of
// the protocol, see termsText.
type Terms struct {
	Lease   time.Duration // validity of a grant by its holder's clock, from the creation of its request
	Reserve float64       // fraction of every quota that is never lent, from 0 to 1
	Seats   int           // number of equal parts into which the reserve is divided
}

// termsText returns a text of the quotas and terms. A holder sends it to the leader, which compares it with its own
// text. The text, the order of the fields of Quota, and the names and order of the fields of Terms are therefore part
// of the protocol.
func termsText(quotas []Quota, terms Terms) string { return fmt.Sprintf("%v %+v", quotas, terms) }

// clockDrift is the maximum relative difference between the rates of two clocks that the leases tolerate. It is far
// more than the drift of quartz clocks.
const clockDrift = 0.01

// leaderLease returns the duration, from the creation of a grant, for which the leader counts the grant as active.
func (t Terms) leaderLease() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + clockDrift))
}

// holderLease returns the duration for which a holder uses a grant. It starts when the holder creates the request for
// the grant.
func (t Terms) holderLease() time.Duration {
	return time.Duration(float64(t.Lease) * (1 - clockDrift))
}

// seatReserve returns one seat's part of the quota's reserve.
func (q Quota) seatReserve(t Terms) float64 {
	part := q.Amount * t.Reserve / float64(max(t.Seats, 1))
	switch q.Kind {
	case InUse: // whole units
		return math.Floor(part)
	case Count: // needs no reserve: a stock remains usable without a leader
		return 0
	}
	return part
}

// seatReserves returns one seat's parts of the reserves, by quota, without parts that are 0.
func (t Terms) seatReserves(quotas []Quota) map[string]float64 {
	reserves := map[string]float64{}
	for _, q := range quotas {
		if part := q.seatReserve(t); part > 0 {
			reserves[q.Name] = part
		}
	}
	return reserves
}
