package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"olivebridge/internal/lab/loop"
	"olivebridge/internal/lab/network"
	"olivebridge/internal/lab/world"
	"olivebridge/internal/routing"
)

// TestResponseBeforeBodyEnd: a client that writes its whole request before it reads anything gets the complete
// response, however early the response was sent. A close with unread bytes would reset the connection.
func TestResponseBeforeBodyEnd(t *testing.T) {
	const mb = 1 << 20
	sized := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	get := strings.NewReplacer("POST", "GET", "book", "status").Replace(callHead)
	chunks := strings.Repeat("100000\r\n"+strings.Repeat("x", mb)+"\r\n", 60)
	for name, c := range map[string]struct {
		head   string
		bytes  int // sent after head, more than the socket buffers hold
		rest   string
		status int
	}{
		"a sized body over the limit":   {callHead + sized(60*mb), 60 * mb, "", 413},
		"a chunked body over the limit": {callHead + "Transfer-Encoding: chunked\r\n\r\n", 0, chunks, 413},
		"an unknown class":              {strings.Replace(callHead, "book", "gift", 1) + sized(60*mb), 60 * mb, "", 400},
		"a GET with a long body":        {get + sized(20*mb), 20 * mb, "", 400},
		"a GET with a chunked body":     {get + "Transfer-Encoding: chunked\r\n\r\n", 0, chunks, 400},
		"a wrong method":                {strings.Replace(callHead, "POST", "PUT", 1) + sized(20*mb), 20 * mb, "", 405},
		"an old version":                {strings.Replace(callHead, "1.1", "1.0", 1) + sized(20*mb), 20 * mb, "", 505},
		"a flood without line ends":     {"", 20 * mb, "", 431},
		"a flood of lines":              {"", 0, strings.Repeat("noise\r\n", 4*mb), 431},
		"too many connections":          {callHead + sized(20*mb), 20 * mb, "", 503},
		"a server that answers early":   {callHead + sized(20*mb), 20 * mb, "", 200},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(conn net.Conn) {
				if c.status == 200 { // before it reads the body
					io.WriteString(conn, okResponse)
				}
				io.Copy(io.Discard, conn)
			})
			addr, front, _, _, _ := newFrontendOverTransport(t, server, 10)
			if c.status == 503 {
				handling, release := make(chan bool), make(chan bool)
				addr, front, _ = newTestFrontend(t, 2, func(context.Context, routing.Call) (routing.Answer, bool) {
					handling <- true
					<-release
					return routing.Answer{}, true
				})
				defer close(release)
				for range 2 {
					io.WriteString(dialClient(t, addr), callHead+sized(0))
					<-handling
				}
				front.SetClientLimits(ClientLimits{MaxOpen: 1})
			}
			conn := dialClient(t, addr)
			io.WriteString(conn, c.head)
			for block := strings.Repeat("x", mb); c.bytes > 0; c.bytes -= mb {
				if _, err := io.WriteString(conn, block); err != nil {
					t.Fatalf("write failed with %d bytes left: %v", c.bytes, err)
				}
			}
			if _, err := io.WriteString(conn, c.rest); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(conn.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != c.status || !resp.Close {
				t.Errorf("status %d, close: %v, error %v", resp.StatusCode, resp.Close, err)
			}
			if b, err := io.ReadAll(conn.in); len(b) > 0 || err != nil {
				t.Errorf("after the response: read %q, %v; want EOF", b, err)
			}
			conn.Close()
			waitFor(t, func() bool { return !front.hasLingering() })
		})
	}
}

