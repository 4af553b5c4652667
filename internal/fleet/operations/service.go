package operations

import (
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"olivebridge/internal/fleet/member"
	"olivebridge/internal/fleet/raftlog"
	"olivebridge/internal/fleet/record"
)

// The channels of the members' streams that a Service uses.
const (
	VotersChannel = 5 // between voters
	NodesChannel  = 6 // from nodes to the leader
)

// logMessage is the message of the service's log lines.
const logMessage = "fleet rounds"

// ServerControl is what a node does with its servers, in all its processes. Its methods may be called from any
// goroutine.
type ServerControl interface {
	// Suspend takes a server out of use. After an error it may still be in use in some process of the node.
	Suspend(server string) error
	// Restore puts it back in use. An error says that no list names it.
	Restore(server string) error
	// Suspended are the servers that are suspended, also by an operator's call to this node alone.
	Suspended() []string
	// Busy is how many calls this process has open at a server.
	Busy(server string) int
	// Listed are the servers that take new calls.
	Listed() []string
	// Known reports whether a server was ever listed.
	Known(server string) bool
}

// Config is what a Service is made of.
type Config struct {
	Name      string // of the node
	Voters    raftlog.VoterSet
	Directory string // of the node; the log is in a directory below it
	// Dial opens a stream to another member.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// View is the present view of the fleet.
	View func() *member.View
	// Others are addresses of nodes that may be asked, with DialAddr, before this one has the membership. Both may be nil.
	Others   func() []string
	DialAddr func(addr string, channel byte, timeout time.Duration) (net.Conn, error)
	Log      *slog.Logger     // nil: nothing is logged
	Record   *record.Recorder // nil: nothing is recorded
}

// Service is a process's part in operations over the fleet. Its methods may be called from any goroutine.
type Service struct {
	config      Config
	participant *raftlog.Participant
	hint        raftlog.LeaderHint
	suspensions *suspensions
	counters    counters

	mu          sync.Mutex
	control     ServerControl // nil: the node is starting
	incarnation string        // "": this process does not hold the node's membership
	stop        chan struct{} // nil: the same
	log         *raftlog.Log  // nil: this process is no voter, or its log is not open
	ledger      *ledger       // with log
	rounds      []Round       // as the leader said last
	waitingFor  []string      // nodes that the running round waits for
	tasks       sync.WaitGroup

	// What follows counts while this process leads.
	reports map[string]receivedReport // by node
	// pendingStep is the step that the running round waits to complete, and pendingSince when this process saw it first.
	pendingStep  AdvanceRequest
	pendingSince time.Time
}

type counters struct {
	requests       atomic.Int64 // reports to the leader
	failedRequests atomic.Int64
	steps          atomic.Int64
}

// New returns a Service that does nothing until Attach and Start.
func New(config Config) *Service {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		config:      config,
		reports:     map[string]receivedReport{},
		suspensions: newSuspensions(filepath.Join(config.Directory, suspensionsFile), config.Log, config.Record),
	}
	s.participant = raftlog.NewParticipant(raftlog.ParticipantConfig{
		Name:       config.Name,
		Voters:     config.Voters,
		Directory:  filepath.Join(config.Directory, "rounds"),
		LogMessage: logMessage,
		Log:        config.Log,
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return config.Dial(name, VotersChannel, timeout)
		},
		NewState: func() raft.FSM { return newLedger() },
		OnOpen:   s.setLog,
		OnClose:  func() { s.setLog(nil, nil) },
	})
	return s
}

// setLog takes the log that this process keeps from now on; nil: none.
func (s *Service) setLog(log *raftlog.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	s.ledger, _ = state.(*ledger)
}

// currentLog is the log that this process keeps; nil: none.
func (s *Service) currentLog() (*raftlog.Log, *ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log, s.ledger
}

// SetVoters takes the voters of a fleet file that was read again.
func (s *Service) SetVoters(voters raftlog.VoterSet) {
	s.participant.SetVoters(voters)
}

// ServeVoters takes a stream from another voter, and returns once that is closed.
func (s *Service) ServeVoters(conn net.Conn, from string) {
	s.participant.ServeStream(conn, from)
}

// Attach gives it the node's servers, before there are clients, and suspends what the fleet has suspended: as the node
// knows that has applied the latest version, or as it was when this node ended.
func (s *Service) Attach(control ServerControl) {
	s.mu.Lock()
	s.control = control
	s.mu.Unlock()
	if latest, found := s.askOthersAtStart(); found {
		s.suspensions.apply(control, latest.Version, latest.Suspended, true)
		return
	}
	if stored, err := s.suspensions.load(); err == nil {
		s.suspensions.apply(control, 0, stored, true)
	}
}

// Start begins to report to the leader and, on a voter, to replicate the log, for a process that has got the node's
// membership. It may be called again after Stop.
func (s *Service) Start(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := make(chan struct{})
	s.incarnation = incarnation
	s.stop = stop
	s.tasks.Go(func() { s.reportLoop(stop) })
	s.tasks.Go(func() { s.advanceLoop(stop) })
	s.participant.Start()
}

// Stop ends what Start began, and returns once the log is closed.
func (s *Service) Stop() {
	s.mu.Lock()
	stop := s.stop
	s.incarnation = ""
	s.stop = nil
	s.mu.Unlock()
	if stop != nil {
		close(stop)
		s.participant.Stop()
		s.tasks.Wait()
	}
}

// Status is a line for operators, as the leader said last.
func (s *Service) Status() string {
	_, suspended := s.suspensions.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("rounds: out by the fleet's word: %v", suspended)
	for i := len(s.rounds) - 1; i >= 0; i-- { // the newest first
		text += "; " + s.rounds[i].String()
		if s.rounds[i].State == Running && len(s.waitingFor) > 0 {
			text += ", waits for " + strings.Join(s.waitingFor, " ")
		}
	}
	return text
}

// Counters are the counters, for the log.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("round_asks=%d round_lost=%d round_steps=%d round_applied=%d",
		c.requests.Load(), c.failedRequests.Load(), c.steps.Load(), s.suspensions.applied.Load())
}
