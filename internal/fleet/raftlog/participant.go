package raftlog

import (
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// ParticipantConfig configures a Participant.
type ParticipantConfig struct {
	Name       string       // node name
	Voters     VoterSet     // voter set in the fleet file
	Directory  string       // directory of the log
	LogMessage string       // message of the Participant's log lines
	Log        *slog.Logger // nil disables logging
	// Dial opens a stream to another voter.
	Dial Dialer
	// NewState returns an empty state machine. It is called each time before the log is opened.
	NewState func() raft.FSM
	// OnOpen is called after the log has been opened, and OnClose before it is closed. The two are called alternately,
	// from one goroutine, without any lock held.
	OnOpen  func(*Log, raft.FSM)
	OnClose func()
}

// Participant keeps a log open as long as its process holds the node's membership and the node is a voter. Its methods
// may be called from any goroutine.
type Participant struct {
	config ParticipantConfig

	mu     sync.Mutex
	voters VoterSet
	stop   chan struct{} // closed by Stop; nil if the process does not hold the node's membership
	layer  *StreamLayer  // nil if the node is not a voter
	log    *Log          // nil if the node is not a voter or the log is not open yet
	tasks  sync.WaitGroup
}

// NewParticipant returns a Participant that is idle until Start.
func NewParticipant(config ParticipantConfig) *Participant {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Participant{config: config, voters: config.Voters}
}

// Start opens the log if the node is a voter, and keeps it open until Stop. The caller has acquired the node's
// membership for this process. Start may be called again after Stop.
func (p *Participant) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = make(chan struct{})
	p.joinLocked()
}

// Stop closes the log, and returns after it is closed.
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

// SetVoters sets the voter set after the fleet file was reloaded. It opens the log if the node has become a voter.
func (p *Participant) SetVoters(voters VoterSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voters = voters
	if p.log != nil {
		p.log.SetVoters(voters)
	}
	p.joinLocked()
}

// Voters returns the voter set in this process's fleet file.
func (p *Participant) Voters() VoterSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voters
}

// ServeStream serves a stream from another voter, and returns after the stream is closed. It returns immediately if
// this node is not a voter.
func (p *Participant) ServeStream(conn net.Conn, _ string) {
	p.mu.Lock()
	layer := p.layer
	p.mu.Unlock()
	if layer != nil {
		layer.Serve(conn)
	}
}

// joinLocked starts a goroutine that opens the log, if this node is a voter and no such goroutine runs. The caller
// holds p.mu.
func (p *Participant) joinLocked() {
	if p.stop == nil || p.layer != nil || !slices.Contains(p.voters.Names, p.config.Name) {
		return
	}
	layer := NewStreamLayer(p.config.Name, p.config.Dial)
	stop := p.stop
	p.layer = layer
	p.tasks.Go(func() { p.runLog(layer, stop) })
}

// runLog opens the log, waits until stop is closed or this process is no longer a voter, and closes the log.
func (p *Participant) runLog(layer *StreamLayer, stop chan struct{}) {
	state := p.config.NewState()
	log := p.open(layer, state, stop)
	if log == nil {
		return
	}
	p.mu.Lock()
	p.log = log
	log.SetVoters(p.voters) // the voter set may have changed since the log was opened
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

// open opens the log, and retries until it succeeds: the node's other process may hold the lock on the file. It returns
// nil once stop is closed.
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

// close closes the log, and opens it again if this node became a voter again meanwhile.
func (p *Participant) close(log *Log, layer *StreamLayer) {
	p.mu.Lock()
	p.log = nil
	if p.layer == layer { // otherwise Stop or a later Start has replaced it
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
