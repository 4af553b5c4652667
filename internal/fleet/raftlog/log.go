package raftlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	// electionTimeout is the duration without a heartbeat after which a voter starts an election.
	electionTimeout = 500 * time.Millisecond
	// leaderLease is the duration without contact to a quorum after which a leader steps down.
	leaderLease = 250 * time.Millisecond
	// commitInterval is the interval at which a leader sends the commit index to idle followers.
	commitInterval = 25 * time.Millisecond
	// applyTimeout limits the wait for the leader to enqueue an entry, and for one exchange of the raft transport.
	applyTimeout = time.Second
	// transferTimeout limits the transfer of leadership during a planned shutdown, because the node's other process may
	// be waiting for it.
	transferTimeout = 150 * time.Millisecond
	// closeTimeout limits the time for Close. Raft completes every operation in progress, and each takes up to one second.
	// A process that exits must not wait longer. A process that hands over may continue to close the log in the
	// background: its successor opens the log when the log is closed.
	closeTimeout = 4 * time.Second
	// FileLockTimeout limits the wait for the lock on the log's file, which the node's other process may hold.
	FileLockTimeout = 100 * time.Millisecond

	// snapshotThreshold is the number of entries after which a snapshot is taken.
	snapshotThreshold = 1024
	// trailingEntries is the number of entries that are retained after a snapshot, for followers that lag behind.
	trailingEntries = 256
	// snapshotsRetained is the number of snapshots retained on disk.
	snapshotsRetained = 2
	// connectionsPerVoter is the limit on idle connections to each voter.
	connectionsPerVoter = 3

	directoryMode = 0o700
	logFile       = "log.db"
)

// ErrClosed reports that this process closed its log. A command that was proposed before may still be committed.
var ErrClosed = errors.New("the log is closed")

// ErrNotProposed reports that a command was not appended to the log, so that it will never be committed.
var ErrNotProposed = errors.New("the command was not proposed")

// Log is this process's replica of a raft log. Its methods may be called from any goroutine.
type Log struct {
	name      string // name of this voter
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	layer     *StreamLayer
	transport *raft.NetworkTransport
	state     *stateMachine

	closed      chan struct{} // closed when the log starts to shut down
	closeOnce   sync.Once
	removed     chan struct{} // see Removed
	removedOnce sync.Once
	maintenance sync.WaitGroup // waits for maintainMembership

	mu              sync.Mutex
	configured      VoterSet  // voter set in this process's fleet file
	configuredSince time.Time // time at which configured was set
}

// Open opens the replica of the named voter in a directory. voters is the voter set in the process's fleet file, and
// committed entries are applied to fsm. A new log is bootstrapped only with the first edition of the voter set; with a
// later edition it stays empty until the leader adds this voter.
func Open(directory, name string, voters VoterSet, layer *StreamLayer, fsm raft.FSM) (*Log, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fmt.Errorf("open raft log: %w", err)
	}
	path := filepath.Join(directory, logFile)
	store, err := raftboltdb.New(raftboltdb.Options{
		Path:        path,
		BoltOptions: &bbolt.Options{Timeout: FileLockTimeout},
	})
	if err != nil {
		return nil, fmt.Errorf("open raft log: %s: %w", path, err)
	}
	l := &Log{
		name:            name,
		store:           store,
		layer:           layer,
		state:           &stateMachine{FSM: fsm},
		closed:          make(chan struct{}),
		removed:         make(chan struct{}),
		configured:      voters,
		configuredSince: time.Now(),
	}
	if err := l.start(directory, voters); err != nil {
		_ = store.Close()
		return nil, fmt.Errorf("open raft log: %w", err)
	}
	l.maintenance.Go(l.maintainMembership)
	return l, nil
}

