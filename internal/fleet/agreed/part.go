package agreed

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// PartConfig says what a process keeps a log for.
type PartConfig struct {
	Name      string // of the node
	Roster    Roster
	Directory string // of the log
	What      string // what it is called in the process's log
	Log       *slog.Logger
	Dial      func(name string, timeout time.Duration) (net.Conn, error) // to another voter
	New       func() raft.FSM                                            // an empty state
	Opened    func(*Log, raft.FSM)                                       // this process keeps the log now
	Closed    func()                                                     // and does not any more
}

// Part is a process's part in keeping a log: it keeps one for as long as it has its node's place, and is to be a voter. Opened
// and Closed are called in turns, with no lock held.
type Part struct {
	c PartConfig

	mu     sync.Mutex
	roster Roster
	stop   chan struct{} // nil: the process has not the node's place
	layer  *Layer        // nil: it is no voter
	log    *Log
	tasks  sync.WaitGroup
}

// NewPart makes one, which does nothing until Up.
func NewPart(c PartConfig) *Part {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &Part{c: c, roster: c.Roster}
}

// Up begins, for a process that has got the node's place.
func (p *Part) Up() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = make(chan struct{})
	p.join()
}

// Down ends that, and returns once the log is closed.
func (p *Part) Down() {
	p.mu.Lock()
	stop := p.stop
	p.stop, p.layer = nil, nil
	p.mu.Unlock()
	if stop != nil {
		close(stop)
		p.tasks.Wait()
	}
}

// Keep lets others keep the log from now on.
func (p *Part) Keep(r Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster = r; p.log != nil {
		p.log.SetRoster(r)
	}
	p.join()
}

// Roster is who keeps the log, by this process's file.
func (p *Part) Roster() Roster {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster
}

// Serve takes a stream from another voter.
func (p *Part) Serve(c net.Conn, _ string) {
	p.mu.Lock()
	l := p.layer
	p.mu.Unlock()
	if l != nil {
		l.Serve(c)
	}
}

// join begins to keep the log if this process is to, and does not yet. It is called with the lock held.
func (p *Part) join() {
	if p.stop == nil || p.layer != nil || !slices.Contains(p.roster.Names, p.c.Name) {
		return
	}
	l, stop := NewLayer(p.c.Name, p.c.Dial), p.stop
	p.layer = l
	p.tasks.Go(func() { p.keep(l, stop) })
}

// open opens the log, as soon as it can be.
func (p *Part) open(l *Layer, state raft.FSM, stop chan struct{}) *Log {
	for told := false; ; {
		log, err := Open(p.c.Directory, p.c.Name, p.Roster(), l, state)
		if err == nil {
			return log
		}
		if !told {
			p.c.Log.Error(p.c.What, "reason", "no-log", "why", err.Error())
			told = true
		}
		select {
		case <-stop:
			return nil
		case <-time.After(LockWithin):
		}
	}
}

func (p *Part) keep(l *Layer, stop chan struct{}) {
	state := p.c.New()
	log := p.open(l, state, stop)
	if log == nil {
		return
	}
	p.mu.Lock()
	p.log = log
	log.SetRoster(p.roster) // which may have changed meanwhile
	p.mu.Unlock()
	p.c.Opened(log, state)
	select {
	case <-stop:
	case <-log.Gone():
		p.c.Log.Info(p.c.What, "reason", "no-keeper")
	}
	p.c.Closed()
	p.mu.Lock()
	p.log = nil
	if p.layer == l { // it may be a voter again
		p.layer = nil
	}
	p.mu.Unlock()
	if !log.Close() {
		p.c.Log.Error(p.c.What, "reason", "not-closed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join()
}
