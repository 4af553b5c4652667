package program

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// blockedWriter is an output that nobody reads.
type blockedWriter struct{ release chan bool }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestLogNeverBlocks guards whoever logs against a log reader that stops.
func TestLogNeverBlocks(t *testing.T) {
	s := blockedWriter{make(chan bool)}
	w := NewLogWriter(s)
	for range 2 * logQueueLength {
		fmt.Fprintln(w, "line")
	}
	if w.dropped.Load() < logQueueLength/2 {
		t.Errorf("%d dropped", w.dropped.Load())
	}
	close(s.release)
	w.Close()
	fmt.Fprintln(w, "late")
}

// failingWriter fails for a while, and then reports what it writes.
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

// TestDroppedLinesAreCounted: the next line that can be written is followed by the number of those that could not.
func TestDroppedLinesAreCounted(t *testing.T) {
	f := &failingWriter{3, make(chan string, 3)}
	w := NewLogWriter(f)
	for range 4 {
		fmt.Fprintln(w, "line")
	}
	w.Close()
	if <-f.written != "line\n" || !strings.Contains(<-f.written, `msg="log lines dropped" lines=3`) {
		t.Error("dropped lines are not counted")
	}
}
