package balancer

import "time"

// Constants of the splitmix64 generator (Steele, Lea, Flood, OOPSLA 2014).
const (
	splitmixIncrement = 0x9e3779b97f4a7c15
	splitmixFactor1   = 0xbf58476d1ce4e5b9
	splitmixFactor2   = 0x94d049bb133111eb
)

// jitter multiplies a duration by a random factor from minJitterNumerator/jitterDenominator to
// maxJitterNumerator/jitterDenominator.
const (
	minJitterNumerator = 3
	maxJitterNumerator = 5
	jitterDenominator  = 4
)

// mantissaBits is the precision of a float64 and the number of random bits of a uniform draw.
const mantissaBits = 53

// randomSource is a splitmix64 generator. Equal seeds produce equal sequences.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) randomSource { return randomSource{seed ^ splitmixIncrement} }

// next returns 64 random bits.
func (r *randomSource) next() uint64 {
	r.state += splitmixIncrement
	return mix(r.state)
}

// float returns a uniform random number in [0, 1).
func (r *randomSource) float() float64 {
	return float64(r.next()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that nodes do not act at the same
// time.
func (r *randomSource) jitter(d time.Duration) time.Duration {
	shortest := d * minJitterNumerator / jitterDenominator
	width := d * (maxJitterNumerator - minJitterNumerator) / jitterDenominator
	return shortest + time.Duration(r.next()%uint64(width+1))
}

// mix is the finalizer of splitmix64. It also hashes keys and server IDs, so all nodes must use the
// same function.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * splitmixFactor1
	x = (x ^ x>>27) * splitmixFactor2
	return x ^ x>>31
}
