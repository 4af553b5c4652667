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

// noAttemptAfter is the time after a disconnect of the client from which no attempt of its call may be sent.
const noAttemptAfter = 100 * time.Millisecond

// TestNoAttemptAfterClientLeft: no attempt is sent 0.1 s after the client has disconnected, regardless of the step that
// the call waits for and of the kind of disconnect. This includes clients that have sent bytes after their request,
// which hide the disconnect from a check of the next byte alone.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	const whole = callHead + "Content-Length: 0\r\n\r\n"
	upload := callHead + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
	const failed = "HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		raw           string
		firstResponse string // response of the first attempt's server; "" if there is no first attempt, "-" for no response
		waitsForConn  bool   // waits for the connection instead of the decision
	}{
		"waits for the decision":                   {whole, "", false},
		"waits for a connection":                   {whole, "", true},
		"between two attempts":                     {whole, failed, false},
		"retry waits for a connection":             {whole, failed, true},
		"waits while a hedged request is due":      {whole, "-", false},
		"hedged request waits for a connection":    {whole, "-", true},
		"upload waits for the decision":            {upload, "", false},
		"upload waits for a connection":            {upload, "", true},
		"incomplete upload waits for the decision": {upload[:len(upload)/2], "", false},
	} {
		for _, further := range []string{"", "x", whole} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d further bytes, reset %v", name, len(further), reset), func(t *testing.T) {
					t.Parallel()
					reached, proceed, ended := make(chan bool), make(chan bool), make(chan balancer.Result)
					firstServer := startServer(t, func(conn net.Conn) {
						in := bufio.NewReader(conn)
						in.ReadByte()
						if reached <- true; c.firstResponse != "-" {
							io.WriteString(conn, c.firstResponse)
						}
						io.Copy(io.Discard, in)
					})
					lastServer := startServer(t, func(conn net.Conn) {
						if n, _ := conn.Read(make([]byte, 1)); n > 0 {
							t.Error("an attempt was sent after the client disconnected")
						}
					})
					transport, _ := newTestTransport(time.Minute)
					transport.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
						if c.waitsForConn && addr == lastServer.Addr {
							if c.firstResponse != "-" && c.firstResponse != failed {
								reached <- true
							}
							<-proceed
							ctx = context.WithoutCancel(ctx) // the connection may succeed at the same moment
						}
						return dialTCP(ctx, addr)
					}
					addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
						attempt := routing.Attempt{Upstream: firstServer, ExpiresAt: time.Now().Add(time.Minute), Payload: call.Payload,
							BodyTimeout: time.Minute, OnBodySent: func() {}}
						if c.firstResponse == "-" {
							go transport.RoundTrip(context.WithoutCancel(ctx), attempt)
							attempt.Number++
						} else if c.firstResponse != "" {
							transport.RoundTrip(ctx, attempt)
							attempt.Number++
						}
						attempt.Upstream = lastServer
						if !c.waitsForConn {
							if c.firstResponse == "" {
								reached <- true
							}
							<-proceed
						}
						ended <- transport.RoundTrip(ctx, attempt).Result
						return routing.Answer{}, false
					})
					client := dialClient(t, addr)
					io.WriteString(client, c.raw)
					<-reached
					io.WriteString(client, further)
					if reset {
						client.Conn.(*net.TCPConn).SetLinger(0)
					}
					client.Close()
					time.Sleep(noAttemptAfter)
					close(proceed)
					if r := <-ended; r != balancer.NotSent {
						t.Errorf("result of the attempt: %d, want NotSent", r)
					}
					transport.Close()
				})
			}
		}
	}
}

// TestClientLeftBehindUnreadBytes: a call ends when its client disconnects, regardless of further bytes that the client
// has sent and although no attempt checks for a disconnect.
func TestClientLeftBehindUnreadBytes(t *testing.T) {
	const whole = callHead + "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ readAlong, sentLater string }{
		"further bytes read": {whole, ""}, "unread": {"", whole}, "both": {whole[:50], whole[50:] + whole},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				handling, ended := make(chan *clientConn, 3), make(chan bool, 3)
				addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
					handling <- call.Payload.(*requestMessage).client.(*clientConn)
					<-ctx.Done()
					ended <- true
					return routing.Answer{}, false
				})
				client := dialClient(t, addr)
				io.WriteString(client, whole+c.readAlong)
				accepted := <-handling
				io.WriteString(client, c.sentLater)
				if c.sentLater != "" {
					waitFor(t, accepted.seesUnreadPipelined)
				}
				if reset {
					client.Conn.(*net.TCPConn).SetLinger(0)
				}
				client.Close()
				select {
				case <-ended:
				case <-time.After(10 * time.Second):
					t.Error("the disconnect was not noticed within 10 s")
				}
			})
		}
	}
}

