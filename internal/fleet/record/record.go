// Package record writes what a process of a fleet believed and did: a line of JSON for each event, with the time of the
// machine's monotonic clock. All processes of a machine share that clock, so that whoever judges a fleet can compare
// the records of its processes with what was seen from outside.
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

// Line is one event. Its kind names the form of the data.
type Line struct {
	At   int64           `json:"at"` // nanoseconds of CLOCK_MONOTONIC
	Node string          `json:"node"`
	PID  int             `json:"pid"`
	Kind string          `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
}

// Now is the machine's monotonic clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // a kernel without that clock runs no Go
	}
	return time.Duration(t.Nano())
}

// Recorder writes a process's record. A nil Recorder records nothing. Each line is one write, so that the lines of a
// process that was killed are complete. Its methods may be called from any goroutine.
type Recorder struct {
	node string

	mu   sync.Mutex
	file *os.File
}

// Open opens the record of a node for appending.
func Open(path, node string) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Recorder{node: node, file: file}, nil
}

// Write records an event that happens now; data may be nil. A process goes on if its record cannot be written: then
// lines are missing.
func (r *Recorder) Write(kind string, data any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writeLocked(kind, data)
}

// writeLocked takes the time with the lock held, so that the lines of a file are in order.
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
