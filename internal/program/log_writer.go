package program

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueLength is how many lines may wait to be written.
	logQueueLength = 4096
	// flushTimeout bounds the wait for the log's reader at the end. One that has stopped keeps no process from ending.
	flushTimeout = time.Second
)

// LogWriter writes lines on a goroutine of its own, so that a slow reader holds up nobody who logs. Lines that find the
// queue full are dropped, and their number is logged. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	mu      sync.RWMutex // Close excludes Write
	closed  bool
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed once the last line is written
}

// NewLogWriter returns a LogWriter that writes to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out:   out,
		lines: make(chan []byte, logQueueLength),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // logged once lines can be written again
			continue
		}
		w.reportDropped()
	}
}

func (w *LogWriter) reportDropped() {
	dropped := w.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped); err != nil {
		w.dropped.Add(dropped)
	}
}

// Write implements io.Writer; it never blocks.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, as far as they are read in time. It is called once.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