// seesUnreadPipelined reports whether unread bytes after the open request have been noticed.
func (c *clientConn) seesUnreadPipelined() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.state.nextUnread
}

// TestClientLeftDuringStalledResponse: if a client disconnects in the middle of a long response whose server has
// stalled, its descriptors are released, regardless of the bytes that it has sent. For a client that stays, the
// frontend waits for the rest of the response.
func TestClientLeftDuringStalledResponse(t *testing.T) {
	const whole = callHead + "Content-Length: 0\r\n\r\n"
	half := strings.Repeat("x", 100<<10)
	sized := func(head string) string { return head + "Content-Length: 204800\r\n\r\n" + half }
	const chunks = "Transfer-Encoding: chunked\r\n\r\n32000\r\n"
	for name, c := range map[string]struct{ raw, sentLater, response, rest string }{
		"call with a sized response": {whole, "", sized(""), half},
		"chunked response":           {whole, "", chunks + half, half + "\r\n0\r\n\r\n"},
		"pipelined request":          {whole, whole, sized(""), half},
		"incomplete request body":    {sized(callHead), half[:100], sized(""), half},
	} {
		for way, end := range map[string]func(*net.TCPConn){
			"closes": func(*net.TCPConn) {},
			"resets": func(conn *net.TCPConn) { conn.SetLinger(0) },
			"stays":  nil,
		} {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				stalled, proceed, ended := make(chan bool), make(chan bool), make(chan error, 1)
				server := startServer(t, func(conn net.Conn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.response)
					stalled <- true
					if end == nil {
						<-proceed
						io.WriteString(conn, c.rest)
					}
					_, err := io.Copy(io.Discard, conn)
					ended <- err
				})
				addr, front, transport, log, _ := newFrontendOverTransport(t, server, 10)
				client := dialClient(t, addr)
				io.WriteString(client, c.raw)
				<-stalled
				resp, err := http.ReadResponse(client.in, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.CopyN(io.Discard, resp.Body, int64(len(half))); err != nil {
					t.Fatal(err)
				}
				io.WriteString(client, c.sentLater)
				if end == nil {
					time.Sleep(3 * clientCheckInterval)
					close(proceed)
					if n, err := io.Copy(io.Discard, resp.Body); n != int64(len(half)) || err != nil {
						t.Errorf("read %d more bytes, %v; want the rest of the response", n, err)
					}
					return
				}
				end(client.Conn.(*net.TCPConn))
				client.Close()
				// well before the server is considered stalled
				waitFor(t, func() bool { return transport.Conns() == 0 && front.ClientConns() == 0 })
				log.waitFor("side=peer", "reason=called-off")
				<-ended
			})
		}
	}
}

// TestClientLeftBeforeWatch: an attempt that is not sent immediately detects a client that disconnected before its
// connection is watched, and the detection cancels the call.
func TestClientLeftBeforeWatch(t *testing.T) {
	var c *testClient
	found := make(chan [2]bool)
	addr, _, _ := newTestFrontend(t, 10, func(ctx context.Context, call routing.Call) (routing.Answer, bool) {
		m := call.Payload.(*requestMessage)
		present := !m.clientLeft(1, time.Now())
		c.Close()
		for !m.clientLeft(1, time.Now()) {
		}
		found <- [2]bool{present, !m.arrivedAt.IsZero() && !m.clientLeft(0, m.arrivedAt.Add(ImmediateSendWindow))}
		<-ctx.Done()
		close(found)
		return routing.Answer{}, false
	})
	c = dialClient(t, addr)
	io.WriteString(c, callHead+"Content-Length: 0\r\n\r\n")
	if got := <-found; got != [2]bool{true, true} {
		t.Errorf("client present, and no check for an immediate first attempt: %v, want both true", got)
	}
	<-found
}
