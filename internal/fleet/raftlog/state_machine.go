package raftlog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// stateMachine extends the service's state machine by the last committed voter set.
type stateMachine struct {
	raft.FSM

	mu     sync.Mutex
	voters VoterSet
}

// voterSet returns the last committed voter set.
func (s *stateMachine) voterSet() VoterSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voters
}

// Apply implements raft.FSM.
func (s *stateMachine) Apply(entry *raft.Log) any {
	if !isVoterSet(entry.Data) {
		return s.FSM.Apply(entry)
	}
	voters, err := decodeVoterSet(entry.Data)
	if err != nil {
		return fmt.Errorf("log entry %d: decode voter set: %w", entry.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if voters.Edition > s.voters.Edition && len(voters.Names) > 0 {
		s.voters = voters
	}
	return nil
}

// Snapshot implements raft.FSM.
func (s *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	inner, err := s.FSM.Snapshot()
	if err != nil {
		return nil, err
	}
	return votersSnapshot{FSMSnapshot: inner, voters: s.voterSet()}, nil
}

// votersSnapshot is a snapshot with a line that holds the voter set, followed by the service's snapshot.
type votersSnapshot struct {
	raft.FSMSnapshot
	voters VoterSet
}

// Persist implements raft.FSMSnapshot.
func (s votersSnapshot) Persist(sink raft.SnapshotSink) error {
	line, err := encodeVoterSet(s.voters)
	if err == nil {
		_, err = sink.Write(append(line, '\n'))
	}
	if err != nil {
		_ = sink.Cancel()
		return err
	}
	return s.FSMSnapshot.Persist(sink)
}

// Restore implements raft.FSM. Snapshots from builds that could not change the voters have no voter set.
func (s *stateMachine) Restore(snapshot io.ReadCloser) error {
	in := bufio.NewReader(snapshot)
	voters, err := readVoterSet(in)
	if err != nil {
		return errors.Join(fmt.Errorf("decode voter set in snapshot: %w", err), snapshot.Close())
	}
	s.mu.Lock()
	s.voters = voters
	s.mu.Unlock()
	return s.FSM.Restore(bufferedSnapshot{Reader: in, Closer: snapshot})
}

// readVoterSet reads the voter set at the beginning of a snapshot. It returns the zero VoterSet if there is none.
func readVoterSet(in *bufio.Reader) (VoterSet, error) {
	first, err := in.Peek(1)
	if err != nil || !isVoterSet(first) {
		return VoterSet{}, nil // no voter set; the service's state machine reports read errors
	}
	line, err := in.ReadBytes('\n')
	if err != nil {
		return VoterSet{}, err
	}
	return decodeVoterSet(line)
}

// bufferedSnapshot is the remainder of a snapshot after the voter set has been read.
type bufferedSnapshot struct {
	io.Reader
	io.Closer
}
