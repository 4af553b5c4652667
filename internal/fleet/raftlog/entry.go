package raftlog

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// ErrMalformedEntry reports that a log entry is not a valid command of the state machine.
var ErrMalformedEntry = errors.New("not of this form")

// MalformedEntry returns the error that a state machine returns for an invalid entry. It wraps ErrMalformedEntry and
// cause, which is the decoding error or nil.
func MalformedEntry(entry *raft.Log, cause error) error {
	return fmt.Errorf("log entry %d: %w", entry.Index, errors.Join(cause, ErrMalformedEntry))
}
