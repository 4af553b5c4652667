package registry

import (
	"time"

	"olivebridge/internal/lab/figure"
)

// oldAddressGrace is the duration for which open connections to the old address
// are still served after a move.
const oldAddressGrace = 1500 * time.Millisecond

// Down makes discovery refuse connections until heal is called. Open connections
// and their watches are terminated, and no change is listed while it is down.
func (r *Registry) Down() (heal func()) {
	release := r.holdUpdates()
	if r.downFaults++; r.downFaults == 1 {
		r.listener.Close()
		r.listener = nil
		r.breakConns(func(*conn) bool { return true })
	}
	r.updateReachable()
	return once(func() {
		if r.downFaults--; r.downFaults == 0 {
			if err := r.listen(); err != nil {
				panic(err) // cannot be taken: only this registry uses the address
			}
		}
		release()
		r.updateReachable()
	})
}

// updateReachable reports a change of whether calls are served. Calls count as not
// served while a fault can affect any of them, because the affected calls are
// chosen at random.
func (r *Registry) updateReachable() {
	failing := r.downFaults > 0
	for _, faults := range []*figure.ActiveFaults{&r.broken, &r.stalled, &r.refused, &r.garbled} {
		failing = failing || faults.Probability() > 0
	}
	if failing != r.failing {
		r.failing = failing
		r.env.Observer.DiscoveryReachable("", r.addr, !failing)
	}
}

// beginCallFault reports a fault of calls that has just been added; heal removes
// the fault with end and reports that.
func (r *Registry) beginCallFault(end func()) (heal func()) {
	r.updateReachable()
	return func() {
		end()
		r.updateReachable()
	}
}

// Break closes or resets the connection of a share of the calls: before the
// response, in the middle of it, or during a watch.
func (r *Registry) Break(share float64) (heal func()) { return r.beginCallFault(r.broken.Add(share)) }

// Stall leaves a share of the calls unanswered; their connections stay open.
func (r *Registry) Stall(share float64) (heal func()) { return r.beginCallFault(r.stalled.Add(share)) }

// Refuse responds to a share of the calls with a 503.
func (r *Registry) Refuse(share float64) (heal func()) { return r.beginCallFault(r.refused.Add(share)) }

// Delay multiplies by factor the time until a change that happens during the fault is listed.
func (r *Registry) Delay(factor float64) (heal func()) { return r.delayFactors.Add(factor) }

// Garble responds to a share of the calls with a body that cannot be read as a list.
func (r *Registry) Garble(share float64) (heal func()) { return r.beginCallFault(r.garbled.Add(share)) }

// Blind keeps all changes from being listed until heal is called.
func (r *Registry) Blind() (heal func()) { return r.holdUpdates() }

// Move moves discovery to its other address and returns that address. The old
// address refuses new connections, serves open ones from the list as of the move,
// and terminates them after oldAddressGrace. Half of all moves start a new
// numbering of versions.
func (r *Registry) Move() string {
	if r.config.Spare == "" || r.config.Spare == r.config.Addr {
		return r.addr
	}
	r.env.Observer.DiscoveryReachable("", r.addr, false)
	if r.addr == r.config.Addr {
		r.addr = r.config.Spare
	} else {
		r.addr = r.config.Addr
	}
	renumber, down, offset := r.moveDraws.IntN(2) == 0, r.moveDraws.IntN(2) == 0, r.moveDraws.Int64N(minNumberingGap/2)
	old, current := r.history, *r.history
	r.history = &current
	r.env.Loop.After(oldAddressGrace, func() { r.breakConns(func(c *conn) bool { return c.history == old }) })
	if r.downFaults == 0 {
		r.listener.Close()
		if err := r.listen(); err != nil {
			panic(err) // cannot be taken: only this registry uses the address
		}
	}
	r.env.Observer.DiscoveryReachable("", r.addr, !r.failing)
	if renumber {
		r.history.renumber(down, offset)
		for _, e := range r.history.entries(len(r.history.changes)) { // the same list under a new version
			r.env.Observer.PeerListed(r.history.version, e.ID, e.Addr, e.State, r.records[e.ID].listedStartAt)
		}
	}
	return r.addr
}
