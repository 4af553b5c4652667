// Package record writes what a process of a fleet believed and did, a line of JSON for each event, with the time of the
// machine's monotonic clock, which all processes of one machine share: whoever judges a fleet lays the records of its
// processes beside what it saw from outside.
package record

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Line is one event. What goes with it is in Data, in a form that its kind names.
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

// Book is a process's record. A nil Book records nothing. Each line is written at once, by one write, so that what a
// killed process had recorded is whole.
type Recorder struct {
	node string
	mu   sync.Mutex
	file *os.File
	err  error
}

// Open opens the record of a node for appending.
func Open(path, node string) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Recorder{node: node, file: f}, nil
}

// Write records an event that happens now.
func (b *Recorder) Write(kind string, data any) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Line{At: int64(Now()), Node: b.node, PID: os.Getpid(), Kind: kind}
	var err error
	if data != nil {
		l.Data, err = json.Marshal(data)
	}
	var text []byte
	if err == nil {
		text, err = json.Marshal(l)
	}
	if err == nil {
		_, err = b.file.Write(append(text, '\n'))
	}
	if b.err == nil {
		b.err = err
	}
}

// Err is the first thing that kept it from recording.
func (b *Recorder) Err() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}
