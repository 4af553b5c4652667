package main

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// logLines is how many lines may wait to be written.
const logLines = 4096

// logWriter writes lines on a goroutine of its own, so that whoever reads them
// slowly holds up no decision. Lines that find the queue full are dropped and
// their number is told.
type logWriter struct {
	out     io.Writer
	mu      sync.RWMutex // Close excludes Write
	closed  bool
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.out.Write(line) // nobody could be told of an error
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
		}
	}
}

// Write implements io.Writer; it never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if !w.closed {
		select {
		case w.lines <- bytes.Clone(line):
		default:
			w.dropped.Add(1)
		}
	}
	return len(line), nil
}

// Close writes what waits and ends.
func (w *logWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	<-w.done
}
