package routing

import (
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// Upstream is a server to which calls are forwarded. An attempt keeps the Upstream with which it was created. ID, Name
// and Addr are immutable: for a changed address a new Upstream is created, which shares all other state with the old
// one. Its methods are safe for concurrent use.
type Upstream struct {
	ID   balancer.ServerID
	Name string // name by which operators identify the server
	Addr string // host:port

	drainingSince *atomic.Pointer[time.Time] // holds nil while the server accepts new attempts
	suspension    *maintenance.Suspension    // by operators; nil if they cannot suspend the server
	startedAt     *atomic.Int64              // last start time passed to the Balancer, as a balancer.Time

	// replaced reports whether another server has been started at Addr since this one was started.
	replaced *atomic.Bool

	// listed is the server as it was listed last. It belongs to the event loop.
	listed balancer.Server

	// The last listed start time and what serverStart made of it. They belong to the event loop.

	listedStart balancer.Time
	ownStart    balancer.Time
}

// NewUpstream creates an Upstream that accepts new attempts.
func NewUpstream(id balancer.ServerID, name, addr string) *Upstream {
	return &Upstream{
		ID:            id,
		Name:          name,
		Addr:          addr,
		drainingSince: new(atomic.Pointer[time.Time]),
		startedAt:     new(atomic.Int64),
		replaced:      new(atomic.Bool),
	}
}

// withAddress returns an Upstream for the same server with another name and address.
func (u *Upstream) withAddress(name, addr string) *Upstream {
	moved := *u
	moved.Name = name
	moved.Addr = addr
	moved.replaced = new(atomic.Bool)
	return &moved
}

// MaySend reports whether the first byte of a new attempt may still be sent at now. It enforces the drain rule for
// attempts that waited for a connection while the endpoint list changed. grace is the duration for which a draining
// server may still receive new requests; half of it is reserved for the transmission to the server. A server that
// operators have suspended has no grace period, nor has one whose address belongs to another server.
func (u *Upstream) MaySend(now time.Time, grace time.Duration) bool {
	if u.suspension.Active() || u.replaced.Load() {
		return false
	}
	since := u.drainingSince.Load()
	return since == nil || now.Sub(*since) <= grace/2
}

// SetAccepting records whether the server accepts new attempts. If it does not, at is the time at which it stopped; if
// it stopped before, the earlier time is kept.
func (u *Upstream) SetAccepting(accepting bool, at time.Time) {
	if accepting {
		u.drainingSince.Store(nil)
	} else {
		u.drainingSince.CompareAndSwap(nil, &at)
	}
}

// startTime returns the last start time of the server that was passed to the Balancer.
func (u *Upstream) startTime() balancer.Time { return balancer.Time(u.startedAt.Load()) }
