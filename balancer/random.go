package balancer

import "time"

// The constants of the splitmix64 generator (Steele, Lea, Flood, OOPSLA 2014).
const (
	splitmixIncrement = 0x9e3779b97f4a7c15
	splitmixFactor1   = 0xbf58476d1ce4e5b9
	splitmixFactor2   = 0x94d049bb133111eb
)

// jitter spreads a duration over minJitterNumerator to maxJitterNumerator parts of
// jitterDenominator.
const (
	minJitterNumerator = 3
	maxJitterNumerator = 5
	jitterDenominator  = 4
)

// mantissaBits is the precision of a float64: a uniform draw uses so many bits.
const mantissaBits = 53

// randomSource is a splitmix64 generator. Equal seeds give equal draws.
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) randomSource { return randomSource{seed ^ splitmixIncrement} }

// next draws 64 random bits.
func (r *randomSource) next() uint64 {
	r.state += splitmixIncrement
	return mix(r.state)
}

// float draws uniformly from [0, 1).
func (r *randomSource) float() float64 {
	return float64(r.next()>>(64-mantissaBits)) / (1 << mantissaBits)
}

// jitter draws from three quarters to five quarters of d, so that nodes do not
// act in step.
func (r *randomSource) jitter(d time.Duration) time.Duration {
	shortest := d * minJitterNumerator / jitterDenominator
	width := d * (maxJitterNumerator - minJitterNumerator) / jitterDenominator
	return shortest + time.Duration(r.next()%uint64(width+1))
}

// mix is the finaliser of splitmix64. It also hashes keys and server IDs, and so
// must stay the same at all nodes.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * splitmixFactor1
	x = (x ^ x>>27) * splitmixFactor2
	return x ^ x>>31
}
