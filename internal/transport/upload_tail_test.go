package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

const (
	// tailTimeout is the time of the calls of these tests, from the last byte of their body.
	tailTimeout = 1500 * time.Millisecond
	// tailSlack is the time after the end of a call's time from which an answer counts as lost.
	tailSlack = 500 * time.Millisecond
)

// bodyStarts records the times from which calls count, by client request id.
type bodyStarts struct {
	mu sync.Mutex
	at map[string]time.Time
}

// handler returns a handler that takes some parts of each body and then none, until its answer would count as lost.
func (s *bodyStarts) handler(t *testing.T, parts int) handlerFunc {
	return func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		upload := c.Payload.(*requestMessage).upload
		if upload == nil { // its end came with the first part
			s.record(c, c.ReceivedAt)
			return routing.Answer{Verdict: routing.Rejected}, true
		}
		buf := make([]byte, streamBufferSize)
		for range parts {
			if _, err := upload.nextPart(buf); err != nil {
				t.Error(err)
			}
		}
		select {
		case at := <-c.BodyReceived:
			s.record(c, at)
		case <-time.After(tailTimeout + tailSlack):
		}
		return routing.Answer{Verdict: routing.Rejected, RetryAfter: time.Second}, true
	}
}

// record records the time from which a call counts.
func (s *bodyStarts) record(c routing.Call, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[c.ClientRequestID] = at
}

// check sends a request with a body and checks that its time counts from its last byte.
func (s *bodyStarts) check(t *testing.T, addr, name, body string) {
	client := dialClient(t, addr)
	id := strings.ReplaceAll(name, " ", "-")
	io.WriteString(client, strings.NewReplacer("9b", id, "X-Budget: 0.5", "X-Budget: 1.5").Replace(callHead)+body)
	written := time.Now()
	client.in.ReadByte()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, known := s.at[id]; !known || at.Sub(written) > tailSlack {
		t.Errorf("%s: the time counts from %v after the last byte, known: %v", name, at.Sub(written), known)
	}
}

// The server takes no byte of these bodies, whose ends lie in the socket or in the buffer of net/http.
func TestEndOfBodyInReaderStartsCallTime(t *testing.T) {
	starts := bodyStarts{at: map[string]time.Time{}}
	addr, _, _ := newTestFrontend(t, 400, starts.handler(t, 0))
	var all sync.WaitGroup
	for name, frame := range map[string]int{"with a length": 0, "one chunk": 1 << 20, "small chunks": 1000} {
		for size := protocol.MaxBufferedBody + 1; size < protocol.MaxBufferedBody+3*minChargedBytes; size += 509 {
			all.Go(func() { starts.check(t, addr, fmt.Sprint(name, " ", size), frameBody(size, frame)) })
		}
	}
	all.Wait()
}

// The bytes that net/http held before are not new ones.
func TestReadAheadDoesNotRestartCallTime(t *testing.T) {
	const parts = 3
	// With a large window, the kernel shows that the client has sent all that it wrote.
	largeWindow := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<20) })
	}}
	listener, err := largeWindow.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	starts := bodyStarts{at: map[string]time.Time{}}
	newTestFrontendOn(t, listener, 400, starts.handler(t, parts), func(f *Frontend) { f.readAhead.limit.Store(64 << 20) })
	var all sync.WaitGroup
	for i := range 32 {
		size := protocol.MaxBufferedBody + 1 + parts*streamBufferSize + minChargedBytes + i*1009
		all.Go(func() { starts.check(t, listener.Addr().String(), fmt.Sprint("body ", i), frameBody(size, 1000+i)) })
	}
	all.Wait()
}

// frameBody returns the end of a head and a body of a size in chunks of at most frame bytes; 0: with a length.
func frameBody(size, frame int) string {
	if frame == 0 {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	}
	var body strings.Builder
	body.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for left := size; left > 0; left -= frame {
		n := min(left, frame)
		fmt.Fprintf(&body, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	body.WriteString("0\r\n\r\n")
	return body.String()
}
