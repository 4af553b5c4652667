package callstore

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
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
	VotersChannel = 3 // raft traffic between voters
	CallsChannel  = 4 // requests from the owners of calls to the leader
)

// logMessage is the message of the service's log lines.
const logMessage = "fleet work"

// Config configures a Service.
type Config struct {
	Name      string // node name
	Voters    raftlog.VoterSet
	Directory string // directory of the node; the raft log is in its subdirectory work
	Limits    Limits // limits that this process adds to commands while it is the leader
	MaxOwners int    // limit on owners that may send one call
	// Dial opens a stream to another member.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// NextView waits for a view of the fleet whose number is greater than after.
	NextView func(ctx context.Context, after uint64) (*member.View, error)
	Log      *slog.Logger     // nil disables logging
	Record   *record.Recorder // nil disables recording
}

// Service stores calls on behalf of one process, and takes part in replication if the node is a voter. Its methods may
// be called from any goroutine.
type Service struct {
	config      Config
	participant *raftlog.Participant
	client      *client
	counters    counters

	lastCall       atomic.Uint64 // Owner.Call of the last owner that NewOwner returned
	pendingReports atomic.Int64  // number of EndRequests that are retried in the background

	mu                  sync.Mutex
	incarnation         string // "" if this process does not hold the node's membership
	previousIncarnation string // incarnation in which this process last held the membership
	startedAt           time.Time
	stoppedAt           time.Time
	log                 *raftlog.Log // nil if this process is not a voter or its log is not open
	ledger              *ledger      // state machine of log; nil if log is nil
	clock               termClock
	view                *member.View // nil if no view was received since Start
	stop                context.CancelFunc
	tasks               sync.WaitGroup
}

type counters struct {
	granted      atomic.Int64 // BeginRequests that were granted
	stored       atomic.Int64 // calls that ended as Answered
	unknown      atomic.Int64 // calls that ended as Unknown
	notGranted   atomic.Int64 // BeginRequests that were not granted
	failedBegins atomic.Int64 // BeginRequests without a response from a leader
	released     atomic.Int64 // calls that this process released as the leader
}

// New returns a Service that stores nothing until Start.
func New(config Config) *Service {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	s := &Service{config: config}
	s.participant = raftlog.NewParticipant(raftlog.ParticipantConfig{
		Name:       config.Name,
		Voters:     config.Voters,
		Directory:  filepath.Join(config.Directory, "work"),
		LogMessage: logMessage,
		Log:        config.Log,
		Dial: func(name string, timeout time.Duration) (net.Conn, error) {
			return config.Dial(name, VotersChannel, timeout)
		},
		NewState: func() raft.FSM { return newLedger() },
		OnOpen:   s.setLog,
		OnClose:  func() { s.setLog(nil, nil) },
	})
	s.client = newClient(clientConfig{
		name:   config.Name,
		voters: func() []string { return s.participant.Voters().Names },
		dial: func(name string) (net.Conn, error) {
			return config.Dial(name, CallsChannel, requestTimeout)
		},
		handle: s.handleLocally,
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

// Start starts receiving views, releasing the calls of failed processes and, on a voter, replicating the log. The
// caller has acquired the node's membership for this process; home and number are the incarnation. Start may be called
// again after Stop.
func (s *Service) Start(home string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	s.incarnation = fmt.Sprintf("%s/%d", home, number)
	s.startedAt = time.Now()
	s.stop = stop
	s.view = nil
	s.client.start()
	s.tasks.Go(func() { s.followViews(ctx) })
	s.tasks.Go(func() { s.sweep(ctx) })
	s.participant.Start()
}

// Stop stops all tasks that Start started, and returns after the log is closed. Reports on calls that this process owns
// continue for handoverGrace.
func (s *Service) Stop() {
	s.mu.Lock()
	if s.stop == nil {
		s.mu.Unlock()
		return
	}
	s.stop()
	s.stop = nil
	s.previousIncarnation = s.incarnation
	s.incarnation = ""
	s.stoppedAt = time.Now()
	s.mu.Unlock()
	s.client.closeStreams()
	s.participant.Stop()
	s.tasks.Wait()
}

// SetVoters sets the voters after the fleet file was reloaded.
func (s *Service) SetVoters(voters raftlog.VoterSet) {
	s.participant.SetVoters(voters)
}

// ServeVoters serves a stream from another voter, and returns after the stream is closed.
func (s *Service) ServeVoters(conn net.Conn, from string) {
	s.participant.ServeStream(conn, from)
}

// Status returns a one-line summary for operators.
func (s *Service) Status() string {
	s.mu.Lock()
	log, ledger, incarnation := s.log, s.ledger, s.incarnation
	s.mu.Unlock()
	switch {
	case incarnation == "":
		return "work: none is kept without a place in the fleet"
	case log == nil:
		return "work: kept by others"
	}
	count := ledger.countByState()
	return fmt.Sprintf("work: %d running, %d free, %d answered, %d unknown; kept by %s",
		count[Running], count[Free], count[Answered], count[Unknown], log.Leader())
}

// Counters returns the counters as key=value pairs for the log.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("work_begun=%d work_kept=%d work_unknown=%d work_elsewhere=%d work_refused=%d work_taken_over=%d",
		c.granted.Load(), c.stored.Load(), c.unknown.Load(), c.notGranted.Load(), c.failedBegins.Load(), c.released.Load())
}
