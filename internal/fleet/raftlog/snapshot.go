package raftlog

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// Snapshot is the JSON encoding of a state machine's state. It implements raft.FSMSnapshot.
type Snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s Snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (Snapshot) Release() {}

// EncodeSnapshot returns a Snapshot of a state. The state must not change during the call.
func EncodeSnapshot(state any) (raft.FSMSnapshot, error) {
	data, err := json.Marshal(state)
	return Snapshot(data), err
}

// DecodeSnapshot decodes a snapshot into a state and closes the snapshot. The name of the state appears in the error.
func DecodeSnapshot(snapshot io.ReadCloser, name string, into any) error {
	defer func() { _ = snapshot.Close() }()
	if err := json.NewDecoder(snapshot).Decode(into); err != nil {
		return fmt.Errorf("decode %s snapshot: %w", name, err)
	}
	return nil
}
