package budget

import "time"

// roundingMargin is added to the wait that TakeN returns, so that rounding does not make a retry after it fail.
const roundingMargin = time.Microsecond

// Bucket is a token bucket: it refills at a rate, up to a burst. It starts empty, and changing the rate adds no units.
// The buckets of all holders together therefore never admit more than one bucket with the total rate and burst, even
// while parts of the quota move between holders.
type Bucket struct {
	rate       float64       // units per second
	burst      float64       // maximum of units
	units      float64       // units available at refilledAt
	refilledAt time.Duration // time of the last refill
}

// Set changes the rate and the burst from now on. Units beyond the new burst are dropped.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.units = min(b.units, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.refilledAt {
		b.units = min(b.units+b.rate*(now-b.refilledAt).Seconds(), b.burst)
		b.refilledAt = now
	}
}

// Take takes one unit. If none is available, it returns the time until one is, at the current rate; 0: never.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) { return b.TakeN(now, 1) }

// TakeN takes the given units, or none of them. Its results are those of Take.
func (b *Bucket) TakeN(now time.Duration, units float64) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.units >= units {
		b.units -= units
		return true, 0
	}
	if b.rate <= 0 || b.burst < units {
		return false, 0
	}
	return false, time.Duration((units-b.units)/b.rate*float64(time.Second)) + roundingMargin
}

// setAfterGrant changes the rate and the burst. If expired is true, the bucket is refilled only up to grantEnds, as the
// time after the end of the grant must not add units at its rate.
func (b *Bucket) setAfterGrant(now, grantEnds time.Duration, expired bool, rate, burst float64) {
	if expired {
		b.refill(min(now, grantEnds))
		b.refilledAt = now
	}
	b.Set(now, rate, burst)
}
