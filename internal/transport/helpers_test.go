package transport

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivebridge/internal/routing"
)

// logLines is the destination of a log. Tests can wait for its lines.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// logger returns a logger that writes to l.
func (l logLines) logger() *slog.Logger { return slog.New(slog.NewTextHandler(l, nil)) }

// waitFor waits for a line that contains all words and returns it.
func (l logLines) waitFor(words ...string) string {
next:
	for line := range l {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue next
			}
		}
		return line
	}
	return ""
}

// startServer starts a server that calls serve for each connection. It stops when the test ends.
func startServer(t *testing.T, serve func(net.Conn)) *routing.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return routing.NewUpstream(1, "s-1", l.Addr().String())
}

// startScriptedServer starts a server that reads complete requests, sends their raw bytes to requests, and writes the
// next of the responses. After a response that is empty or contains "cut" it closes the connection.
func startScriptedServer(t *testing.T, responses ...string) (server *routing.Upstream, requests chan string) {
	t.Helper()
	requests = make(chan string, 100)
	next := make(chan string, len(responses))
	for _, r := range responses {
		next <- r
	}
	server = startServer(t, func(conn net.Conn) {
		var raw bytes.Buffer
		in := bufio.NewReader(io.TeeReader(conn, &raw))
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			requests <- raw.String()
			raw.Reset()
			response := <-next
			io.WriteString(conn, response)
			if response == "" || strings.Contains(response, "cut") {
				return
			}
		}
	})
	return server, requests
}

// okResponse is a response with a body of two bytes.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// newTestTransport returns a transport with at most ten connections, which can be reused immediately.
func newTestTransport(connectTimeout time.Duration) (*UpstreamTransport, logLines) {
	l := make(logLines, 1000)
	transport := NewUpstreamTransport(UpstreamConfig{
		ConnectTimeout:    connectTimeout,
		ServerIdleTimeout: time.Minute,
		DrainGrace:        time.Second,
		MaxConns:          10,
		Log:               l.logger(),
	})
	transport.pool.reuseDelay = 0 // otherwise the next attempt could not reuse the connection yet
	return transport, l
}

// newAttempt returns an attempt of a call with the ID 9b.
func newAttempt(p *routing.Upstream, method, body string) routing.Attempt {
	return newAttemptWithID(p, method, "9b", body)
}

// newAttemptWithID returns an attempt that expires in a minute.
func newAttemptWithID(p *routing.Upstream, method, id, body string) routing.Attempt {
	const target = "/api?user=a%2Fb&x=%7e"
	header := http.Header{"X-Call-Id": {id}}
	m := newMessage(new(bufferPool), method, target, "api.internal", header, int64(len(body)))
	copy(m.body, body)
	return routing.Attempt{Upstream: p, ExpiresAt: time.Now().Add(time.Minute), Payload: m}
}

// pipeConn is a Conn on which nothing but Read waits for data.
type pipeConn struct{ net.Conn }

// CloseWrite implements Conn.
func (pipeConn) CloseWrite() error { return nil }

// Peek implements Conn.
func (pipeConn) Peek() (int, error) { return 0, syscall.EAGAIN }

// HasEnded implements Conn.
func (pipeConn) HasEnded() bool { return false }

// Unread implements Conn.
func (pipeConn) Unread() (int, error) { return 0, syscall.ENOTSUP }

// ReceivesMore implements Conn.
func (pipeConn) ReceivesMore() bool { return false }

// Unacknowledged implements Conn.
func (pipeConn) Unacknowledged() (int, error) { return 0, syscall.ENOTSUP }

// ReadUnderLock implements Conn.
func (pipeConn) ReadUnderLock([]byte, sync.Locker, func() error, func(int)) (int, error) {
	panic("not implemented: only client connections are read under a lock")
}

// waitFor waits until holds returns true, at most for 10 s.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the condition did not hold within 10 s")
		}
	}
}
