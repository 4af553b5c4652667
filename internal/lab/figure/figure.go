// Package figure holds the numeric types and functions that the lab's files and
// models share: durations in text form, random distributions, one stream of random
// numbers for each entity, and the combined effect of simultaneous faults.
package figure

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Span is a duration that is not negative. Its text form is that of
// time.ParseDuration, such as "1.2s".
type Span time.Duration

// D returns the span as a time.Duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return fmt.Errorf("not a length of time: %q", b)
	}
	*s = Span(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Stream returns the random number generator of one entity of a run. It depends
// only on the seed and the name, so the numbers of an entity do not change if
// another entity is removed or draws more numbers.
func Stream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Uniform returns a random number with uniform distribution in [lo, hi).
func Uniform(r *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }

// LogNormal returns a random number with log-normal distribution. cv is the
// coefficient of variation; if it is not positive, LogNormal returns the mean.
func LogNormal(r *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(variance)*r.NormFloat64()-variance/2)
}

// Seconds converts a number of seconds to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Round rounds a random number to n significant digits, which keeps generated
// files readable.
func Round(v float64, n int) float64 {
	v, _ = strconv.ParseFloat(strconv.FormatFloat(v, 'g', n, 64), 64)
	return v
}
