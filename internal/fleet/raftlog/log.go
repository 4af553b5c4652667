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
	// electionTimeout is how long a voter waits for a heartbeat before it stands for election.
	electionTimeout = 500 * time.Millisecond
	// leaderLease is how long a leader goes on without contact to a quorum.
	leaderLease = 250 * time.Millisecond
	// commitInterval is how often a leader tells idle followers what is committed.
	commitInterval = 25 * time.Millisecond
	// applyTimeout bounds the wait until an entry is in the leader's queue.
	applyTimeout = time.Second
	// transferTimeout bounds the transfer of leadership at a planned end: the node's other process may wait for it.
	transferTimeout = 150 * time.Millisecond
	// closeTimeout bounds Close. Raft waits for every step that it has begun, each a second or less. A process that ends
	// must not wait longer; one that hands over may, and its successor opens the log once it has ended.
	closeTimeout = 4 * time.Second
	// FileLockTimeout is how long the node's other process may hold the log's file.
	FileLockTimeout = 100 * time.Millisecond

	// snapshotThreshold is the number of entries after which a snapshot is taken.
	snapshotThreshold = 1024
	// trailingEntries is the number of entries that are kept behind a snapshot, for followers that lag.
	trailingEntries = 256
	// snapshotsRetained is the number of snapshots on disk.
	snapshotsRetained = 2
	// connectionsPerVoter bounds the idle connections to each voter.
	connectionsPerVoter = 3

	directoryMode = 0o700
	logFile       = "log.db"
)

// ErrClosed says that this process's log was closed. A command that was proposed may have been committed all the same.
var ErrClosed = errors.New("the log is closed")

// Log is this process's replica of a raft log. Its methods may be called from any goroutine.
type Log struct {
	name      string // of this voter
	raft      *raft.Raft
	store     *raftboltdb.BoltStore
	layer     *StreamLayer
	transport *raft.NetworkTransport
	state     *stateMachine

	closed      chan struct{} // closed once the log is shutting down
	closeOnce   sync.Once
	removed     chan struct{} // see Removed
	removedOnce sync.Once
	maintenance sync.WaitGroup

	mu              sync.Mutex
	configured      VoterSet  // by this process's fleet file
	configuredSince time.Time // when that was set
}

// Open opens the replica of the voter called name in a directory, with the voters that its fleet file names. Committed
// entries are applied to fsm. A voter that is new with an edition beyond the first waits until the leader adds it.
func Open(directory, name string, voters VoterSet, layer *StreamLayer, fsm raft.FSM) (*Log, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fmt.Errorf("the book: %w", err)
	}
	path := filepath.Join(directory, logFile)
	store, err := raftboltdb.New(raftboltdb.Options{
		Path:        path,
		BoltOptions: &bbolt.Options{Timeout: FileLockTimeout},
	})
	if err != nil {
		return nil, fmt.Errorf("the book: %s: %w", path, err)
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
		return nil, fmt.Errorf("the book: %w", err)
	}
	l.maintenance.Go(l.maintainMembership)
	return l, nil
}

// start starts raft, and bootstraps a log that is new and has the first voters.
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
	config.Logger = hclog.NewNullLogger() // what matters shows in status and counters
	return config
}

func raftServers(names []string) []raft.Server {
	var servers []raft.Server
	for _, name := range names {
		servers = append(servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(name)})
	}
	return servers
}

// IsLeader reports whether this process is the leader, as far as it knows. VerifyLeader asks a quorum.
func (l *Log) IsLeader() bool {
	return l.raft.State() == raft.Leader
}

// Term is raft's term, as far as this process knows.
func (l *Log) Term() uint64 {
	return l.raft.CurrentTerm()
}

// Leader is the name of the leader as far as this process knows; "" if it knows of none.
func (l *Log) Leader() string {
	_, id := l.raft.LeaderWithID()
	return string(id)
}

// VerifyLeader asks a quorum, and returns nil if this process still led at some time after the call.
func (l *Log) VerifyLeader() error {
	return l.await(l.raft.VerifyLeader())
}

// Propose appends a command, encoded as JSON, and returns what the state machine returned for it once it is committed.
// If that is an error, or this process does not lead, or the log is closed meanwhile, it returns the error; in the last
// two cases the command may be committed all the same.
func (l *Log) Propose(command any) (any, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, err
	}
	future := l.raft.Apply(data, applyTimeout)
	if err := l.await(future); err != nil {
		return nil, err
	}
	if err, failed := future.Response().(error); failed {
		return nil, err
	}
	return future.Response(), nil
}

// await waits for a future or for Close. Raft never answers what is in its queue when it shuts down: without the second
// a caller would wait for good.
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

// Close transfers leadership if this process leads, and closes the log and its files. It reports whether that was done
// within closeTimeout; if not, it goes on in the background.
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

// transferLeadership spares the other voters an election timeout.
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
