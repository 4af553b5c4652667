package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// handlerFunc is a CallHandler that is always ready.
type handlerFunc func(ctx context.Context, c routing.Call) (routing.Answer, bool)

// Handle implements CallHandler.
func (f handlerFunc) Handle(ctx context.Context, c routing.Call) (routing.Answer, bool) {
	return f(ctx, c)
}

// Ready implements CallHandler.
func (f handlerFunc) Ready() bool { return true }

// newTestFrontend returns a frontend with a new listener that serves until the test ends.
func newTestFrontend(t *testing.T, maxConns int, f handlerFunc,
	change ...func(*Frontend)) (addr string, front *Frontend, log logLines) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front, log = newTestFrontendOn(t, l, maxConns, f, change...)
	return l.Addr().String(), front, log
}

// newTestFrontendOn is newTestFrontend with a given listener.
func newTestFrontendOn(t *testing.T, l net.Listener, maxConns int, f handlerFunc,
	change ...func(*Frontend)) (front *Frontend, log logLines) {
	t.Helper()
	log = make(logLines, 1000)
	front = NewFrontend(FrontendConfig{
		Listener:     l,
		Names:        protocol.NameIndex{Classes: map[string]int{"book": 0, "status": 1}, Methods: []string{"POST", "GET"}},
		Handler:      f,
		ClientLimits: ClientLimits{MaxOpen: maxConns, MaxIdle: maxConns},
		Log:          log.logger(),
	})
	for _, c := range change {
		c(front)
	}
	go front.Serve()
	t.Cleanup(func() { front.server.Close() })
	return front, log
}

// newFrontendOverTransport returns a frontend whose calls are sent to one server by a transport; results receives the
// result of each attempt.
func newFrontendOverTransport(t *testing.T, server *routing.Upstream, maxConns int) (addr string, front *Frontend,
	transport *UpstreamTransport, log logLines, results chan balancer.Result) {
	t.Helper()
	transport, log = newTestTransport(time.Second)
	results = make(chan balancer.Result, 10)
	addr, front, _ = newTestFrontend(t, maxConns, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		// As in a node, the context of an attempt is not that of its client, which net/http cancels as soon as the reading of
		// a body is cut off.
		r := transport.RoundTrip(t.Context(), routing.Attempt{
			Upstream:    server,
			ExpiresAt:   time.Now().Add(time.Minute),
			Payload:     c.Payload,
			BodyTimeout: time.Minute,
			OnBodySent:  func() {},
		})
		results <- r.Result
		if r.Result != balancer.OK {
			return routing.Answer{Verdict: routing.Rejected, RetryAfter: time.Second}, true
		}
		return routing.Answer{Verdict: routing.Served, Reply: r.Reply}, true
	})
	return addr, front, transport, log, results
}

// shutdownLimits returns the limits of a shutdown whose calls take at most maxCallTime.
func shutdownLimits(maxCallTime time.Duration) ShutdownLimits {
	return ShutdownLimits{MaxCallTime: maxCallTime, LongestDeadline: maxCallTime}
}

// newFrontendWithOpenCall returns a frontend with one open call, which ends when release is closed.
func newFrontendWithOpenCall(t *testing.T, maxConns int) (addr string, front *Frontend, c *testClient,
	release chan bool) {
	t.Helper()
	handling, release := make(chan bool), make(chan bool)
	addr, front, _ = newTestFrontend(t, maxConns, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		handling <- true
		<-release
		return routing.Answer{Verdict: routing.Failed}, true
	})
	c = dialClient(t, addr)
	io.WriteString(c, callHead+"Content-Length: 0\r\n\r\n")
	<-handling
	return addr, front, c, release
}

// testClient is a client connection on which a test sends raw bytes.
type testClient struct {
	net.Conn
	in *bufio.Reader
}

// dialClient connects to an address and closes the connection when the test ends.
func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &testClient{conn, bufio.NewReader(conn)}
}

// roundTrip sends raw bytes and reads one response.
func (c *testClient) roundTrip(t *testing.T, raw string) (*http.Response, string) {
	t.Helper()
	go io.WriteString(c, raw) // an early response must be read before all bytes are sent
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// callHead is the head of a call without the header fields for its body and the empty line.
const callHead = "POST /api?user=%41 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b\r\nX-Call-Class: book\r\nX-Budget: 0.5\r\n"

// readyRequest is a readiness check.
const readyRequest = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"

// dialIdle sends a request on a new connection and waits until n connections are idle. A connection becomes idle
// shortly after its response.
func (f *Frontend) dialIdle(t *testing.T, addr string, n int) *testClient {
	t.Helper()
	c := dialClient(t, addr)
	c.roundTrip(t, readyRequest)
	for left := n; left > 0; runtime.Gosched() {
		f.clients.mu.Lock()
		left = n - f.clients.idle.Len()
		f.clients.mu.Unlock()
	}
	return c
}

// hasLingering reports whether any client connection lingers.
func (f *Frontend) hasLingering() bool {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	return f.clients.lingering.Len() > 0
}
