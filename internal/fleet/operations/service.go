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

// Channels of the streams between members that a Service uses.
const (
	VotersChannel = 5 // raft traffic between voters
	NodesChannel  = 6 // requests from nodes to the leader
)

// logMessage is the message of the service's log lines.
const logMessage = "fleet rounds"

// ServerControl suspends and restores servers in all processes of this node. Its methods may be called from any
// goroutine.
type ServerControl interface {
	// Suspend takes a server out of use. After an error some process of the node may still use the server.
	Suspend(server string) error
	// Restore returns a server to use. It returns an error if no endpoint list has the server.
	Restore(server string) error
	// Suspended returns the suspended servers, including those that an operator has suspended at this node alone.
	Suspended() []string
	// Busy returns the number of calls that this process has open at a server.
	Busy(server string) int
	// Listed returns the servers that accept new calls.
	Listed() []string
	// Known reports whether an endpoint list has ever had the server.
	Known(server string) bool
}

// Config configures a Service.
type Config struct {
	Name      string // node name
	Voters    raftlog.VoterSet
	Directory string // directory of the node; the raft log is in its subdirectory rounds
	// Dial opens a stream to another member.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// View returns the present view of the fleet.
	View func() *member.View
	// Others returns the addresses of other nodes, and DialAddr opens a stream to such an address. A starting node uses
	// both before it holds its membership. Others may be nil, and then DialAddr is not used.
	Others   func() []string
	DialAddr func(addr string, channel byte, timeout time.Duration) (net.Conn, error)
	Log      *slog.Logger     // nil disables logging
	Record   *record.Recorder // nil disables recording
}

// Service executes operators' calls for the fleet on behalf of one process, and takes part in replication if the node
// is a voter. Its methods may be called from any goroutine.
type Service struct {
	config      Config
	participant *raftlog.Participant
	hint        raftlog.LeaderHint
	suspensions *suspensions
	counters    counters

	mu          sync.Mutex
	control     ServerControl // nil until Attach, while the node is starting
	incarnation string        // "" if this process does not hold the node's membership
	stop        chan struct{} // closed by Stop; nil if this process does not hold the node's membership
	log         *raftlog.Log  // nil if this process is not a voter or its log is not open
	ledger      *ledger       // state machine of log; nil if log is nil
	rounds      []Round       // from the leader's last response
	waitingFor  []string      // nodes for which the running round waits
	tasks       sync.WaitGroup

	// The following fields are used only while this process is the leader.
	reports map[string]receivedReport // by node
	// pendingStep is the next advance of the running round, and pendingSince the time when this process first saw the
	// round in that step.
	pendingStep  AdvanceRequest
	pendingSince time.Time
}

type counters struct {
	requests       atomic.Int64 // reports sent to the leader
	failedRequests atomic.Int64 // reports without a response from the leader
	steps          atomic.Int64 // steps by which this process advanced rounds as the leader
}

// New returns a Service that is idle until Attach and Start.
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

// setLog sets the open log and its state machine, or nil for both when the log closes.
func (s *Service) setLog(log *raftlog.Log, state raft.FSM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
	s.ledger, _ = state.(*ledger)
}

// currentLog returns the open log and its state machine, or nil for both if no log is open.
func (s *Service) currentLog() (*raftlog.Log, *ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log, s.ledger
}

// SetVoters sets the voters after the fleet file was reloaded.
func (s *Service) SetVoters(voters raftlog.VoterSet) {
	s.participant.SetVoters(voters)
}

// ServeVoters serves a stream from another voter, and returns after the stream is closed.
func (s *Service) ServeVoters(conn net.Conn, from string) {
	s.participant.ServeStream(conn, from)
}

// Attach sets the control over the node's servers and suspends the servers that the fleet has suspended. It is called
// before the node accepts clients. The suspended servers come from the other node with the latest version or, if none
// responds, from the file that this node wrote before it stopped.
func (s *Service) Attach(control ServerControl) {
	s.mu.Lock()
	s.control = control
	s.mu.Unlock()
	if latest, found := s.fetchSuspensions(); found {
		s.suspensions.apply(control, latest.Version, latest.Suspended, true)
		return
	}
	if stored, err := s.suspensions.load(); err == nil {
		s.suspensions.apply(control, 0, stored, true)
	}
}

// Start starts reporting to the leader and, on a voter, replicating the log. The caller has acquired the node's
// membership for this process, in the given incarnation. Start may be called again after Stop.
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

// Stop stops all tasks that Start started, and returns after the log is closed.
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

// Status returns a one-line summary for operators, from the leader's last response.
func (s *Service) Status() string {
	_, suspended := s.suspensions.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("rounds: out by the fleet's word: %v", suspended)
	for i := len(s.rounds) - 1; i >= 0; i-- { // newest first
		text += "; " + s.rounds[i].String()
		if s.rounds[i].State == Running && len(s.waitingFor) > 0 {
			text += ", waits for " + strings.Join(s.waitingFor, " ")
		}
	}
	return text
}

// Counters returns the counters as key=value pairs for the log.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("round_asks=%d round_lost=%d round_steps=%d round_applied=%d",
		c.requests.Load(), c.failedRequests.Load(), c.steps.Load(), s.suspensions.applied.Load())
}
