package routing

import (
	"sync/atomic"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/maintenance"
)

// Upstream is a server that calls are forwarded to. An attempt keeps the Upstream that it was made with. ID, Name and
// Addr never change: a new address makes a new Upstream, which shares the rest with the old one. It is safe for
// concurrent use.
type Upstream struct {
	ID   balancer.ServerID
	Name string // as operators know it
	Addr string // host:port

	drainingSince *atomic.Pointer[time.Time] // nil inside: it accepts new attempts
	suspension    *maintenance.Suspension    // by operators; nil: they cannot suspend it
	startedAt     *atomic.Int64              // its last start that the decisions were shown, a balancer.Time
}

// NewUpstream makes an Upstream that accepts new attempts.
func NewUpstream(id balancer.ServerID, name, addr string) *Upstream {
	return &Upstream{
		ID:            id,
		Name:          name,
		Addr:          addr,
		drainingSince: new(atomic.Pointer[time.Time]),
		startedAt:     new(atomic.Int64),
	}
}

// movedTo is the same server under another address.
func (u *Upstream) movedTo(name, addr string) *Upstream {
	moved := *u
	moved.Name = name
	moved.Addr = addr
	return &moved
}

// MaySend reports whether the first byte of a new attempt may still leave at now. It guards the drain rule against
// attempts that waited for a connection while the list changed: grace is how long a draining server may still be sent
// something new, and half of it is left for the way there. A suspension by operators has no grace.
func (u *Upstream) MaySend(now time.Time, grace time.Duration) bool {
	if u.suspension.Active() {
		return false
	}
	since := u.drainingSince.Load()
	return since == nil || now.Sub(*since) <= grace/2
}

// SetAccepting notes whether the server accepts new attempts. Of several times at which it stopped to, the first
// counts.
func (u *Upstream) SetAccepting(accepting bool, at time.Time) {
	if accepting {
		u.drainingSince.Store(nil)
	} else {
		u.drainingSince.CompareAndSwap(nil, &at)
	}
}

// startTime is when the server last started, as the decisions were shown it.
func (u *Upstream) startTime() balancer.Time { return balancer.Time(u.startedAt.Load()) }
