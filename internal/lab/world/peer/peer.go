// Package peer models one server of the upstream group: what its machine can
// do, what it makes of requests, how it starts, falls and drains, and all that
// can go wrong with it. It speaks HTTP/1.1 over a link.Fabric.
//
// Every draw hangs on the peer, the call and how often it came here, never on
// the order of things: a fault that is taken out leaves all else as it was.
package peer

import (
	"cmp"
	"fmt"
	"time"

	"olivebridge/internal/lab/event"
	"olivebridge/internal/lab/figure"
	"olivebridge/internal/lab/link"
	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/world"
)

// port is where every peer listens on its host.
const port = ":9000"

// Env is what a Peer lives in.
type Env struct {
	Loop     *loop.Loop
	Fabric   link.Fabric
	Seed     uint64
	Observer event.Observer
	Classes  []world.Class
	Listed   Registrar             // discovery, which shows it later
	Attempts event.AttemptObserver // nil: no observer
}

// Registrar hears at once what a peer's process does.
type Registrar interface {
	// Started: it listens at addr; warm: it was running long before the run began.
	Started(name, addr string, at time.Duration, warm bool)
	// Draining: it was told to end.
	Draining(name string)
	// Stopped: the process ended or was killed.
	Stopped(name string)
}

// Peer is one server, whose process may end and start again.
type Peer struct {
	c       world.Peer
	env     Env
	addr    string
	classes map[string]world.Class
	unnamed map[bool]world.Class // by whether the method is GET: of a call whose class is not known
	faults  faults               // of the machine: they outlive a process
	runs    map[string]int       // how often a call has come, over all lives, so that no two answers are alike
	lives   int
	now     *process // nil while it is down
	stats   Stats
}

// Stats counts what has happened at a Peer, over all its lives.
type Stats struct {
	Starts     int // of its process
	Falls      int // of them, ended by being pushed while cold
	Arrived    int // calls that came whole
	Ran        int // of them, up to now
	Served     int // answered with a 200, as it should be
	Surplus    int // of Served, with more on the wire than the answer
	Errors     int // 500s after all the work
	Failed     int // quick 500s
	TurnedAway int // 503s: they never ran
	Overdue    int // 504s: over before their turn, they never ran
	Dropped    int // taken out of the queue since their connection had ended
	Unheard    int // ran, with nobody left to answer
	Broken     int // connection reset in place of an answer
	Silent     int // never answered
	Spoilt     int // answered with what cannot be read
	Bad        int // 400s
	Unknown    int // 404s
	Probes     int
	Accepted   int // connections
	Full       int // connections reset, being too many

	Held int // calls that wait or are in work now
	Open int // connections now
}

// New makes a Peer, which is down.
func New(c world.Peer, e Env) *Peer {
	p := &Peer{
		c: c, env: e, addr: cmp.Or(c.Host, c.Name) + port,
		classes: map[string]world.Class{}, unnamed: map[bool]world.Class{}, runs: map[string]int{},
	}
	for _, class := range e.Classes {
		p.classes[class.Name] = class
	}
	for _, safe := range []bool{true, false} {
		p.unnamed[safe] = mean(e.Classes, safe)
	}
	return p
}

// mean is what calls of one method are like, whatever their class: nodes need
// not pass the class on.
func mean(classes []world.Class, safe bool) world.Class {
	m, n := world.Class{Safe: safe, Spread: 1}, 0
	for _, c := range classes {
		if c.Safe == safe {
			m.Work += c.Work
			m.Answer += c.Answer
			n++
		}
	}
	if n > 0 {
		m.Work, m.Answer = m.Work/figure.Span(n), m.Answer/n
	}
	return m
}

// Name is the peer's id at discovery.
func (p *Peer) Name() string { return p.c.Name }

// Addr is where it listens.
func (p *Peer) Addr() string { return p.addr }

// Down reports whether no process of it runs.
func (p *Peer) Down() bool { return p.now == nil }

// Start starts its process; warm: it has been running for long.
func (p *Peer) Start(warm bool) error {
	switch {
	case p.now != nil:
		return fmt.Errorf("peer %s: it is running already", p.c.Name)
	case p.c.Cores < 1 || p.c.Slots < 1 || p.c.Speed <= 0:
		return fmt.Errorf("peer %s: cores %d, slots %d, speed %g: each must be above 0",
			p.c.Name, p.c.Cores, p.c.Slots, p.c.Speed)
	}
	q := newProcess(p, warm)
	var err error
	if q.listener, err = p.env.Fabric.Listen(p.addr, q.accept); err != nil {
		return fmt.Errorf("peer %s: %w", p.c.Name, err)
	}
	p.now = q
	p.lives++
	p.stats.Starts++
	q.begin()
	p.env.Observer.PeerStarted(p.c.Name, p.addr, !warm)
	p.env.Listed.Started(p.c.Name, p.addr, p.env.Loop.Now(), warm)
	return nil
}

// Kill ends its process at once. Its connections are the network's to break.
func (p *Peer) Kill() {
	if p.now != nil {
		p.now.end(nil)
	}
}

// Drain tells its process to end. It serves on, turns new calls away from
// turnAwayAfter on, and ends at exitAfter, or once what it holds then is done.
func (p *Peer) Drain(turnAwayAfter, exitAfter time.Duration) {
	if q := p.now; q != nil && !q.draining {
		q.drain(turnAwayAfter, exitAfter)
		p.env.Listed.Draining(p.c.Name)
	}
}

// Stall pauses its process: nothing runs, nothing is read nor answered, and
// bytes pile up.
func (p *Peer) Stall(d time.Duration) {
	if p.now != nil {
		p.now.stall(d)
	}
}

// Stats is what has happened so far.
func (p *Peer) Stats() Stats {
	s := p.stats
	if q := p.now; q != nil {
		s.Held, s.Open = q.cores.held(), len(q.conns)
	}
	return s
}
