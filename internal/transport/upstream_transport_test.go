package transport

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// TestNoHiddenRetry guards against a request that is sent again when a reused connection breaks: the server must
// receive it once.
func TestNoHiddenRetry(t *testing.T) {
	for _, c := range []struct{ method, body string }{{"GET", ""}, {"POST", "book"}, {"POST", ""}, {"PUT", ""}} {
		p, got := startScriptedServer(t, okResponse, "", okResponse)
		transport, _ := newTestTransport(time.Second)
		if r := transport.RoundTrip(t.Context(), newAttempt(p, c.method, c.body)); r.Result != balancer.OK {
			t.Fatalf("%v: result %d of the first attempt, want OK", c, r.Result)
		}
		r := transport.RoundTrip(t.Context(), newAttempt(p, c.method, c.body))
		if r.Result != balancer.Reset || len(got) != 2 {
			t.Errorf("%v: result %d after %d requests, want a reset after 2", c, r.Result, len(got))
		}
	}
}

var minuteBudget = regexp.MustCompile(`X-Budget: (5\d\.\d{3}|60\.000)`)

func TestRequestBytes(t *testing.T) {
	for _, c := range []struct{ method, body, framing string }{
		{"GET", "", ""}, {"POST", "\x00book\xff", "Content-Length: 6\r\n"}, {"POST", "", "Content-Length: 0\r\n"}} {
		p, got := startScriptedServer(t, okResponse)
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, c.method, c.body))
		if r.Result != balancer.OK || string(r.Reply.(*response).body) != "hi" {
			t.Errorf("%v: %+v, want OK and the response body", c, r)
		}
		want := c.method + " /api?user=a%2Fb&x=%7e HTTP/1.1\r\nHost: api.internal\r\n" + c.framing +
			"X-Call-Id: 9b\r\nX-Budget: LEFT\r\n\r\n" + c.body
		// The time left of a minute depends on the load of the machine.
		if wire := minuteBudget.ReplaceAllString(<-got, "X-Budget: LEFT"); wire != want {
			t.Errorf("the server received\n%q\nwant\n%q", wire, want)
		}
	}
}

