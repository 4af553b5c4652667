package registry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// minLagShare is the minimum delay until a change is listed, as a share of the maximum delay.
const minLagShare = 0.1

// peerRecord holds the state of a peer's process and the state that the list shows.
type peerRecord struct {
	peer  world.Peer
	draws *rand.Rand

	addr      string
	state     string        // state of the process; empty: it was never started
	startedMS int64         // Unix time of the start as listed; 0: before the run began
	startedAt time.Duration // start of the process on the run's clock
	silent    bool          // the machine is unreachable for discovery

	updateCount   int           // number of changes so far
	lastApplied   int           // number of the latest change that was applied
	listed        entry         // the entry in the list
	listedStartAt time.Duration // startedAt of the process that the listed entry describes
}

// Started notifies discovery that a peer's process has started. A warm process has
// run since long before the run began and is listed at once.
func (r *Registry) Started(name, addr string, at time.Duration, warm bool) {
	s := r.record(name)
	s.addr, s.state, s.startedMS, s.startedAt = addr, ready, 0, 0
	if warm {
		s.updateCount++
		r.applyUpdate(s, s.updateCount, s.entry(), s.startedAt)
		r.history.initialCount = len(r.history.changes)
		return
	}
	s.startedMS, s.startedAt = r.env.Loop.Start().Add(at).UnixMilli(), at
	r.scheduleUnlessSilent(s, r.config.Add)
}

// Draining notifies discovery that a peer completes its requests and should get no new ones.
func (r *Registry) Draining(name string) {
	s := r.record(name)
	s.state = terminating
	r.scheduleUnlessSilent(s, r.config.Notice)
}

// Stopped notifies discovery that a peer's process has ended.
func (r *Registry) Stopped(name string) {
	s := r.record(name)
	s.state = gone
	r.scheduleUnlessSilent(s, r.config.Notice)
}

// Vanished notifies discovery that a peer's machine has become unreachable.
func (r *Registry) Vanished(name string) {
	s := r.record(name)
	s.silent = true
	r.scheduleUpdate(s, r.config.Silent)
}

// Returned notifies discovery that an unreachable machine is reachable again; the
// current state of its process is listed.
func (r *Registry) Returned(name string) {
	s := r.record(name)
	s.silent = false
	r.scheduleUpdate(s, r.config.Add)
}

func (r *Registry) record(name string) *peerRecord {
	s := r.records[name]
	if s == nil {
		panic(fmt.Sprintf("discovery: no peer %q", name))
	}
	return s
}

// entry returns the list entry for the current state of the peer.
func (s *peerRecord) entry() entry {
	e := entry{
		ID: s.peer.Name, Addr: s.addr, Zone: s.peer.Zone, Kind: s.peer.Kind, Cell: s.peer.Cell,
		State: s.state, Weight: s.peer.Weight, Started: s.startedMS,
	}
	if s.silent || s.state == "" {
		e.State = gone
	}
	return e
}

// scheduleUnlessSilent schedules an update for a change of the process. While the
// machine is silent it does nothing: Returned schedules the update.
func (r *Registry) scheduleUnlessSilent(s *peerRecord, within figure.Span) {
	if !s.silent {
		r.scheduleUpdate(s, within)
	}
}

// scheduleUpdate lists the peer's current state after a random delay of at most
// within, multiplied by the factors of Delay.
func (r *Registry) scheduleUpdate(s *peerRecord, within figure.Span) {
	s.updateCount++
	n, e, since := s.updateCount, s.entry(), s.startedAt
	lag := figure.Uniform(s.draws, minLagShare, 1) * r.delayFactors.Product() * within.D().Seconds()
	r.env.Loop.After(figure.Seconds(lag), func() { r.applyUpdate(s, n, e, since) })
}

// applyUpdate lists a change, unless a later change of the same peer was applied
// already. While a blind fault is active, it holds the change.
func (r *Registry) applyUpdate(s *peerRecord, n int, e entry, since time.Duration) {
	if r.blindFaults > 0 {
		r.heldUpdates = append(r.heldUpdates, func() { r.applyUpdate(s, n, e, since) })
		return
	}
	if n < s.lastApplied {
		return
	}
	s.lastApplied = n
	if e == s.listed || s.listed.ID == "" && e.State == gone {
		return
	}
	s.listed, s.listedStartAt = e, since
	r.history.record(r.env.Loop.Now(), 1+r.versionDraws.Int64N(2), e)
	r.env.Observer.PeerListed(r.history.version, e.ID, e.Addr, e.State, since)
	r.notifyWatches()
}

// holdUpdates holds all changes until heal is called; heal applies those that became due, in order.
func (r *Registry) holdUpdates() (heal func()) {
	r.blindFaults++
	return once(func() {
		if r.blindFaults--; r.blindFaults > 0 {
			return
		}
		updates := r.heldUpdates
		r.heldUpdates = nil
		for _, update := range updates {
			update()
		}
	})
}

// once returns a function that calls f on its first call only.
func once(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}