// sendRejectedUpload sends a request that is rejected, and then continues to send single bytes until a write fails.
func sendRejectedUpload(t *testing.T, c *testClient) (ended chan error) {
	t.Helper()
	ended = make(chan error, 1)
	if resp, _ := c.roundTrip(t, callHead+"Content-Length: 60000000\r\n\r\nx"); resp.StatusCode != 413 {
		t.Fatalf("status %d, want 413", resp.StatusCode)
	}
	go func() {
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				ended <- err
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return ended
}

// TestLingeringEvictedFirst: a lingering connection counts as open and is evicted first.
func TestLingeringEvictedFirst(t *testing.T) {
	addr, front, _ := newTestFrontend(t, 2, nil)
	idle := front.dialIdle(t, addr, 1)
	ended := sendRejectedUpload(t, dialClient(t, addr))
	waitFor(t, front.hasLingering)
	if n := front.ClientConns(); n != 2 {
		t.Errorf("%d connections are open, want 2", n)
	}
	start := time.Now()
	for _, c := range []*testClient{dialClient(t, addr), idle} {
		if resp, _ := c.roundTrip(t, readyRequest); resp.StatusCode != 200 {
			t.Errorf("status %d, want 200", resp.StatusCode)
		}
	}
	if <-ended; time.Since(start) > lingerTimeout-time.Second {
		t.Error("the connection lingered until its timeout, want an eviction")
	}
}

// TestLingeringEndsInTime: a client that neither closes its connection nor stops sending delays neither the close of
// the connection nor a shutdown. The test runs on a virtual clock, since on a busy machine many short waits can add up
// to a long one.
func TestLingeringEndsInTime(t *testing.T) {
	for name, drain := range map[string]bool{"alone": false, "during a shutdown": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lab := loop.New(synctest.Wait)
				net := network.New(lab, 1, world.Net{}, nil)
				go lab.Run(t.Context(), time.Minute, nil)
				l, err := net.Host("node").Listen(":80")
				if err != nil {
					t.Fatal(err)
				}
				front, _ := newTestFrontendOn(t, l, 10, nil)
				start := time.Now()
				conn, err := net.Host("client").Dial(t.Context(), l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				ended := sendRejectedUpload(t, &testClient{conn, bufio.NewReader(conn)})
				waitFor(t, front.hasLingering)
				limit := lingerTimeout
				if drain {
					front.Drain(shutdownLimits(time.Second))
					limit = drainStopAccept + lingerDrainTimeout
				}
				<-ended
				limit += 600 * time.Millisecond // net/http closes 0.5 s after such a response
				if elapsed := time.Since(start); elapsed > limit || front.ClientConns() > 0 {
					t.Errorf("%d connections are open after %v, want none after %v", front.ClientConns(), elapsed, limit)
				}
			})
		})
	}
}

// TestCloseOverUnreadRequest: if the next request is unread when the connection closes, the response before it still
// arrives, and the request is either reset unread or served. It is never read and discarded.
func TestCloseOverUnreadRequest(t *testing.T) {
	for name, draining := range map[string]bool{"after the last response": false, "on an idle connection": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			conns := newClientConns(l, ClientLimits{MaxOpen: 5, MaxIdle: 5}, nil, slog.New(slog.DiscardHandler))
			defer conns.Close()
			c := dialClient(t, l.Addr().String())
			c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			io.WriteString(c, "one")
			conn, err := conns.Accept()
			if err != nil {
				t.Fatal(err)
			}
			accepted := conn.(*clientConn)
			io.ReadFull(accepted, make([]byte, 3))
			accepted.completeRequest()
			responseLen := 1 << 20 // more than the receive buffer of the client holds
			accepted.Conn.(*tcpConn).SetWriteBuffer(2 * responseLen)
			if n, err := accepted.Write(make([]byte, responseLen)); n != responseLen || err != nil {
				t.Fatal(n, err)
			}
			io.WriteString(c, "two")
			waitFor(t, func() bool { return hasUnread(accepted.Conn) })
			closed := make(chan error)
			if draining {
				conns.connState(accepted, http.StateIdle)
				conns.startDraining()
				if accepted.isClosing() {
					t.Error("the close is decided although a request is unread")
				}
				next := make([]byte, 3)
				if _, err := io.ReadFull(accepted, next); string(next) != "two" {
					t.Errorf("read %q, %v; want the next request", next, err)
				}
				accepted.completeRequest()
				accepted.Write([]byte("x"))
				responseLen++
			}
			go func() { closed <- accepted.Close() }()
			n, err := io.Copy(io.Discard, c)
			if n != int64(responseLen) || (err == nil) != draining {
				t.Errorf("client read %d bytes of %d, error %v", n, responseLen, err)
			}
			<-closed
		})
	}
}