// TestAttemptResults: the response determines the result of the attempt. The server leaves the connection open, as
// servers with malformed responses may do: the transport must not wait for the close. An attempt with a malformed
// response may have run, even if the response claims to be a rejection.
func TestAttemptResults(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	const early = "HTTP/1.1 100 Continue\r\n\r\n"
	const rejected = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\n"
	const length = "Content-Length: 2\r\n"
	endless := strings.Repeat("x", maxResponseHead)
	for name, c := range map[string]struct {
		answer    string
		want      balancer.Result
		wantReuse bool
	}{
		"served":               {okResponse, balancer.OK, true},
		"chunked body":         {chunked + "Trailer: A\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\r\n", balancer.OK, true},
		"1xx responses first":  {early + "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + okResponse, balancer.OK, true},
		"close requested":      {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.OK, false},
		"error":                {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"rejection header":     {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		"503, not rejected":    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"redirect":             {"HTTP/1.1 302 X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"protocol switch":      {"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", balancer.Errored, false},
		"close, no response":   {"", balancer.Reset, false},
		"truncated body":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", balancer.Reset, false},
		"cut rejection":        {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\ncut", balancer.Reset, false},
		"noise":                {"\x06\xb2HTTP", balancer.Errored, false},
		"invalid status line":  {"HTTP/1.1 nonsense\r\n\r\n", balancer.Errored, false},
		"header without colon": {"HTTP/1.1 200 OK\r\nContent-Length 2\r\n\r\nhi", balancer.Errored, false},
		"length and chunked":   {chunked + "Content-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"two Content-Lengths":  {"HTTP/1.1 200 OK\r\n" + length + length + "\r\nhi", balancer.Errored, false},
		"negative length":      {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.Errored, false},
		"no Content-Length":    {"HTTP/1.1 200 OK\r\n\r\nhi", balancer.Errored, false},
		"malformed chunks":     {chunked + "\r\nzz\r\nhi\r\n", balancer.Errored, false},
		"1xx with a body":      {"HTTP/1.1 100 X\r\nContent-Length: 2\r\n\r\nhi" + okResponse, balancer.Errored, false},
		"malformed rejection":  {rejected + "Transfer-Encoding: chunked\r\n\r\nno\r\n", balancer.Errored, false},
		"head too long":        {"HTTP/1.1 200 OK\r\nA: " + endless, balancer.Errored, false},
		"too many 1xx":         {strings.Repeat(early, maxResponseHead/25+1), balancer.Errored, false},
		"control character":    {"HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"unknown coding":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", balancer.Errored, false},
		"status not a number":  {"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"HTTP/1.0, keep-alive": {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + length + "\r\nhi", balancer.OK, true},
		"204 No Content":       {"HTTP/1.1 204 X\r\n\r\n", balancer.Errored, true},
		"long error response":  {"HTTP/1.1 500 X\r\nContent-Length: 100000\r\n\r\n", balancer.Errored, false},
		"body too long":        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", balancer.Errored, false},
		"second response":      {okResponse + okResponse, balancer.OK, false},
		"extra bytes after it": {okResponse + "\r\n", balancer.Errored, false},
	} {
		p, got := startScriptedServer(t, c.answer, okResponse)
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "POST", "book"))
		if r.Result != c.want || len(got) != 1 || (r.Result == balancer.OK) != (r.Reply != nil) ||
			r.Reply != nil && string(r.Reply.(*response).body) != "hi" {
			t.Errorf("%s: result %d, %+v after %d requests, want %d after 1", name, r.Result, r.Reply, len(got), c.want)
		}
		if reused := len(transport.pool.idle[p]) > 0; reused != c.wantReuse {
			t.Errorf("%s: connection kept for reuse: %v", name, reused)
		}
	}
}

// TestConnectFailed: a connection that is refused or not established in time proves that the attempt never ran.
func TestConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	refusing := routing.NewUpstream(1, "s-1", l.Addr().String())
	silent := startServer(t, func(net.Conn) { <-t.Context().Done() })
	for name, c := range map[string]struct {
		server  *routing.Upstream
		connect time.Duration
		want    balancer.Result
	}{"refused": {refusing, time.Second, balancer.ConnectFailed}, "late": {silent, 1, balancer.ConnectFailed}} {
		transport, _ := newTestTransport(c.connect)
		if r := transport.RoundTrip(t.Context(), newAttempt(c.server, "POST", "book")); r.Result != c.want {
			t.Errorf("%s: result %d, want %d", name, r.Result, c.want)
		}
	}
}

// TestTimeoutBeforeConnect: if the connect timeout is longer than the time left of a call, an unreachable server is
// detected by the end of that time. Otherwise a node without health checks would send attempts to it forever. A call
// with little time left, or a cancelled one, does not count against the server.
func TestTimeoutBeforeConnect(t *testing.T) {
	for _, c := range []struct {
		timeLeft  time.Duration
		cancelled bool
		result    balancer.Result
	}{
		{minConclusiveConnectTime + 20*time.Millisecond, false, balancer.ConnectFailed},
		{minConclusiveConnectTime / 2, false, balancer.NotSent},
		{time.Minute, true, balancer.NotSent},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		transport := NewUpstreamTransport(UpstreamConfig{
			ConnectTimeout:    time.Hour,
			ServerIdleTimeout: time.Minute,
			MaxConns:          10,
			Log:               slog.New(slog.DiscardHandler),
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				if c.cancelled {
					cancel(routing.ErrCancelled)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		attempt := newAttempt(routing.NewUpstream(1, "s-1", "a:1"), "POST", "book")
		attempt.ExpiresAt = time.Now().Add(c.timeLeft)
		if r := transport.RoundTrip(ctx, attempt); r.Result != c.result {
			t.Errorf("time left %v: result %d, want %d", c.timeLeft, r.Result, c.result)
		}
	}
}

// TestCancelledAttempt: an attempt that is cancelled after its request was written completely may have run; one that is
// cancelled earlier has never run. The close reason is that of the cancellation.
func TestCancelledAttempt(t *testing.T) {
	for _, c := range []struct {
		cause  error
		want   balancer.Result
		reason string
	}{
		{routing.ErrDeadlineExceeded, balancer.TimedOut, "try-timeout"},
		{routing.ErrCancelled, balancer.Cancelled, "called-off"},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		p := startServer(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				cancel(c.cause)
				io.Copy(io.Discard, conn)
			}
		})
		transport, log := newTestTransport(time.Second)
		if r := transport.RoundTrip(ctx, newAttempt(p, "GET", "")); r.Result != c.want {
			t.Errorf("%v: result %d, want %d", c.cause, r.Result, c.want)
		}
		log.waitFor("side=peer", "reason="+c.reason)
		if r := transport.RoundTrip(ctx, newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
			t.Errorf("%v before the request was sent: result %d, want not sent", c.cause, r.Result)
		}
	}
}

// TestLastByteNotWritten: a connection that breaks before the last byte of the request was written proves that the
// request never ran. A connection that breaks later does not.
func TestLastByteNotWritten(t *testing.T) {
	for whole, want := range map[bool]balancer.Result{false: balancer.ConnectFailed, true: balancer.Reset} {
		near, far := net.Pipe() // a pipe accepts a byte only when it is read
		transport, l := newTestTransport(time.Second)
		p := routing.NewUpstream(1, "", "")
		connLog := newConnLog(l.logger(), "peer", "", transport.pool.releaseConn)
		transport.pool.put(&upstreamConn{Conn: pipeConn{near}, server: p, log: connLog})
		go func() {
			if whole {
				http.ReadRequest(bufio.NewReader(far))
			} else {
				io.ReadFull(far, make([]byte, 5))
			}
			far.Close()
		}()
		if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != want {
			t.Errorf("request written completely: %v: result %d, want %d", whole, r.Result, want)
		}
	}
}

// TestConfigure: changed limits apply from the next connection on.
func TestConfigure(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	transport, log := newTestTransport(time.Second)
	transport.Configure(UpstreamConfig{ConnectTimeout: 1, ServerIdleTimeout: time.Minute, MaxConns: 1, Log: log.logger()})
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.ConnectFailed {
		t.Errorf("result %d with a connect timeout of 1 ns, want connect failed", r.Result)
	}
	transport.Configure(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: time.Minute,
		MaxConns:          0,
		Log:               log.logger(),
	})
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
		t.Errorf("result %d with a limit of 0 connections, want not sent", r.Result)
	}
}

// TestCallAnsweredBeforeSend: a hedged request is never sent if its call was answered while the connection was being
// established.
func TestCallAnsweredBeforeSend(t *testing.T) {
	p := startServer(t, func(conn net.Conn) {
		if n, _ := io.Copy(io.Discard, conn); n != 0 {
			t.Errorf("%d bytes reached the server after the call was answered", n)
		}
	})
	transport, _ := newTestTransport(time.Second)
	attempt := newAttempt(p, "GET", "")
	attempt.CallDone = new(atomic.Bool)
	attempt.CallDone.Store(true)
	if r := transport.RoundTrip(t.Context(), attempt); r.Result != balancer.NotSent {
		t.Errorf("result %d", r.Result)
	}
	transport.Close()
}

// TestDrainingServer: a server that has been draining for longer than its grace period receives no byte of an attempt,
// even though the connection is established.
func TestDrainingServer(t *testing.T) {
	read := make(chan int64)
	p := startServer(t, func(conn net.Conn) {
		n, _ := io.Copy(io.Discard, conn)
		read <- n
	})
	p.SetAccepting(false, time.Now().Add(-time.Hour))
	transport, log := newTestTransport(time.Second)
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
		t.Errorf("result %d", r.Result)
	}
	if n := <-read; n != 0 {
		t.Errorf("%d bytes reached the draining server", n)
	}
	log.waitFor("side=peer", "reason=not-sent")
}

// TestUpstreamTransportClose: a closed transport keeps no connection and opens none.
func TestUpstreamTransportClose(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, _ := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	c := transport.pool.takeIdle(p)
	transport.Close()
	if transport.pool.put(c); transport.Conns() != 0 {
		t.Errorf("%d connections are open after Close", transport.Conns())
	}
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
		t.Errorf("result %d", r.Result)
	}
}

func TestHealthCheckResults(t *testing.T) {
	for answer, want := range map[string]balancer.Result{
		okResponse: balancer.OK,
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": balancer.Errored,
		okResponse + "noise":                          balancer.OK, // its status alone is the result
	} {
		p, got := startScriptedServer(t, answer)
		transport, _ := newTestTransport(time.Second)
		if r := transport.CheckHealth(t.Context(), p); r != want {
			t.Errorf("result %d, want %d", r, want)
		}
		if wire := <-got; !strings.HasPrefix(wire, "GET /health/live HTTP/1.1\r\n") {
			t.Errorf("the server received %q, want a health check", wire)
		}
	}
}
