package program

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan bool }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestLogNeverBlocks: a reader of the log that has stopped does not block the callers of Write, and lines above the
// queue's length are dropped.
func TestLogNeverBlocks(t *testing.T) {
	s := blockedWriter{make(chan bool)}
	w := NewLogWriter(s)
	for range 2 * logQueueLength {
		fmt.Fprintln(w, "line")
	}
	if w.dropped.Load() < logQueueLength/2 {
		t.Errorf("%d lines dropped, want at least half the length of the queue", w.dropped.Load())
	}
	close(s.release)
	w.Close()
	fmt.Fprintln(w, "late")
}

// failingWriter fails for a number of writes, and then sends what it receives to written.
type failingWriter struct {
	failures int
	written  chan string
}

func (f *failingWriter) Write(b []byte) (int, error) {
	f.failures--
	if f.failures >= 0 {
		return 0, syscall.EFBIG
	}
	f.written <- string(b)
	return len(b), nil
}

// TestDroppedLinesAreCounted: after write errors, the next line that is written is followed by the number of lines that
// were lost.
func TestDroppedLinesAreCounted(t *testing.T) {
	f := &failingWriter{3, make(chan string, 3)}
	w := NewLogWriter(f)
	for range 4 {
		fmt.Fprintln(w, "line")
	}
	w.Close()
	if <-f.written != "line\n" || !strings.Contains(<-f.written, `msg="log lines dropped" lines=3`) {
		t.Error("want the written line, followed by a line that counts 3 dropped lines")
	}
}
