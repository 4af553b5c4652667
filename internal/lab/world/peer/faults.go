package peer

import (
	"fmt"
	"slices"

	"olivebridge/internal/lab/figure"
)

// quickFailureWork is the maximum work, in core seconds, of a call that fails quickly.
const quickFailureWork = 500e-6

// faults holds the active faults of a peer. Several faults of one kind can be active.
type faults struct {
	slow, fail, spoil, surplus, silent, rejection, breakConn faultValues
	costly                                                   []*costlySlice
}

// faultValues holds the value (share or factor) of each active fault of one kind.
type faultValues []*float64

func (s *faultValues) add(v float64) (heal func()) {
	f := &v
	*s = append(*s, f)
	return func() {
		*s = slices.DeleteFunc(*s, func(g *float64) bool { return g == f })
	}
}

// probability returns the probability that at least one of the faults affects a
// call. One draw decides for all of them, so that removing a fault does not change
// the draw.
func (s faultValues) probability() float64 {
	unaffected := 1.0
	for _, f := range s {
		unaffected *= 1 - min(max(*f, 0), 1)
	}
	return 1 - unaffected
}

// slowdown returns the factor by which the peer is slower, the product of all slow faults.
func (f *faults) slowdown() float64 {
	factor := 1.0
	for _, v := range f.slow {
		factor *= max(*v, 1e-3)
	}
	return factor
}

// costlySlice is a share of a class's calls that cost factor times their usual work.
type costlySlice struct {
	class         string // "": all classes
	share, factor float64
}

// costFactor returns the factor by which a call costs more than its usual work. For
// a call in several slices, the highest factor applies.
func (f *faults) costFactor(a *attempt) float64 {
	highest := 1.0
	for _, s := range f.costly {
		if (s.class == "" || s.class == a.class.Name) && a.costlyDraw < s.share {
			highest = max(highest, s.factor)
		}
	}
	return highest
}

// Slow makes the peer slower by factor.
func (p *Peer) Slow(factor float64) (heal func()) {
	remove := p.faults.slow.add(factor)
	p.speedChanged()
	return func() {
		remove()
		p.speedChanged()
	}
}

func (p *Peer) speedChanged() {
	if p.process != nil {
		p.process.cores.reschedule()
	}
}

// Fail makes a share of calls fail quickly with an error response, mostly a 500.
func (p *Peer) Fail(share float64) (heal func()) { return p.faults.fail.add(share) }

// Costly makes a share of one class's calls cost factor times their usual work. The
// same calls are affected at every peer with the fault.
func (p *Peer) Costly(class string, share, factor float64) (heal func()) {
	s := &costlySlice{class, share, factor}
	p.faults.costly = append(p.faults.costly, s)
	return func() {
		p.faults.costly = slices.DeleteFunc(p.faults.costly, func(o *costlySlice) bool { return o == s })
	}
}

// Spoil makes a share of calls run and get an unreadable response. The connection
// stays open, but nothing more is read from it.
func (p *Peer) Spoil(share float64) (heal func()) { return p.faults.spoil.add(share) }

// Surplus adds bytes before or after a share of 200 responses.
func (p *Peer) Surplus(share float64) (heal func()) { return p.faults.surplus.add(share) }

// Silent makes a share of calls run and never get a response. The connection stays open.
func (p *Peer) Silent(share float64) (heal func()) { return p.faults.silent.add(share) }

// RejectRequests rejects a share of calls before they run.
func (p *Peer) RejectRequests(share float64) (heal func()) { return p.faults.rejection.add(share) }

// Break resets the connections of a share of calls, for half of them before the
// call runs, for the others in place of the response.
func (p *Peer) Break(share float64) (heal func()) { return p.faults.breakConn.add(share) }

// attemptDraws holds all random draws of an attempt. All are drawn whichever faults
// are active, so that no fault shifts the draws of another. New draws are added at
// the end.
type attemptDraws struct {
	workFactor                                     float64 // factor on the usual work, 0.95 to 1.05
	rejection, breakConn, breakEarly, fail, errors float64
	silent, spoil, spoilKind, surplus, surplusKind float64
	framing, closeConn                             float64
	errorKind                                      float64 // selects the response to a failed call
}

func drawAttempt(seed uint64, peer, id string, run int) (f attemptDraws) {
	r := figure.Stream(seed, fmt.Sprintf("fate of call %s at %s, run %d", id, peer, run))
	f.workFactor = figure.Uniform(r, 0.95, 1.05)
	for _, u := range []*float64{
		&f.rejection, &f.breakConn, &f.breakEarly, &f.fail, &f.errors,
		&f.silent, &f.spoil, &f.spoilKind, &f.surplus, &f.surplusKind, &f.framing, &f.closeConn, &f.errorKind,
	} {
		*u = r.Float64()
	}
	return f
}