// start starts raft. It bootstraps a new log if voters has the first edition.
func (l *Log) start(directory string, voters VoterSet) error {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(directory, snapshotsRetained, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	config := raftConfig(l.name)
	l.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  l.layer,
		MaxPool: connectionsPerVoter,
		Timeout: applyTimeout,
		Logger:  hclog.NewNullLogger(),
	})
	exists, err := raft.HasExistingState(l.store, l.store, snapshots)
	if err != nil {
		return err
	}
	if !exists && voters.Edition <= firstEdition {
		servers := raft.Configuration{Servers: raftServers(voters.Names)}
		if err := raft.BootstrapCluster(config, l.store, l.store, snapshots, l.transport, servers); err != nil {
			return err
		}
	}
	l.raft, err = raft.NewRaft(config, l.state, l.store, l.store, snapshots, l.transport)
	return err
}

func raftConfig(name string) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(name)
	config.HeartbeatTimeout = electionTimeout
	config.ElectionTimeout = electionTimeout
	config.LeaderLeaseTimeout = leaderLease
	config.CommitTimeout = commitInterval
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = trailingEntries
	config.Logger = hclog.NewNullLogger() // the services' status and counters replace raft's log
	return config
}

func raftServers(names []string) []raft.Server {
	var servers []raft.Server
	for _, name := range names {
		servers = append(servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	return servers
}

// IsLeader reports whether this process considers itself the leader. VerifyLeader confirms that with a quorum.
func (l *Log) IsLeader() bool {
	return l.raft.State() == raft.Leader
}

// Term returns the raft term known to this process.
func (l *Log) Term() uint64 {
	return l.raft.CurrentTerm()
}

// Leader returns the name of the leader known to this process, or "" if it knows none.
func (l *Log) Leader() string {
	_, id := l.raft.LeaderWithID()
	return string(id)
}

// VerifyLeader returns nil if a quorum confirms that this process was still the leader at some time after the call
// began.
func (l *Log) VerifyLeader() error {
	return l.await(l.raft.VerifyLeader())
}

// Propose appends a command, encoded as JSON, waits until it is committed and applied, and returns the result of the
// state machine. It returns an error if the state machine returns one, if this process is not the leader, or if the log
// is closed meanwhile. In the last two cases the command may still be committed, unless the error wraps ErrNotProposed.
func (l *Log) Propose(command any) (any, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, err
	}
	future := l.raft.Apply(data, applyTimeout)
	if err := l.await(future); err != nil {
		return nil, proposeError(err)
	}
	if err, failed := future.Response().(error); failed {
		return nil, err
	}
	return future.Response(), nil
}

// proposeError wraps an error of raft in ErrNotProposed if raft returns it only for commands that it has not appended.
func proposeError(err error) error {
	for _, notAppended := range []error{raft.ErrNotLeader, raft.ErrEnqueueTimeout, raft.ErrLeadershipTransferInProgress} {
		if errors.Is(err, notAppended) {
			return fmt.Errorf("%w: %w", ErrNotProposed, err)
		}
	}
	return err
}

// await waits until a future completes or Close is called. Raft never completes the futures in its queue when it shuts
// down, so that a caller that waits for the future alone could block forever.
func (l *Log) await(future raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- future.Error() }()
	select {
	case err := <-done:
		return err
	case <-l.closed:
		return ErrClosed
	}
}

// Close transfers leadership if this process is the leader, and closes the log and its files. It returns false if that
// takes longer than closeTimeout, and then continues in the background.
func (l *Log) Close() bool {
	done := make(chan struct{})
	go func() {
		l.closeOnce.Do(l.shutDown)
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(closeTimeout):
		return false
	}
}

func (l *Log) shutDown() {
	if l.IsLeader() {
		l.transferLeadership()
	}
	close(l.closed)
	l.maintenance.Wait()
	_ = l.layer.Close()
	_ = l.raft.Shutdown().Error()
	_ = l.transport.Close()
	_ = l.store.Close()
}

// transferLeadership transfers leadership to another voter, so that the voters need not wait for an election timeout.
// It returns after transferTimeout at the latest.
func (l *Log) transferLeadership() {
	transferred := make(chan struct{})
	go func() {
		_ = l.raft.LeadershipTransfer().Error()
		close(transferred)
	}()
	select {
	case <-transferred:
	case <-time.After(transferTimeout):
	}
}
