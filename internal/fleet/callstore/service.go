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

// The channels of the members' streams that a Service uses.
const (
	VotersChannel = 3 // between voters
	CallsChannel  = 4 // from owners of calls to the leader
)

// logMessage is the message of the service's log lines.
const logMessage = "fleet work"

// Config is what a Service is made of.
type Config struct {
	Name      string // of the node
	Voters    raftlog.VoterSet
	Directory string // of the node; the log is in a directory below it
	Limits    Limits // that the leader puts into the log
	MaxOwners int    // that may send one call
	// Dial opens a stream to another member.
	Dial func(name string, channel byte, timeout time.Duration) (net.Conn, error)
	// NextView waits for a view of the fleet with a number beyond after.
	NextView func(ctx context.Context, after uint64) (*member.View, error)
	Log      *slog.Logger     // nil: nothing is logged
	Record   *record.Recorder // nil: nothing is recorded
}

// Service is a process's part in storing calls. Its methods may be called from any goroutine.
type Service struct {
	config      Config
	participant *raftlog.Participant
	client      *client
	counters    counters

	lastCall       atomic.Uint64 // number of the last owner
	pendingReports atomic.Int64  // EndRequests that are sent in the background

	mu                  sync.Mutex
	incarnation         string // "": this process does not hold the node's membership
	previousIncarnation string // in which it last held the membership
	startedAt           time.Time
	stoppedAt           time.Time
	log                 *raftlog.Log // nil: this process is no voter, or its log is not open
	ledger              *ledger      // with log
	clock               termClock
	view                *member.View // nil: none has come since Start
	stop                context.CancelFunc
	tasks               sync.WaitGroup
}

type counters struct {
	begun     atomic.Int64
	stored    atomic.Int64
	unknown   atomic.Int64
	elsewhere atomic.Int64 // begins that were not granted
	rejected  atomic.Int64 // begins without an answer
	released  atomic.Int64
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
		answer: s.answerLocally,
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

// Start begins to follow views, to release the calls of failed processes and, on a voter, to replicate the log, for a
// process that has got the node's membership: home and number are its incarnation. It may be called
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

// Stop ends what Start began, and returns once the log is closed. Reports on calls that this process owns go on for
// handoverGrace.
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

// SetVoters takes the voters of a fleet file that was read again.
func (s *Service) SetVoters(voters raftlog.VoterSet) {
	s.participant.SetVoters(voters)
}

// ServeVoters takes a stream from another voter, and returns once that is closed.
func (s *Service) ServeVoters(conn net.Conn, from string) {
	s.participant.ServeStream(conn, from)
}

// Status is a line for operators.
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

// Counters are the counters, for the log.
func (s *Service) Counters() string {
	c := &s.counters
	return fmt.Sprintf("work_begun=%d work_kept=%d work_unknown=%d work_elsewhere=%d work_refused=%d work_taken_over=%d",
		c.begun.Load(), c.stored.Load(), c.unknown.Load(), c.elsewhere.Load(), c.rejected.Load(), c.released.Load())
}
