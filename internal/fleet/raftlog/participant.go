package raftlog

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// ParticipantConfig says which log a process keeps, and who is told of it.
type ParticipantConfig struct {
	Name       string   // of the node
	Voters     VoterSet // by the fleet file
	Directory  string   // of the log
	LogMessage string   // of lines in the process's log
	Log        *slog.Logger
	// Dial opens a stream to another voter.
	Dial Dialer
	// NewState makes an empty state machine, at each opening of the log.
	NewState func() raft.FSM
	// OnOpen is called when the log is open, OnClose before it is closed: in turns, from one goroutine, with no lock held.
	OnOpen  func(*Log, raft.FSM)
	OnClose func()
}

// Participant keeps a log open while its process holds the node's membership and the node is a voter.
type Participant struct {
	config ParticipantConfig

	mu     sync.Mutex
	voters VoterSet
	stop   chan struct{} // nil: the process does not hold the node's membership
	layer  *StreamLayer  // nil: it is no voter
	log    *Log          // nil: it is no voter, or the log is not open yet
	tasks  sync.WaitGroup
}

// NewParticipant returns a Participant that does nothing until Start.
func NewParticipant(config ParticipantConfig) *Participant {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Participant{config: config, voters: config.Voters}
}

// Start opens the log if the node is a voter, and keeps it open until Stop. The process has just taken the node's
// membership. It may be called again after Stop.
func (p *Participant) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = make(chan struct{})
	p.joinLocked()
}

// Stop ends what Start began, and returns once the log is closed.
func (p *Participant) Stop() {
	p.mu.Lock()
	stop := p.stop
	p.stop = nil
	p.layer = nil
	p.mu.Unlock()
	if stop != nil {
		close(stop)
		p.tasks.Wait()
	}
}

// SetVoters takes the voter set of a fleet file that was read again.
func (p *Participant) SetVoters(voters VoterSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voters = voters
	if p.log != nil {
		p.log.SetVoters(voters)
	}
	p.joinLocked()
}

// Voters is the voter set by this process's fleet file.
func (p *Participant) Voters() VoterSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voters
}

// ServeStream takes a stream from another voter, and returns once that is closed.
func (p *Participant) ServeStream(conn net.Conn, _ string) {
	p.mu.Lock()
	layer := p.layer
	p.mu.Unlock()
	if layer != nil {
		layer.Serve(conn)
	}
}

// joinLocked begins to keep the log if this process is a voter and does not keep it yet. The caller holds the lock.
func (p *Participant) joinLocked() {
	if p.stop == nil || p.layer != nil || !slices.Contains(p.voters.Names, p.config.Name) {
		return
	}
	layer := NewStreamLayer(p.config.Name, p.config.Dial)
	stop := p.stop
	p.layer = layer
	p.tasks.Go(func() { p.keep(layer, stop) })
}

// keep opens the log, and closes it once the process stops or is no voter any more.
func (p *Participant) keep(layer *StreamLayer, stop chan struct{}) {
	state := p.config.NewState()
	log := p.open(layer, state, stop)
	if log == nil {
		return
	}
	p.mu.Lock()
	p.log = log
	log.SetVoters(p.voters) // which may have changed since it was opened
	p.mu.Unlock()
	p.config.OnOpen(log, state)
	select {
	case <-stop:
	case <-log.Removed():
		p.config.Log.Info(p.config.LogMessage, "reason", "no-keeper")
	}
	p.config.OnClose()
	p.close(log, layer)
}

// open opens the log, again and again until it can: the node's other process may hold its file. It returns nil once the
// process stops.
func (p *Participant) open(layer *StreamLayer, state raft.FSM, stop chan struct{}) *Log {
	logged := false
	for {
		log, err := Open(p.config.Directory, p.config.Name, p.Voters(), layer, state)
		if err == nil {
			return log
		}
		if !logged {
			p.config.Log.Error(p.config.LogMessage, "reason", "no-log", "why", err.Error())
			logged = true
		}
		select {
		case <-stop:
			return nil
		case <-time.After(FileLockTimeout):
		}
	}
}

// close closes the log, and joins again if the process became a voter meanwhile.
func (p *Participant) close(log *Log, layer *StreamLayer) {
	p.mu.Lock()
	p.log = nil
	if p.layer == layer { // else Stop, or a later Start, has replaced it
		p.layer = nil
	}
	p.mu.Unlock()
	if !log.Close() {
		p.config.Log.Error(p.config.LogMessage, "reason", "not-closed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joinLocked()
}
