package peer

import (
	"fmt"
	"slices"

	"olivebridge/internal/lab/figure"
)

// quickWork is what a call costs that fails quickly.
const quickWork = 500e-6

// faults is what ails a peer. Faults of one kind add up, each until it is healed.
type faults struct {
	slow, fail, spoil, surplus, silent, turnAway, breaks stack
	costly                                               []*slice
}

// stack is the figures of faults of one kind that hold now.
type stack []*float64

func (s *stack) add(v float64) (heal func()) {
	f := &v
	*s = append(*s, f)
	return func() {
		*s = slices.DeleteFunc(*s, func(g *float64) bool { return g == f })
	}
}

// share is the chance that at least one of them strikes. All of them are
// decided by one draw, so that to take one out leaves that draw as it was.
func (s stack) share() float64 {
	spared := 1.0
	for _, f := range s {
		spared *= 1 - min(max(*f, 0), 1)
	}
	return 1 - spared
}

// slower is how many times slower the peer is.
func (f *faults) slower() float64 {
	times := 1.0
	for _, v := range f.slow {
		times *= max(*v, 1e-3)
	}
	return times
}

// slice is a share of one class's calls that cost more.
type slice struct {
	class         string // "": of every class
	share, factor float64
}

// dearer is how many times its usual work a call costs. A call in more than
// one slice costs as in the dearest.
func (f *faults) dearer(a *call) float64 {
	times := 1.0
	for _, s := range f.costly {
		if (s.class == "" || s.class == a.class.Name) && a.costly < s.share {
			times = max(times, s.factor)
		}
	}
	return times
}

// Slow makes the peer factor times slower.
func (p *Peer) Slow(factor float64) (heal func()) {
	remove := p.faults.slow.add(factor)
	p.paceChanged()
	return func() {
		remove()
		p.paceChanged()
	}
}

func (p *Peer) paceChanged() {
	if p.now != nil {
		p.now.cores.changed()
	}
}

// Fail lets a share of calls end quickly in a 500.
func (p *Peer) Fail(share float64) (heal func()) { return p.faults.fail.add(share) }

// Costly lets a share of one class's calls cost factor times their work. A
// call that is costly here is so at every peer with the fault.
func (p *Peer) Costly(class string, share, factor float64) (heal func()) {
	s := &slice{class, share, factor}
	p.faults.costly = append(p.faults.costly, s)
	return func() {
		p.faults.costly = slices.DeleteFunc(p.faults.costly, func(o *slice) bool { return o == s })
	}
}

// Spoil lets a share of calls run and get an answer that cannot be read; the
// connection stays open and is of no further use.
func (p *Peer) Spoil(share float64) (heal func()) { return p.faults.spoil.add(share) }

// Surplus lets a share of good answers come with more than themselves.
func (p *Peer) Surplus(share float64) (heal func()) { return p.faults.surplus.add(share) }

// Silent lets a share of calls run and never get an answer, on a connection
// that stays open.
func (p *Peer) Silent(share float64) (heal func()) { return p.faults.silent.add(share) }

// TurnAway lets a share of calls be turned away unseen.
func (p *Peer) TurnAway(share float64) (heal func()) { return p.faults.turnAway.add(share) }

// Break resets the connections of a share of calls, half of them before they
// run, half in place of the answer.
func (p *Peer) Break(share float64) (heal func()) { return p.faults.breaks.add(share) }

// fate is all that chance decides of an attempt. It is drawn whole, whatever
// faults there are: none shifts the draws of another. New draws go last.
type fate struct {
	noise                                          float64 // times its work
	turnAway, breaks, early, fail, errors          float64
	silent, spoil, spoilKind, surplus, surplusKind float64
	framing, last                                  float64
	wording                                        float64 // of an error
}

func drawFate(seed uint64, peer, id string, run int) (f fate) {
	r := figure.Stream(seed, fmt.Sprintf("fate of call %s at %s, run %d", id, peer, run))
	f.noise = figure.Uniform(r, 0.95, 1.05)
	for _, u := range []*float64{
		&f.turnAway, &f.breaks, &f.early, &f.fail, &f.errors,
		&f.silent, &f.spoil, &f.spoilKind, &f.surplus, &f.surplusKind, &f.framing, &f.last, &f.wording,
	} {
		*u = r.Float64()
	}
	return f
}
