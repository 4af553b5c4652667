// Package record writes the state changes and actions of a fleet process to a file, as one line of JSON per event with
// the time of the machine's monotonic clock. All processes of a machine share that clock, so that a test can compare
// the records of several processes with its own observations.
package record

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const fileMode = 0o600

// Line is one event. Kind determines the type of Data.
type Line struct {
	At   int64           `json:"at"` // nanoseconds of CLOCK_MONOTONIC
	Node string          `json:"node"`
	PID  int             `json:"pid"`
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
}

// Now returns the time of the machine's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // does not happen: Go itself requires a kernel with this clock
	}
	return time.Duration(t.Nano())
}

// Recorder writes the record of one process. A nil Recorder records nothing. Each line is a single write, so that a
// process that is killed leaves no partial line. Its methods may be called from any goroutine.
type Recorder struct {
	node string

	mu   sync.Mutex
	file *os.File
}

// Open opens the record file of a node for appending, and creates it if it does not exist.
func Open(path, node string) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Recorder{node: node, file: file}, nil
}

// Write records an event with the present time; data may be nil. Errors are ignored so that the process continues: the
// record then lacks the line.
func (r *Recorder) Write(kind string, data any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writeLocked(kind, data)
}

// writeLocked writes one line. The caller holds r.mu, so that the lines of a file are in order of their times.
func (r *Recorder) writeLocked(kind string, data any) error {
	line := Line{At: int64(Now()), Node: r.node, PID: os.Getpid(), Kind: kind}
	if data != nil {
		encoded, err := json.Marshal(data)
		if err != nil {
			return err
		}
		line.Data = encoded
	}
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, err = r.file.Write(append(text, '\n'))
	return err
}
