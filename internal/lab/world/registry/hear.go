package registry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/world"
)

// leastLag is the share of the longest time that news takes at least to show.
const leastLag = 0.1

// subject is one peer, as its process is and as the list has it.
type subject struct {
	peer  world.Peer
	draws *rand.Rand

	addr    string
	state   string // of its process; empty: it never ran
	started int64  // as the list has it
	since   time.Duration
	silent  bool // its machine says nothing

	news   int           // that there were
	shown  int           // the last of them that shows
	listed entry         // as it shows
	of     time.Duration // the start that this tells of
}

// Started tells that a peer's process runs from now on. warm: it has run for
// long, and is listed already.
func (r *Registry) Started(name, addr string, at time.Duration, warm bool) {
	s := r.subject(name)
	s.addr, s.state, s.started, s.since = addr, ready, 0, 0
	if warm {
		s.news++
		r.show(s, s.news, s.entry(), s.since)
		r.book.first = len(r.book.changes)
		return
	}
	s.started, s.since = r.env.Loop.Start().Add(at).UnixMilli(), at
	r.heard(s, r.conf.Add)
}

// Draining tells that a peer completes what it holds and wants nothing new.
func (r *Registry) Draining(name string) {
	s := r.subject(name)
	s.state = terminating
	r.heard(s, r.conf.Notice)
}

// Stopped tells that a peer's process ended.
func (r *Registry) Stopped(name string) {
	s := r.subject(name)
	s.state = gone
	r.heard(s, r.conf.Notice)
}

// Vanished tells that a peer's machine says nothing any more.
func (r *Registry) Vanished(name string) {
	s := r.subject(name)
	s.silent = true
	r.tell(s, r.conf.Silent)
}

// Returned tells that such a machine is back, with whatever runs on it now.
func (r *Registry) Returned(name string) {
	s := r.subject(name)
	s.silent = false
	r.tell(s, r.conf.Add)
}

func (r *Registry) subject(name string) *subject {
	s := r.subjects[name]
	if s == nil {
		panic(fmt.Sprintf("discovery: no peer %q", name))
	}
	return s
}

// entry is the peer as discovery would list it if it knew all.
func (s *subject) entry() entry {
	e := entry{
		ID: s.peer.Name, Addr: s.addr, Zone: s.peer.Zone, Kind: s.peer.Kind, Cell: s.peer.Cell,
		State: s.state, Weight: s.peer.Weight, Started: s.started,
	}
	if s.silent || s.state == "" {
		e.State = gone
	}
	return e
}

// heard lets what a process did show within a time, or, where its machine is
// silent, once that is back.
func (r *Registry) heard(s *subject, within figure.Span) {
	if !s.silent {
		r.tell(s, within)
	}
}

// tell lets a peer's present state show within a time.
func (r *Registry) tell(s *subject, within figure.Span) {
	s.news++
	n, e, since := s.news, s.entry(), s.since
	lag := figure.Uniform(s.draws, leastLag, 1) * r.slowness.Product() * within.D().Seconds()
	r.env.Loop.After(figure.Seconds(lag), func() { r.show(s, n, e, since) })
}

// show lists a change, unless later news of that peer was faster.
func (r *Registry) show(s *subject, n int, e entry, since time.Duration) {
	if r.deaf > 0 {
		r.held = append(r.held, func() { r.show(s, n, e, since) })
		return
	}
	if n < s.shown {
		return
	}
	s.shown = n
	if e == s.listed || s.listed.ID == "" && e.State == gone {
		return
	}
	s.listed, s.of = e, since
	r.book.put(r.env.Loop.Now(), 1+r.numbers.Int64N(2), e)
	r.env.Observer.PeerListed(r.book.version, e.ID, e.Addr, e.State, since)
	r.wake()
}

// unhear keeps all news away until heal is called; what came due then shows at once.
func (r *Registry) unhear() (heal func()) {
	r.deaf++
	return once(func() {
		if r.deaf--; r.deaf > 0 {
			return
		}
		held := r.held
		r.held = nil
		for _, show := range held {
			show()
		}
	})
}

// once makes a function that does nothing when it is called again.
func once(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}
