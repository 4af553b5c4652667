// Package peer models one upstream server: its capacity, its responses to requests,
// its start, crash and drain, and its faults. It serves HTTP/1.1 over a link.Fabric.
//
// Every random draw is seeded by the peer, the call and the number of the attempt,
// never by the order of events, so that removing one fault changes no other draw.
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

// port is the port on which every peer listens.
const port = ":9000"

// Env holds the dependencies of a Peer.
type Env struct {
	Loop      *loop.Loop
	Fabric    link.Fabric
	Seed      uint64
	Observer  event.Observer
	Classes   []world.Class
	Registrar Registrar             // discovery, which lists changes after a delay
	Attempts  event.AttemptObserver // may be nil
}

// Registrar is notified of changes of a peer's process as they happen.
type Registrar interface {
	// Started reports that the process listens on addr. A warm process has been running since long before the run.
	Started(name, addr string, at time.Duration, warm bool)
	// Draining reports that the process was asked to exit.
	Draining(name string)
	// Stopped reports that the process has exited or was killed.
	Stopped(name string)
}

// Peer is one upstream server. Its process may end and start again.
type Peer struct {
	config        world.Peer
	env           Env
	addr          string
	classes       map[string]world.Class
	meanClasses   map[bool]world.Class // by whether the method is GET; for calls whose class is not known
	faults        faults               // faults of the machine, which remain when the process restarts
	attemptCounts map[string]int       // by call id, over all processes, so that no two responses are equal
	processCount  int
	process       *process // nil while the peer is down
	stats         Stats
}

// Stats counts events at a Peer, over all its processes.
type Stats struct {
	Starts          int // starts of the process
	OverloadCrashes int // processes that crashed from overload while cold
	Arrived         int // complete calls received
	Ran             int // calls that ran to their end
	Served          int // 200 responses, with or without surplus bytes
	Surplus         int // part of Served: 200 responses with additional bytes
	Errors          int // error responses after all the work
	Failed          int // error responses to calls that failed quickly
	Rejected        int // 503 responses to calls that never ran
	Expired         int // 504 responses to calls whose deadline passed in the queue; they never ran
	Dropped         int // calls removed from the queue because their connection had ended
	Undeliverable   int // calls that ran after their connection had ended
	Broken          int // calls whose connection was reset in place of a response
	Unanswered      int // calls that never got a response, by the Silent fault
	Unreadable      int // unreadable responses
	BadRequests     int // 400 responses
	NotFound        int // 404 responses
	Probes          int // health check requests
	AcceptedConns   int
	RejectedConns   int // connections reset because there were too many

	Held      int // calls in the queue or in progress now
	OpenConns int // open connections now
}

// New returns a Peer that is down.
func New(c world.Peer, e Env) *Peer {
	p := &Peer{
		config: c, env: e, addr: cmp.Or(c.Host, c.Name) + port,
		classes: map[string]world.Class{}, meanClasses: map[bool]world.Class{}, attemptCounts: map[string]int{},
	}
	for _, class := range e.Classes {
		p.classes[class.Name] = class
	}
	for _, safe := range []bool{true, false} {
		p.meanClasses[safe] = meanClass(e.Classes, safe)
	}
	return p
}

// meanClass returns a class with the mean work and response size of all safe or all
// unsafe classes. It is used for calls without a known class: nodes need not
// forward the class.
func meanClass(classes []world.Class, safe bool) world.Class {
	total, count := world.Class{Safe: safe, Spread: 1}, 0
	for _, c := range classes {
		if c.Safe == safe {
			total.Work += c.Work
			total.ResponseBody += c.ResponseBody
			count++
		}
	}
	if count > 0 {
		total.Work, total.ResponseBody = total.Work/figure.Span(count), total.ResponseBody/count
	}
	return total
}

// Name returns the peer's id at discovery.
func (p *Peer) Name() string { return p.config.Name }

// Addr returns the address on which the peer listens.
func (p *Peer) Addr() string { return p.addr }

// Down reports whether the peer's process is not running.
func (p *Peer) Down() bool { return p.process == nil }

// Start starts the process; a warm one begins at full capacity. It returns an error
// if the process is running, the configuration has no capacity, or the address is
// taken.
func (p *Peer) Start(warm bool) error {
	switch {
	case p.process != nil:
		return fmt.Errorf("peer %s: it is running already", p.config.Name)
	case p.config.Cores < 1 || p.config.Slots < 1 || p.config.Speed <= 0:
		return fmt.Errorf("peer %s: cores %d, slots %d, speed %g: each must be above 0",
			p.config.Name, p.config.Cores, p.config.Slots, p.config.Speed)
	}
	q := newProcess(p, warm)
	var err error
	if q.listener, err = p.env.Fabric.Listen(p.addr, q.accept); err != nil {
		return fmt.Errorf("peer %s: %w", p.config.Name, err)
	}
	p.process = q
	p.processCount++
	p.stats.Starts++
	q.schedulePauses()
	p.env.Observer.PeerStarted(p.config.Name, p.addr, !warm)
	p.env.Registrar.Started(p.config.Name, p.addr, p.env.Loop.Now(), warm)
	return nil
}

// Kill ends the process at once. The network breaks its connections.
func (p *Peer) Kill() {
	if p.process != nil {
		p.process.terminate(nil)
	}
}

// Drain makes the process exit gracefully. It continues to serve calls, rejects new
// ones after rejectAfter, and exits once no call is left, but not before
// exitAfter.
func (p *Peer) Drain(rejectAfter, exitAfter time.Duration) {
	if q := p.process; q != nil && !q.draining {
		q.drain(rejectAfter, exitAfter)
		p.env.Registrar.Draining(p.config.Name)
	}
}

// Stall pauses the process for d: it runs no work, reads and answers nothing, and
// received bytes are buffered.
func (p *Peer) Stall(d time.Duration) {
	if p.process != nil {
		p.process.stall(d)
	}
}

// Stats returns the counts so far.
func (p *Peer) Stats() Stats {
	s := p.stats
	if q := p.process; q != nil {
		s.Held, s.OpenConns = q.cores.held(), len(q.conns)
	}
	return s
}
