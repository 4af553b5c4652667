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
// see it once.
func TestNoHiddenRetry(t *testing.T) {
	for _, c := range []struct{ method, body string }{{"GET", ""}, {"POST", "book"}, {"POST", ""}, {"PUT", ""}} {
		p, got := startScriptedServer(t, okResponse, "", okResponse)
		transport, _ := newTestTransport(time.Second)
		if r := transport.RoundTrip(t.Context(), newAttempt(p, c.method, c.body)); r.Result != balancer.OK {
			t.Fatalf("%v: first attempt %d", c, r.Result)
		}
		r := transport.RoundTrip(t.Context(), newAttempt(p, c.method, c.body))
		if r.Result != balancer.Reset || len(got) != 2 {
			t.Errorf("%v: result %d after %d requests on the wire, want a reset after 2", c, r.Result, len(got))
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
			t.Errorf("%v: %+v", c, r)
		}
		want := c.method + " /api?user=a%2Fb&x=%7e HTTP/1.1\r\nHost: api.internal\r\n" + c.framing +
			"X-Call-Id: 9b\r\nX-Budget: LEFT\r\n\r\n" + c.body
		// What is left of a minute depends on how busy the machine is.
		if wire := minuteBudget.ReplaceAllString(<-got, "X-Budget: LEFT"); wire != want {
			t.Errorf("on the wire:\n%q\nwant\n%q", wire, want)
		}
	}
}

// TestAttemptResults: the response says what the attempt ended with. The connection stays open, as it does at a
// server whose response is malformed: nobody may wait for its close. An attempt with a malformed response may have
// run, whatever that says.
func TestAttemptResults(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	const early = "HTTP/1.1 100 Continue\r\n\r\n"
	const rejected = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\n"
	const length = "Content-Length: 2\r\n"
	endless := strings.Repeat("x", maxResponseHead)
	for name, c := range map[string]struct {
		answer string
		want   balancer.Result
		reuse  bool
	}{
		"served":               {okResponse, balancer.OK, true},
		"in chunks":            {chunked + "Trailer: A\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\r\n", balancer.OK, true},
		"1xx ahead":            {early + "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + okResponse, balancer.OK, true},
		"asks for the end":     {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balancer.OK, false},
		"error":                {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"turned away":          {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, true},
		"503 without proof":    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"redirect":             {"HTTP/1.1 302 X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		"other protocol":       {"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", balancer.Errored, false},
		"break after sending":  {"", balancer.Reset, false},
		"body cut short":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", balancer.Reset, false},
		"turned away, cut":     {"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\ncut", balancer.Reset, false},
		"noise":                {"\x06\xb2HTTP", balancer.Errored, false},
		"noise, no first line": {"HTTP/1.1 nonsense\r\n\r\n", balancer.Errored, false},
		"a line that is none":  {"HTTP/1.1 200 OK\r\nContent-Length 2\r\n\r\nhi", balancer.Errored, false},
		"a length and chunks":  {chunked + "Content-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"two lengths":          {"HTTP/1.1 200 OK\r\n" + length + length + "\r\nhi", balancer.Errored, false},
		"a negative length":    {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.Errored, false},
		"no length":            {"HTTP/1.1 200 OK\r\n\r\nhi", balancer.Errored, false},
		"spoilt chunks":        {chunked + "\r\nzz\r\nhi\r\n", balancer.Errored, false},
		"1xx with a body":      {"HTTP/1.1 100 X\r\nContent-Length: 2\r\n\r\nhi" + okResponse, balancer.Errored, false},
		"turned away, spoilt":  {rejected + "Transfer-Encoding: chunked\r\n\r\nno\r\n", balancer.Errored, false},
		"endless head":         {"HTTP/1.1 200 OK\r\nA: " + endless, balancer.Errored, false},
		"endless 1xx":          {strings.Repeat(early, maxResponseHead/25+1), balancer.Errored, false},
		"a control character":  {"HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"an unknown coding":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", balancer.Errored, false},
		"a status of letters":  {"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi", balancer.Errored, false},
		"1.0 that stays":       {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n" + length + "\r\nhi", balancer.OK, true},
		"no content":           {"HTTP/1.1 204 X\r\n\r\n", balancer.Errored, true},
		"a long failure":       {"HTTP/1.1 500 X\r\nContent-Length: 100000\r\n\r\n", balancer.Errored, false},
		"endless body":         {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", balancer.Errored, false},
		"a copy behind":        {okResponse + okResponse, balancer.OK, false},
		"noise behind":         {okResponse + "\r\n", balancer.OK, false},
	} {
		p, got := startScriptedServer(t, c.answer, okResponse)
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "POST", "book"))
		if r.Result != c.want || len(got) != 1 || (r.Result == balancer.OK) != (r.Reply != nil) ||
			r.Reply != nil && string(r.Reply.(*response).body) != "hi" {
			t.Errorf("%s: result %d, %+v after %d requests, want %d after 1", name, r.Result, r.Reply, len(got), c.want)
		}
		if reused := len(transport.pool.idle[p]) > 0; reused != c.reuse {
			t.Errorf("%s: the connection may be used again: %v", name, reused)
		}
	}
}

// TestConnectFailed: a connection that is refused, or late, proves that the attempt never ran.
func TestConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	refusing := routing.NewUpstream(1, "s-1", l.Addr().String())
	silent := startServer(t, func(net.Conn) { <-t.Context().Done() })
	for name, c := range map[string]struct {
		peer    *routing.Upstream
		connect time.Duration
		want    balancer.Result
	}{"refused": {refusing, time.Second, balancer.ConnectFailed}, "late": {silent, 1, balancer.ConnectFailed}} {
		transport, _ := newTestTransport(c.connect)
		if r := transport.RoundTrip(t.Context(), newAttempt(c.peer, "POST", "book")); r.Result != c.want {
			t.Errorf("%s: result %d, want %d", name, r.Result, c.want)
		}
	}
}

// TestTimeoutBeforeConnect: where a connection may take longer to come up than a call has time, a server that is
// out of reach is found by the time that it did have, or a node without health checks would send to it for ever. A
// call with little time left, and a cancelled one, say nothing of the server.
func TestTimeoutBeforeConnect(t *testing.T) {
	for _, c := range []struct {
		left   time.Duration
		calls  bool
		result balancer.Result
	}{
		{minConclusiveConnectTime + 20*time.Millisecond, false, balancer.ConnectFailed},
		{minConclusiveConnectTime / 2, false, balancer.NotSent},
		{time.Minute, true, balancer.NotSent},
	} {
		ctx, callOff := context.WithCancelCause(t.Context())
		transport := NewUpstreamTransport(UpstreamConfig{
			ConnectTimeout:    time.Hour,
			ServerIdleTimeout: time.Minute,
			MaxConns:          10,
			Log:               slog.New(slog.DiscardHandler),
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				if c.calls {
					callOff(routing.ErrCancelled)
				}
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		try := newAttempt(routing.NewUpstream(1, "s-1", "a:1"), "POST", "book")
		try.ExpiresAt = time.Now().Add(c.left)
		if r := transport.RoundTrip(ctx, try); r.Result != c.result {
			t.Errorf("%v left: result %d, want %d", c.left, r.Result, c.result)
		}
	}
}

// TestCancelledAttempt: an attempt that was written to its end and then cancelled may have run; one that was cancelled
// before never did. Each leaves its reason.
func TestCancelledAttempt(t *testing.T) {
	for _, c := range []struct {
		cause  error
		want   balancer.Result
		reason string
	}{
		{routing.ErrDeadlineExceeded, balancer.TimedOut, "try-timeout"},
		{routing.ErrCancelled, balancer.Cancelled, "called-off"},
	} {
		ctx, giveUp := context.WithCancelCause(t.Context())
		p := startServer(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				giveUp(c.cause)
				io.Copy(io.Discard, conn)
			}
		})
		transport, log := newTestTransport(time.Second)
		if r := transport.RoundTrip(ctx, newAttempt(p, "GET", "")); r.Result != c.want {
			t.Errorf("%v: result %d, want %d", c.cause, r.Result, c.want)
		}
		log.waitFor("side=peer", "reason="+c.reason)
		if r := transport.RoundTrip(ctx, newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
			t.Errorf("%v before it was sent: result %d", c.cause, r.Result)
		}
	}
}

// TestLastByteNotWritten: a connection that breaks before the request's last byte was written proves that it never
// ran; one that breaks after does not.
func TestLastByteNotWritten(t *testing.T) {
	for whole, want := range map[bool]balancer.Result{false: balancer.ConnectFailed, true: balancer.Reset} {
		near, far := net.Pipe() // which takes a byte only as it is read
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
			t.Errorf("written to its end: %v: result %d, want %d", whole, r.Result, want)
		}
	}
}

// TestConfigure: changed limits hold from the next connection on.
func TestConfigure(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	transport, log := newTestTransport(time.Second)
	transport.Configure(UpstreamConfig{ConnectTimeout: 1, ServerIdleTimeout: time.Minute, MaxConns: 1, Log: log.logger()})
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.ConnectFailed {
		t.Errorf("result %d with no time to connect", r.Result)
	}
	transport.Configure(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: time.Minute,
		MaxConns:          0,
		Log:               log.logger(),
	})
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
		t.Errorf("result %d with no connection allowed", r.Result)
	}
}

