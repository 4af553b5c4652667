package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// panickingBody is a body whose Read panics.
type panickingBody struct{}

// Read implements io.Reader.
func (panickingBody) Read([]byte) (int, error) { panic("body") }

// TestUploadPanic: a panic while a long body is sent fails its call and does not end the process.
func TestUploadPanic(t *testing.T) {
	p := startServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	transport, log := newTestTransport(time.Second)
	addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		c.Payload.(*requestMessage).upload.body = panickingBody{}
		r := transport.RoundTrip(ctx, routing.Attempt{
			Upstream:   p,
			ExpiresAt:  time.Now().Add(time.Minute),
			Payload:    c.Payload,
			OnBodySent: func() {},
		})
		if r.Result != balancer.ConnectFailed {
			t.Errorf("result %d of an incomplete upload, want connect failed", r.Result)
		}
		return routing.Answer{Verdict: routing.Rejected, RetryAfter: time.Second}, true
	})
	if resp, _ := dialClient(t, addr).roundTrip(t, callHead+"Content-Length: 100000\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("response status %d", resp.StatusCode)
	}
	log.waitFor("msg=panic", "in=upload")
}

// TestInterruptedUploads: a long body is interrupted on either side. The client receives a response, and the result of
// the attempt proves that the server never ran the call, unless the server has answered.
func TestInterruptedUploads(t *testing.T) {
	const sized = "Content-Length: 1000000\r\n\r\n"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n"
	some := strings.Repeat("x", 100<<10)
	badChunk := "19000\r\n" + some + "\r\nzz\r\n"
	discard := func(conn net.Conn) { io.Copy(io.Discard, conn) }
	sendEndless := func(client *testClient) {
		part := fmt.Sprintf("%x\r\n%s\r\n", len(some), some)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(client, part)
		}
	}
	readAndAnswer := func(n int, answer string) func(net.Conn) {
		return func(conn net.Conn) {
			in := bufio.NewReader(conn)
			for line := ""; line != "\r\n"; {
				line, _ = in.ReadString('\n')
			}
			io.CopyN(io.Discard, in, int64(n))
			io.WriteString(conn, answer)
			if answer != "" {
				io.Copy(io.Discard, in)
			}
		}
	}
	const early = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly"
	const failed = "HTTP/1.1 503 X\r\nX: 1\r\nContent-Length: 0\r\n\r\n"
	const rejected = "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		server   func(net.Conn)
		request  string
		sendMore func(*testClient) // called after the request is written; nil: nothing follows
		status   int
		result   balancer.Result
	}{
		"server answers early":    {readAndAnswer(1000, early), sized + some, nil, 200, balancer.OK},
		"server rejects the call": {readAndAnswer(1000, rejected), sized + some, nil, 503, balancer.Rejected},
		"server fails early":      {readAndAnswer(1000, failed), sized + some, nil, 503, balancer.ConnectFailed},
		"server closes early":     {readAndAnswer(1000, ""), sized + some, nil, 503, balancer.ConnectFailed},
		"malformed chunks":        {readAndAnswer(1<<20, early), chunks + badChunk, nil, 400, balancer.NotSent},
		"body too long":           {discard, chunks, sendEndless, 413, balancer.NotSent},
	} {
		addr, _, transport, _, results := newFrontendOverTransport(t, startServer(t, c.server), 10)
		conn := dialClient(t, addr)
		go func() {
			io.WriteString(conn, callHead+c.request)
			if c.sendMore != nil {
				c.sendMore(conn)
			}
		}()
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if r := <-results; resp.StatusCode != c.status || r != c.result || !resp.Close {
			t.Errorf("%s: status %d, result %d, want %d and %d; close: %v",
				name, resp.StatusCode, r, c.status, c.result, resp.Close)
		}
		conn.Close()
		for transport.Conns() > 0 { // until the call's connection is released
			time.Sleep(time.Millisecond)
		}
	}
}

// TestUploadSentOnce: a long body is never sent by a second attempt. An attempt whose call ended before its connection
// was established reads none of the body.
func TestUploadSentOnce(t *testing.T) {
	p := startServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	transport, _ := newTestTransport(time.Second)
	addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		cancelled, stop := context.WithCancelCause(ctx)
		attempt := routing.Attempt{
			Upstream:   p,
			ExpiresAt:  time.Now().Add(time.Minute),
			Payload:    c.Payload,
			OnBodySent: func() {},
		}
		time.AfterFunc(20*time.Millisecond, func() { stop(routing.ErrCancelled) })
		for i, want := range []balancer.Result{balancer.NotSent, balancer.NotSent} {
			if r := transport.RoundTrip(cancelled, attempt); r.Result != want {
				t.Errorf("attempt %d: result %d, want not sent", i, r.Result)
			}
		}
		if r := transport.RoundTrip(ctx, attempt); r.Result != balancer.NotSent { // has a connection, but the body is closed
			t.Errorf("attempt after these: result %d, want not sent", r.Result)
		}
		return routing.Answer{Verdict: routing.Failed}, true
	})
	raw := callHead + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 80<<10)
	if resp, _ := dialClient(t, addr).roundTrip(t, raw); resp.StatusCode != 502 {
		t.Errorf("response status %d", resp.StatusCode)
	}
}

// slowWriteConn is a connection whose write of the last bytes of a body returns only after a response was read and
// could stop the reading of the body.
type slowWriteConn struct {
	Conn
	last     string
	answered chan bool
	ended    <-chan struct{}
}

// Write implements net.Conn.
func (c *slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if strings.HasSuffix(string(b), c.last) {
		<-c.answered
		select {
		case <-c.ended:
		case <-time.After(50 * time.Millisecond):
		}
	}
	return n, err
}

// Read implements net.Conn.
func (c *slowWriteConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.answered <- true
	return n, err
}

// TestResponseBeforeWriteReturns: a server answers a long body on receiving its last byte, before the write of that
// byte has returned on the node. The client is still connected and must receive the response.
func TestResponseBeforeWriteReturns(t *testing.T) {
	body := strings.Repeat("x", 100000) + "end"
	for last, raw := range map[string]string{
		"end":       fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"0\r\n\r\n": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		p := startServer(t, func(conn net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(conn, okResponse)
			io.Copy(io.Discard, conn)
		})
		addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
			transport, _ := newTestTransport(time.Minute)
			transport.pool.dial = func(dialContext context.Context, addr string) (net.Conn, error) {
				conn, err := Dialer(nil).dial(dialContext, addr)
				return &slowWriteConn{conn, last, make(chan bool, 9), ctx.Done()}, err
			}
			r := transport.RoundTrip(ctx, routing.Attempt{
				Upstream:    p,
				ExpiresAt:   time.Now().Add(time.Minute),
				Payload:     call.Payload,
				BodyTimeout: time.Minute,
				OnBodySent:  func() {},
			})
			return routing.Answer{Reply: r.Reply}, ctx.Err() == nil
		})
		if resp, _ := dialClient(t, addr).roundTrip(t, callHead+raw); resp.StatusCode != 200 {
			t.Error(resp.Status)
		}
	}
}
