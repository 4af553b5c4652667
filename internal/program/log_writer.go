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
	// logQueueLength is the maximum number of lines that wait to be written.
	logQueueLength = 4096
	// flushTimeout bounds the time for which Close waits for the log's reader, so that a reader that has stopped does not
	// keep the process from ending.
	flushTimeout = time.Second
)

// LogWriter writes log lines on a separate goroutine, so that a slow reader of the log does not block the callers of
// Write. It drops lines while the queue is full and logs the number of dropped lines. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	mu      sync.RWMutex // held for reading by Write and for writing by Close
	closed  bool
	lines   chan []byte   // lines that wait to be written
	dropped atomic.Int64  // number of dropped lines that is not logged yet
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
			w.dropped.Add(1) // logged after the next line that can be written
			continue
		}
		w.reportDropped()
	}
}

// reportDropped writes a line with the number of dropped lines, if there are any.
func (w *LogWriter) reportDropped() {
	dropped := w.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped); err != nil {
		w.dropped.Add(dropped)
	}
}

// Write implements io.Writer. It queues a copy of the line, and neither blocks nor fails. After Close it does nothing.
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

// Close waits up to flushTimeout for the queued lines to be written. It must be called only once.
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
