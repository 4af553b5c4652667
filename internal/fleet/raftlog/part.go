package raftlog

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// PartConfig says what a process keeps a log for.
type ParticipantConfig struct {
	Name       string // of the node
	Voters     VoterSet
	Directory  string // of the log
	LogMessage string // what it is called in the process's log
	Log        *slog.Logger
	Dial       func(name string, timeout time.Duration) (net.Conn, error) // to another voter
	NewState   func() raft.FSM                                            // an empty state
	OnOpen     func(*Log, raft.FSM)                                       // this process keeps the log now
	OnClose    func()                                                     // and does not any more
}

// Part is a process's part in keeping a log: it keeps one for as long as it has its node's place, and is to be a voter. Opened
// and Closed are called in turns, with no lock held.
type Participant struct {
	c ParticipantConfig

	mu     sync.Mutex
	voters VoterSet
	stop   chan struct{} // nil: the process has not the node's place
	layer  *StreamLayer  // nil: it is no voter
	log    *Log
	tasks  sync.WaitGroup
}

// NewPart makes one, which does nothing until Up.
func NewParticipant(c ParticipantConfig) *Participant {
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return &Participant{c: c, voters: c.Voters}
}

// Up begins, for a process that has got the node's place.
func (p *Participant) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = make(chan struct{})
	p.join()
}

// Down ends that, and returns once the log is closed.
func (p *Participant) Stop() {
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
func (p *Participant) SetVoters(r VoterSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.voters = r; p.log != nil {
		p.log.SetVoters(r)
	}
	p.join()
}

// Roster is who keeps the log, by this process's file.
func (p *Participant) Voters() VoterSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voters
}

// Serve takes a stream from another voter.
func (p *Participant) ServeStream(c net.Conn, _ string) {
	p.mu.Lock()
	l := p.layer
	p.mu.Unlock()
	if l != nil {
		l.Serve(c)
	}
}

// join begins to keep the log if this process is to, and does not yet. It is called with the lock held.
func (p *Participant) join() {
	if p.stop == nil || p.layer != nil || !slices.Contains(p.voters.Names, p.c.Name) {
		return
	}
	l, stop := NewStreamLayer(p.c.Name, p.c.Dial), p.stop
	p.layer = l
	p.tasks.Go(func() { p.keep(l, stop) })
}

// open opens the log, as soon as it can be.
func (p *Participant) open(l *StreamLayer, state raft.FSM, stop chan struct{}) *Log {
	for told := false; ; {
		log, err := Open(p.c.Directory, p.c.Name, p.Voters(), l, state)
		if err == nil {
			return log
		}
		if !told {
			p.c.Log.Error(p.c.LogMessage, "reason", "no-log", "why", err.Error())
			told = true
		}
		select {
		case <-stop:
			return nil
		case <-time.After(FileLockTimeout):
		}
	}
}

func (p *Participant) keep(l *StreamLayer, stop chan struct{}) {
	state := p.c.NewState()
	log := p.open(l, state, stop)
	if log == nil {
		return
	}
	p.mu.Lock()
	p.log = log
	log.SetVoters(p.voters) // which may have changed meanwhile
	p.mu.Unlock()
	p.c.OnOpen(log, state)
	select {
	case <-stop:
	case <-log.Removed():
		p.c.Log.Info(p.c.LogMessage, "reason", "no-keeper")
	}
	p.c.OnClose()
	p.mu.Lock()
	p.log = nil
	if p.layer == l { // it may be a voter again
		p.layer = nil
	}
	p.mu.Unlock()
	if !log.Close() {
		p.c.Log.Error(p.c.LogMessage, "reason", "not-closed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.join()
}
