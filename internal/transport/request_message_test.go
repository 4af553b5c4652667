package transport

import (
	"net/http"
	"testing"
	"time"

	"olivebridge/internal/protocol"
)

// TestMessageReferenceCount: the buffer is put back only after the last reference is released, and the message cannot
// be retained after that.
func TestMessageReferenceCount(t *testing.T) {
	var pool bufferPool
	m := newMessage(&pool, "POST", "/", "h", http.Header{}, 3)
	if !m.retain() {
		t.Fatal("retain failed on a message in use")
	}
	m.release() // the reference of the frontend
	if m.refCount.Load() != 1 || !m.retain() {
		t.Error("a message with a reference must have the count 1 and can be retained")
	}
	m.release()
	m.release()
	if m.retain() {
		t.Error("retain succeeded after the last release")
	}
}

// TestConcurrentAttemptsCompose: attempts that are written concurrently do not disturb each other, and each has its own
// budget.
func TestConcurrentAttemptsCompose(t *testing.T) {
	m := newMessage(new(bufferPool), "POST", "/", "h", http.Header{"X-Call-Id": {"9b"}, protocol.HeaderTimeout: {"9"}}, 4)
	copy(m.body, "book")
	want := func(budget string) string {
		return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-Call-Id: 9b\r\n" + budget + "\r\nbook"
	}
	first, own := m.compose(90 * time.Second)
	second, copied := m.compose(time.Second)
	if string(first) != want("X-Budget: 90.000\r\n") || string(second) != want("X-Budget: 1.000\r\n") || !own || copied {
		t.Errorf("first %q, second %q, ownsRoom %v, %v", first, second, own, copied)
	}
	m.releaseRoom(copied)
	m.releaseRoom(own)
	if third, own := m.compose(0); string(third) != want("") || !own {
		t.Errorf("third %q, ownsRoom %v", third, own)
	}
}
