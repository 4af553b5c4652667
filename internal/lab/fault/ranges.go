package fault

import (
	"errors"
	"math"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2/unstable"

	"olivebridge/internal/lab/figure"
)

// Range is a range from which a number is drawn, written [lo, hi]. A single number is a range of only that number.
type Range struct{ Lo, Hi float64 }

// Spans is a range of durations, written ["5s", "24s"] or "5s".
type Spans struct{ Lo, Hi figure.Span }

// Counts is a range of integers that includes both ends.
type Counts struct{ Lo, Hi int }

var errReversedRange = errors.New("range is reversed")

func (r *Range) decodeItem(i *item) error { return decodeRange(i, &r.Lo, &r.Hi, float) }

func (s *Spans) decodeItem(i *item) error { return decodeRange(i, &s.Lo, &s.Hi, span) }

func (c *Counts) decodeItem(i *item) error {
	return decodeRange(i, &c.Lo, &c.Hi, func(i *item) (int, error) {
		n, err := integer(i)
		return int(n), err
	})
}

func decodeRange[T float64 | int | figure.Span](i *item, lo, hi *T, read func(*item) (T, error)) (err error) {
	if i.kind != unstable.Array {
		*lo, err = read(i)
		*hi = *lo
		return err
	}
	if len(i.items) != 2 {
		return errors.New("a range must have two ends")
	}
	if *lo, err = read(i.items[0]); err != nil {
		return err
	}
	if *hi, err = read(i.items[1]); err != nil {
		return err
	}
	if *lo > *hi {
		return errReversedRange
	}
	return nil
}

func (r Range) draw(g *rand.Rand) float64 {
	return min(max(figure.Round(figure.Uniform(g, r.Lo, r.Hi), 3), r.Lo), r.Hi)
}

func (s Spans) draw(g *rand.Rand) figure.Span {
	lo, hi := s.Lo.D().Seconds(), s.Hi.D().Seconds()
	return min(max(roundSeconds(figure.Uniform(g, lo, hi)), s.Lo), s.Hi)
}

func (c Counts) draw(g *rand.Rand) int { return c.Lo + g.IntN(c.Hi-c.Lo+1) }

// roundSeconds converts seconds to a duration and rounds it to three digits for readable scripts.
func roundSeconds(s float64) figure.Span {
	return figure.Span(math.Round(figure.Round(s, 3) * 1e9))
}

// chance draws true with probability p.
func chance(g *rand.Rand, p float64) bool { return g.Float64() < p }
