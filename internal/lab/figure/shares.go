package figure

import "slices"

// Shares are figures of faults that last, any number at a time: the share of
// calls that each strikes, or the factor by which it makes something more.
type Shares struct{ list []*float64 }

// Add lets one more fault last until heal is called; to call it again does nothing.
func (s *Shares) Add(v float64) (heal func()) {
	p := &v
	s.list = append(s.list, p)
	return func() { s.list = slices.DeleteFunc(s.list, func(q *float64) bool { return q == p }) }
}

// Chance is the share that at least one of them strikes, each by itself.
func (s *Shares) Chance() float64 {
	spared := 1.0
	for _, v := range s.list {
		spared *= 1 - min(max(*v, 0), 1)
	}
	return 1 - spared
}

// Product is all factors multiplied; 1 without any.
func (s *Shares) Product() float64 {
	f := 1.0
	for _, v := range s.list {
		f *= *v
	}
	return f
}
