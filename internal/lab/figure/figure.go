// Package figure holds the forms in which the lab's files state figures:
// lengths of time, ranges that a seed draws from, and streams of random
// numbers, one for each entity.
package figure

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Span is a length of time, written as time.ParseDuration reads it ("1.2s").
type Span time.Duration

// D is the span as a time.Duration.
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

// Stream is the random numbers of one entity of a run, by its name: to take
// another entity out, or to let it draw more, leaves this one's as they were.
func Stream(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Uniform draws from [lo, hi).
func Uniform(r *rand.Rand, lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }

// LogNormal draws with a mean and a coefficient of variation.
func LogNormal(r *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*r.NormFloat64()-s2/2)
}

// Seconds turns seconds into a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Round rounds a drawn figure to n significant digits, so that files stay readable.
func Round(v float64, n int) float64 {
	v, _ = strconv.ParseFloat(strconv.FormatFloat(v, 'g', n, 64), 64)
	return v
}
