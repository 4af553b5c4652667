package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"olivebridge/balancer"
)

// readSignalConn is a connection that signals the start of each read. All bytes that arrived before have then been
// read.
type readSignalConn struct {
	Conn
	reads chan struct{}
}

// Read implements net.Conn.
func (a readSignalConn) Read(b []byte) (int, error) {
	a.reads <- struct{}{}
	return a.Conn.Read(b)
}

// newCutResponseAttempt returns a function that sends an attempt to a server. The server sends the bytes of a response
// and closes the connection as soon as the transport has read them and waits for more, either by a reset or in an
// orderly way.
func newCutResponseAttempt(t *testing.T, sent string, reset bool) (attempt func() balancer.Result) {
	t.Helper()
	reads := make(chan struct{}, 100)
	p := startServer(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		<-reads
		if sent != "" {
			io.WriteString(conn, sent)
			<-reads
		}
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
	transport := NewUpstreamTransport(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: time.Minute,
		DrainGrace:        time.Second,
		MaxConns:          1,
		Log:               make(logLines, 100).logger(),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			if err != nil {
				return nil, err
			}
			c, err := wrapConn(conn)
			return readSignalConn{c, reads}, err
		},
	})
	return func() balancer.Result {
		r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
		if r.Reply == nil || r.Reply.(*response).stream == nil {
			return r.Result
		}
		stream := r.Reply.(*response).stream
		_, err := io.Copy(io.Discard, stream)
		stream.finish("called-off")
		if err != nil { // the client also detects that the response is incomplete
			return balancer.Reset
		}
		return r.Result
	}
}

// TestCutResponses: a response that its server truncates is never taken for a complete one, wherever it is truncated,
// and the result says that the attempt may have run. A reset does not end a response either, even one without a length,
// which only an orderly close of the connection completes.
func TestCutResponses(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	const sized = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		sent    string
		orderly balancer.Result // result after an orderly close
	}{
		"before the response":      {"", balancer.Reset},
		"in the status line":       {"HTTP/1.1 20", balancer.Reset},
		"in the head":              {"HTTP/1.1 200 OK\r\nContent-Le", balancer.Reset},
		"after the head":           {sized, balancer.Reset},
		"in the body":              {sized + "part", balancer.Reset},
		"in a rejection":           {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 4\r\n\r\nno", balancer.Reset},
		"after a 103 response":     {"HTTP/1.1 103 X\r\n\r\n", balancer.Reset},
		"in a chunk":               {chunks + "9\r\npart", balancer.Reset},
		"between chunks":           {chunks + "4\r\npart\r\n", balancer.Reset},
		"after the last chunk":     {chunks + "4\r\npart\r\n0\r\n", balancer.Reset},
		"without length, no body":  {open, balancer.OK},
		"without length, in body":  {open + "part", balancer.OK},
		"HTTP/1.0, without length": {"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npart", balancer.OK},
		"rejection without length": {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nConnection: close\r\n\r\nno", balancer.Rejected},
		"failure without length":   {"HTTP/1.1 500 X\r\nConnection: close\r\n\r\nno", balancer.Errored},
	} {
		for reset, want := range map[bool]balancer.Result{true: balancer.Reset, false: c.orderly} {
			if got := newCutResponseAttempt(t, c.sent, reset)(); got != want {
				t.Errorf("%s, reset %v: result %d, want %d", name, reset, got, want)
			}
		}
	}
}

// TestResetIsSticky: the operating system reports a reset only once. Further reads must not return an orderly close.
func TestResetIsSticky(t *testing.T) {
	server := startServer(t, func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, 1))
		conn.(*net.TCPConn).SetLinger(0)
	})
	transport, _ := newTestTransport(time.Second)
	c, err := transport.pool.get(t.Context(), server, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	defer c.closeFor("idle")
	c.Write([]byte{0})
	for range 3 {
		if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %d bytes, error %v; want a reset", n, err)
		}
	}
}
