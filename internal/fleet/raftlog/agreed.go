// Package agreed is a log that a few members, the voters, agree on: what is in it outlives any of them but a majority. Who
// adds to it is whoever they have elected.
package raftlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	electAfter  = 500 * time.Millisecond
	leadFor     = 250 * time.Millisecond
	applyWithin = time.Second
	// transferWithin is how long a planned end may take to name a successor: the node's other process may wait for it.
	transferWithin = 150 * time.Millisecond
	// LockWithin is how long the log's file may be held by the node's other process.
	FileLockTimeout = 100 * time.Millisecond
)

// Log is this process's part in keeping a log.
type Log struct {
	raft  *raft.Raft
	store *raftboltdb.BoltStore
	layer *StreamLayer
	trans *raft.NetworkTransport
	over  chan struct{} // closed by Close
	gone  chan struct{} // see Gone
	once  sync.Once
	state *state
	tends sync.WaitGroup
	ends  sync.Once

	mu    sync.Mutex
	file  VoterSet // that this process's file has
	since time.Time
}

// Open takes part in keeping a log, as one of the voters. What is agreed on goes to the user's state. A voter that is new with
// an edition beyond the first waits until the others take it in.
func Open(dir, name string, voters VoterSet, l *StreamLayer, user raft.FSM) (*Log, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("the book: %w", err)
	}
	store, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, "log.db"),
		BoltOptions: &bbolt.Options{Timeout: FileLockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("the book: %s: %w", filepath.Join(dir, "log.db"), err)
	}
	b := &Log{store: store, layer: l, over: make(chan struct{}), gone: make(chan struct{}), state: &state{FSM: user},
		file: voters, since: time.Now()}
	if err := b.start(dir, name, voters); err != nil {
		store.Close()
		return nil, fmt.Errorf("the book: %w", err)
	}
	b.tends.Go(func() { b.tend(name) })
	return b, nil
}

func (b *Log) start(dir, name string, voters VoterSet) error {
	snaps, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = electAfter, electAfter, leadFor
	c.CommitTimeout = 25 * time.Millisecond
	c.SnapshotThreshold, c.TrailingLogs = 1024, 256
	c.Logger = hclog.NewNullLogger() // what matters shows in status and counters
	b.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: b.layer, MaxPool: 3, Timeout: applyWithin, Logger: hclog.NewNullLogger()})
	known, err := raft.HasExistingState(b.store, b.store, snaps)
	if err != nil {
		return err
	}
	if !known && voters.Edition <= 1 {
		var all raft.Configuration
		for _, k := range voters.Names {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(k), Address: raft.ServerAddress(k)})
		}
		if err := raft.BootstrapCluster(c, b.store, b.store, snaps, b.trans, all); err != nil {
			return err
		}
	}
	b.raft, err = raft.NewRaft(c, b.state, b.store, b.store, snaps, b.trans)
	return err
}

// Leads reports whether this process was elected, as far as it knows.
func (b *Log) IsLeader() bool { return b.raft.State() == raft.Leader }

// Term is the term of office, as far as this process knows.
func (b *Log) Term() uint64 { return b.raft.CurrentTerm() }

// Verify finds that this process leads still, at some time after the call.
func (b *Log) VerifyLeader() error { return b.await(b.raft.VerifyLeader()) }

// ErrOver says that this process's part in the log has ended. What was to be agreed on may have been.
var ErrClosed = errors.New("the log is closed")

// await waits for what the library promises, or for the end: what is in the library's queue just then it never answers, and
// whoever waited for it would do so for good.
func (b *Log) await(f raft.Future) error {
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		return err
	case <-b.over:
		return ErrClosed
	}
}

// Leader is who leads, as far as this process knows; "": nobody.
func (b *Log) Leader() string {
	_, id := b.raft.LeaderWithID()
	return string(id)
}

// Agree lets the voters agree on a command, and returns what came of it.
func (b *Log) Propose(command any) (any, error) {
	data, err := json.Marshal(command)
	if err != nil {
		return nil, err
	}
	f := b.raft.Apply(data, applyWithin)
	if err := b.await(f); err != nil {
		return nil, err
	}
	if err, bad := f.Response().(error); bad {
		return nil, err
	}
	return f.Response(), nil
}

// closeWithin is how long the end may take: the library waits for all that it has begun, of which each step has a second or
// less. A process that ends must not wait longer; one that hands over may, and its successor opens the log once it has ended.
const closeWithin = 4 * time.Second

// Close ends this process's part, and lets go of its files. It reports whether that was done in time; if not, it goes on by
// itself.
func (b *Log) Close() bool {
	done := make(chan struct{})
	go func() {
		b.ends.Do(b.end)
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(closeWithin):
		return false
	}
}

func (b *Log) end() {
	if b.IsLeader() { // another need not find out that it is gone
		moved := make(chan error, 1)
		go func() { moved <- b.raft.LeadershipTransfer().Error() }()
		select {
		case <-moved:
		case <-time.After(transferWithin):
		}
	}
	close(b.over)
	b.tends.Wait()
	b.layer.Close()
	b.raft.Shutdown().Error()
	b.trans.Close()
	b.store.Close()
}

// Snapshot is a state as JSON.
type Snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s Snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (Snapshot) Release() {}

// Freeze makes a snapshot of a state, which nobody changes meanwhile.
func EncodeSnapshot(state any) (raft.FSMSnapshot, error) {
	data, err := json.Marshal(state)
	return Snapshot(data), err
}

// Thaw reads a snapshot into a new state; what says of what it is.
func DecodeSnapshot(r io.ReadCloser, what string, into any) error {
	defer r.Close()
	if err := json.NewDecoder(r).Decode(into); err != nil {
		return fmt.Errorf("snapshot of the %s: %w", what, err)
	}
	return nil
}
