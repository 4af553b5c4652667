package budget

import "time"

// roundingSpare is added to a wait for what is lost in rounding: whoever comes back then is not told to wait again.
const roundingSpare = time.Microsecond

// Bucket is a token bucket: units gather at a rate, up to a burst. It begins empty, and a change of the rate adds
// nothing: so the buckets of all holders together admit no more than one bucket of the whole rate and burst would,
// whatever moves between them.
type Bucket struct {
	rate  float64 // units a second
	burst float64 // units at most
	units float64
	at    time.Duration // when units were counted
}

// Set changes rate and burst from now on.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.units = min(b.units, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.at {
		b.units = min(b.units+b.rate*(now-b.at).Seconds(), b.burst)
		b.at = now
	}
}

// Take takes one unit. If there is none, it returns how long it takes until there is, at this rate; 0: never.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) { return b.TakeN(now, 1) }

// TakeN takes some units at once.
func (b *Bucket) TakeN(now time.Duration, units float64) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.units >= units {
		b.units -= units
		return true, 0
	}
	if b.rate <= 0 || b.burst < units {
		return false, 0
	}
	return false, time.Duration((units-b.units)/b.rate*float64(time.Second)) + roundingSpare
}

// setAfterGrant sets another rate and burst. If a grant has expired, what gathered after its end was never there.
func (b *Bucket) setAfterGrant(now, grantEnds time.Duration, expired bool, rate, burst float64) {
	if expired {
		b.refill(min(now, grantEnds))
		b.at = now
	}
	b.Set(now, rate, burst)
}
