package raftlog

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// ErrMalformedEntry says that a log entry is no command of the state machine's.
var ErrMalformedEntry = errors.New("not of this form")

// MalformedEntry is what a state machine returns for such an entry; cause, which may be nil, says what is wrong with
// it.
func MalformedEntry(entry *raft.Log, cause error) error {
	return fmt.Errorf("log entry %d: %w", entry.Index, errors.Join(cause, ErrMalformedEntry))
}
