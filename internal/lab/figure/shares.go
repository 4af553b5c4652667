package figure

import "slices"

// ActiveFaults holds one number for each fault that is active: the share of calls that
// the fault affects, or the factor by which it increases a quantity.
type ActiveFaults struct{ list []*float64 }

// Add adds a fault that is active until heal is called. Further calls of heal have
// no effect.
func (s *ActiveFaults) Add(v float64) (heal func()) {
	p := &v
	s.list = append(s.list, p)
	return func() { s.list = slices.DeleteFunc(s.list, func(q *float64) bool { return q == p }) }
}

// Probability returns the share of calls that at least one fault affects. The faults
// are independent, and values outside [0, 1] are clamped.
func (s *ActiveFaults) Probability() float64 {
	unaffected := 1.0
	for _, v := range s.list {
		unaffected *= 1 - min(max(*v, 0), 1)
	}
	return 1 - unaffected
}

// Product returns the product of all factors; 1 if there is none.
func (s *ActiveFaults) Product() float64 {
	f := 1.0
	for _, v := range s.list {
		f *= *v
	}
	return f
}