// TestCallAnsweredBeforeSend: a hedged request whose call was answered while its connection came up is never sent.
func TestCallAnsweredBeforeSend(t *testing.T) {
	p := startServer(t, func(conn net.Conn) {
		if n, _ := io.Copy(io.Discard, conn); n != 0 {
			t.Errorf("%d bytes reached a server after the call was over", n)
		}
	})
	transport, _ := newTestTransport(time.Second)
	try := newAttempt(p, "GET", "")
	try.CallDone = new(atomic.Bool)
	try.CallDone.Store(true)
	if r := transport.RoundTrip(t.Context(), try); r.Result != balancer.NotSent {
		t.Errorf("result %d", r.Result)
	}
	transport.Close()
}

// TestDrainingServer: a draining server past its grace gets no first byte, though the connection is up.
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
		t.Errorf("%d bytes reached a server that drains", n)
	}
	log.waitFor("side=peer", "reason=not-sent")
}

// TestUpstreamTransportClose: a transport that is closed keeps no connection and opens none.
func TestUpstreamTransportClose(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, _ := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	c := transport.pool.takeIdle(p)
	transport.Close()
	if transport.pool.put(c); transport.Conns() != 0 {
		t.Errorf("%d connections are left", transport.Conns())
	}
	if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent {
		t.Errorf("result %d", r.Result)
	}
}

func TestHealthCheckResults(t *testing.T) {
	for answer, want := range map[string]balancer.Result{
		okResponse: balancer.OK,
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": balancer.Errored,
	} {
		p, got := startScriptedServer(t, answer)
		transport, _ := newTestTransport(time.Second)
		if r := transport.CheckHealth(t.Context(), p); r != want {
			t.Errorf("result %d, want %d", r, want)
		}
		if wire := <-got; !strings.HasPrefix(wire, "GET /health/live HTTP/1.1\r\n") {
			t.Errorf("on the wire: %q", wire)
		}
	}
}
