package registry

import (
	"time"

	"olivebridge/internal/lab/figure"
)

// oldStays is how long the old address serves the connections that it has
// after a move.
const oldStays = 1500 * time.Millisecond

// Down lets discovery refuse connections until heal is called. Those that are
// open break, every watch with them. It hears nothing meanwhile.
func (r *Registry) Down() (heal func()) {
	hear := r.unhear()
	if r.down++; r.down == 1 {
		r.listener.Close()
		r.listener = nil
		r.breakAll(func(*conn) bool { return true })
	}
	r.reach()
	return once(func() {
		if r.down--; r.down == 0 {
			if err := r.listen(); err != nil {
				panic(err) // its own address, which it has just left
			}
		}
		hear()
		r.reach()
	})
}

// reach tells whether calls are served. They are not as long as any may fail: in
// whose calls that shows is chance.
func (r *Registry) reach() {
	failing := r.down > 0
	for _, some := range []*figure.ActiveFaults{&r.broken, &r.stalled, &r.refused, &r.garbled} {
		failing = failing || some.Probability() > 0
	}
	if failing != r.failing {
		r.failing = failing
		r.env.Observer.DiscoveryReachable("", r.addr, !failing)
	}
}

// strike tells of a fault of calls that has begun, and of its healing.
func (r *Registry) strike(end func()) (heal func()) {
	r.reach()
	return func() {
		end()
		r.reach()
	}
}

// Break breaks a share of the calls: before their answer, in the midst of it, or
// by an end of the connection.
func (r *Registry) Break(share float64) (heal func()) { return r.strike(r.broken.Add(share)) }

// Stall leaves a share of the calls without any answer; their connections stay open.
func (r *Registry) Stall(share float64) (heal func()) { return r.strike(r.stalled.Add(share)) }

// Refuse answers a share of the calls with a 503.
func (r *Registry) Refuse(share float64) (heal func()) { return r.strike(r.refused.Add(share)) }

// Delay lets whatever happens meanwhile show so many times later.
func (r *Registry) Delay(factor float64) (heal func()) { return r.slowness.Add(factor) }

// Garble answers a share of the calls with what no reader of lists can make out.
func (r *Registry) Garble(share float64) (heal func()) { return r.strike(r.garbled.Add(share)) }

// Blind lets discovery hear nothing: its list stays as it is.
func (r *Registry) Blind() (heal func()) { return r.unhear() }

// Move takes discovery to its other address, which it returns. The old one
// takes no new connections, serves those that it has from the list as it was,
// and breaks them after a while. In half of all moves versions begin anew.
func (r *Registry) Move() string {
	if r.conf.Spare == "" || r.conf.Spare == r.conf.Addr {
		return r.addr
	}
	r.env.Observer.DiscoveryReachable("", r.addr, false)
	if r.addr == r.conf.Addr {
		r.addr = r.conf.Spare
	} else {
		r.addr = r.conf.Addr
	}
	anew, down, off := r.moves.IntN(2) == 0, r.moves.IntN(2) == 0, r.moves.Int64N(numberings/2)
	left, now := r.book, *r.book
	r.book = &now
	r.env.Loop.After(oldStays, func() { r.breakAll(func(c *conn) bool { return c.book == left }) })
	if r.down == 0 {
		r.listener.Close()
		if err := r.listen(); err != nil {
			panic(err) // an address that is nobody else's
		}
	}
	r.env.Observer.DiscoveryReachable("", r.addr, !r.failing)
	if anew {
		r.book.restart(down, off)
		for _, e := range r.book.entries(len(r.book.changes)) { // the same list, under another version
			r.env.Observer.PeerListed(r.book.version, e.ID, e.Addr, e.State, r.subjects[e.ID].of)
		}
	}
	return r.addr
}
