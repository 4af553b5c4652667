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

	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// startPipelinedClient returns a client that has written raw, several requests at once. The first of them has reached a
// server, which answers one request for each value received from release.
func startPipelinedClient(t *testing.T, raw string) (c *testClient, front *Frontend, received chan string,
	release chan bool) {
	t.Helper()
	received, release = make(chan string, 1000), make(chan bool)
	server := startServer(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			received <- r.Header.Get("X-Call-Id")
			<-release
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+r.Header.Get("X-Call-Id"))
		}
	})
	addr, front, _, _, results := newFrontendOverTransport(t, server, 10)
	go func() {
		for range results {
		}
	}()
	c = dialClient(t, addr)
	io.WriteString(c, raw)
	if id := <-received; id != "1b" {
		t.Fatalf("first request at the server has ID %s, want 1b", id)
	}
	return c, front, received, release
}

// numberedRequest returns the nth request, with a body of the given number of bytes.
func numberedRequest(n, body int) string {
	head := strings.Replace(callHead, "9b", fmt.Sprintf("%db", n), 1)
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", body) + strings.Repeat("x", body)
}

// chunkedRequest returns the nth request with a chunked body, given in its encoded form.
func chunkedRequest(n int, body string) string {
	const sized, chunked = "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	return strings.Replace(numberedRequest(n, 0), sized, chunked+body, 1)
}

// TestPipelinedWhileDraining: every request that was read along with an earlier one is answered, even if the node
// begins to drain or to evict connections while the earlier one is at its server. The last response announces the close
// of the connection, which then follows.
func TestPipelinedWhileDraining(t *testing.T) {
	inChunks := chunkedRequest(2, "1\r\nx\r\n00A\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n")
	half := len(inChunks) - 9 // in the middle of a chunk
	first, second, third := numberedRequest(1, 0), numberedRequest(2, 0), numberedRequest(3, 0)
	withBody := numberedRequest(2, 9)
	halfBody := withBody[:len(withBody)-4]
	burst := strings.Repeat(third, 100)
	for name, c := range map[string]struct {
		raw   string
		later string // sent after the node begins to drain
		want  int    // number of responses
	}{
		"two":                                  {first + second, "", 2},
		"three":                                {first + numberedRequest(2, 3) + third, "", 3},
		"after a body":                         {numberedRequest(1, 500) + second, "", 2},
		"first of a burst":                     {first + second, strings.Repeat(third, 10), 2},
		"half a head":                          {first + second[:50], second[50:], 2},
		"half a body":                          {first + halfBody, "xxxx", 2},
		"half a head, then a burst":            {first + second[:50], second[50:] + burst, 2},
		"half a body, then a burst":            {first + halfBody, "xxxx" + burst, 2},
		"chunked request last":                 {first + inChunks, "", 2},
		"after a chunked request":              {first + inChunks + numberedRequest(3, 3), "", 3},
		"half a chunked request":               {first + inChunks[:half], inChunks[half:], 2},
		"half a chunked request, then a burst": {first + inChunks[:half], inChunks[half:] + burst, 2},
	} {
		for way, act := range map[string]func(*Frontend){
			"starts draining":  func(f *Frontend) { f.clients.startDraining() },
			"shuts down":       func(f *Frontend) { go f.Drain(shutdownLimits(time.Minute)) },
			"lowers the limit": func(f *Frontend) { f.SetClientLimits(ClientLimits{MaxOpen: 1}) },
		} {
			if way != "starts draining" && (c.later != "" || name == "after a body") {
				continue // eviction keeps connections with open requests, and Drain takes long
			}
			closes := way != "lowers the limit" || strings.HasSuffix(c.raw, inChunks)
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				conn, front, _, release := startPipelinedClient(t, c.raw)
				act(front)
				if way == "shuts down" {
					waitFor(t, front.clients.isDraining)
				}
				io.WriteString(conn, c.later)
				close(release)
				for n := 1; n <= c.want; n++ {
					resp, err := http.ReadResponse(conn.in, nil)
					if err != nil {
						t.Fatalf("response %d: %v", n, err)
					}
					body, err := io.ReadAll(resp.Body)
					if want := fmt.Sprintf("%db", n); resp.StatusCode != 200 || string(body) != want || err != nil {
						t.Errorf("response %d: status %d, body %q, error %v", n, resp.StatusCode, body, err)
					}
					if resp.Close != (n == c.want && closes) {
						t.Errorf("response %d: close = %v", n, resp.Close)
					}
				}
				if !closes {
					return
				}
				b, err := io.ReadAll(conn.in)
				if len(b) > 0 || err != nil && !strings.Contains(c.later, "3b") { // unread requests are reset
					t.Errorf("after the last response: read %q, %v; want EOF", b, err)
				}
				waitFor(t, func() bool { return front.ClientConns() == 0 })
			})
		}
	}
}

// TestPipelinedBehindRejected: a request that was read along with an earlier, malformed one is served, unless another
// implementation could find the end of the malformed one elsewhere than the node did. In that case the response to the
// malformed request closes the connection, and no later request is served.
func TestPipelinedBehindRejected(t *testing.T) {
	second := func(old, new string) string { return strings.Replace(numberedRequest(2, 0), old, new, 1) }
	asGet := func(request string) string {
		return strings.NewReplacer("POST", "GET", "book", "status").Replace(request)
	}
	const expect = "Host: h\r\nExpect: 100-continue\r\nX-Budget: 1"
	inChunks := chunkedRequest(2, "1\r\nx\r\n0\r\n\r\n")
	for name, c := range map[string]struct {
		raw       string
		status    int
		continues bool
	}{
		"an unknown class":             {second("book", "gift"), 400, true},
		"a bad budget, and a body":     {strings.Replace(numberedRequest(2, 9), "0.5", "soon", 1), 400, true},
		"no id":                        {second("X-Call-Id", "X-Id"), 400, true},
		"a POST that must be a GET":    {second("book", "status"), 405, true},
		"a GET that must be a POST":    {"GET" + second("POST", "")[:len(second("POST", ""))-2] + "\r\n", 405, true},
		"a POST to the readiness path": {second("/api?user=%41", protocol.PathReady), 405, true},
		"a chunked body":               {strings.Replace(inChunks, "book", "gift", 1), 400, true},
		"a body after Expect":          {strings.Replace(numberedRequest(2, 9), "Host: h", expect, 1), 400, true},

		"two lengths":       {second("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"), 400, false},
		"a folded line":     {second("Host: h", "Host: h\r\nA: b\r\n c"), 400, false},
		"a bare line feed":  {second("Host: h\r", "Host: h"), 400, false},
		"ready, bare LF":    {strings.Replace(second("/api", protocol.PathReady+"?"), "Host: h\r", "Host: h", 1), 405, false},
		"a second length":   {second("Host: h", "Host: h\r\nContent_Length: 5"), 400, false},
		"an odd target":     {second("/api", "//api"), 400, false},
		"an old version":    {second("1.1\r\n", "1.0\r\nConnection: keep-alive\r\n"), 505, false},
		"a GET with a body": {asGet(numberedRequest(2, 9)), 400, false},
		"a GET, no class":   {strings.NewReplacer("POST", "GET", "book", "gift").Replace(numberedRequest(2, 9)), 400, false},
		"a GET, long body":  {asGet(numberedRequest(2, 70000)), 400, false},
		"a tunnel":          {second("POST", "CONNECT"), 405, false},
		"malformed chunks":  {chunkedRequest(2, "1\r\nxx\r\n0\r\n\r\n"), 400, false},
		"bare LF in chunks": {strings.Replace(chunkedRequest(2, "1\nx\r\n0\r\n\r\n"), "book", "gift", 1), 400, false},
		"a trailer":         {strings.Replace(chunkedRequest(2, "0\r\nA: b\r\n\r\n"), "book", "gift", 1), 400, false},
	} {
		for way, startDraining := range map[string]func(*Frontend){
			"":           func(*Frontend) {},
			", draining": func(f *Frontend) { f.clients.startDraining() },
		} {
			t.Run(name+way, func(t *testing.T) {
				t.Parallel()
				conn, front, received, release := startPipelinedClient(t, numberedRequest(1, 0)+c.raw+numberedRequest(3, 0))
				startDraining(front)
				close(release)
				want := []int{200, c.status}
				if c.continues {
					want = append(want, 200)
				}
				for n, status := range want {
					method, _, _ := strings.Cut(c.raw, " ")
					resp, err := http.ReadResponse(conn.in, &http.Request{Method: method})
					if err == nil && resp.StatusCode == http.StatusContinue {
						resp, err = http.ReadResponse(conn.in, nil)
					}
					if err != nil {
						t.Fatalf("response %d: %v", n+1, err)
					}
					io.Copy(io.Discard, resp.Body)
					if last := n+1 == len(want); resp.StatusCode != status || resp.Close != (last && (way != "" || !c.continues)) {
						t.Errorf("response %d: status %d, want %d; close = %v", n+1, resp.StatusCode, status, resp.Close)
					}
				}
				if c.continues {
					if id := <-received; id != "3b" {
						t.Errorf("next request at the server has ID %s, want 3b", id)
					}
				} else if b, err := io.ReadAll(conn.in); len(b) > 0 || err != nil || len(received) > 0 {
					t.Errorf("after the response: read %q, %v; %d requests at the server; want EOF, 0", b, err, len(received))
				}
			})
		}
	}
}

// TestPipelinedRejectedWithoutTimeLeft: the time of a graceful shutdown is limited, and a chain of pipelined calls
// cannot use all of it. A call that may not be answered in time is rejected when its turn comes.
func TestPipelinedRejectedWithoutTimeLeft(t *testing.T) {
	conn, front, received, release := startPipelinedClient(t,
		numberedRequest(1, 0)+numberedRequest(2, 0)+numberedRequest(3, 0))
	ended := make(chan bool)
	go func() {
		front.Drain(shutdownLimits(0))
		close(ended)
	}()
	waitFor(t, func() bool { return !front.drain.admits(time.Now(), time.Millisecond) })
	release <- true // only once
	for n, want := range []int{200, 503, 503} {
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Fatalf("response %d: %v", n+1, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want || (resp.Header.Get("Retry-After") != "") != (want == 503) || resp.Close != (n == 2) {
			t.Errorf("response %d: status %d, header %v, close = %v", n+1, resp.StatusCode, resp.Header, resp.Close)
		}
	}
	if <-ended; len(received) > 0 || front.ClientConns() > 0 {
		t.Errorf("%d more requests at the server, %d connections left; want none", len(received), front.ClientConns())
	}
}

// TestPipelinedBehindLongBody: if a call is rejected before its long body was read completely, the next request is
// still answered, provided that all of the body has arrived.
func TestPipelinedBehindLongBody(t *testing.T) {
	addr, front, _ := newTestFrontend(t, 10, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		if c.ClientRequestID == "2b" {
			return routing.Answer{Verdict: routing.Served, Reply: &response{}}, true
		}
		return routing.Answer{Verdict: routing.Rejected}, true
	})
	c := dialClient(t, addr)
	body := strings.Repeat("x", protocol.MaxBufferedBody)
	io.WriteString(c, chunkedRequest(1, fmt.Sprintf("%x\r\n%s", len(body), body)))
	waitFor(t, func() bool { // the whole first chunk has been read
		front.clients.mu.Lock()
		defer front.clients.mu.Unlock()
		for accepted := range front.clients.open {
			return accepted.framing.chunkEndDue && accepted.framing.bodyLeft == 0
		}
		return false
	})
	io.WriteString(c, "\r\n1\r\nx\r\n0\r\n\r\n"+numberedRequest(2, 0))
	for n, want := range []int{503, 200} {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil || resp.StatusCode != want || resp.Close {
			t.Fatalf("response %d: %+v, %v", n+1, resp, err)
		}
	}
}

// TestPipelined: a request that was read along with the previous one is open, so its connection must not be closed as
// idle.
func TestPipelined(t *testing.T) {
	handling, release := make(chan bool), make(chan bool)
	addr, front, _ := newTestFrontend(t, 10, func(ctx context.Context, c routing.Call) (routing.Answer, bool) {
		handling <- true
		<-release
		return routing.Answer{Verdict: routing.Failed}, true
	})
	c := dialClient(t, addr)
	one := callHead + "Content-Length: 0\r\n\r\n"
	io.WriteString(c, one+one)
	<-handling
	release <- true
	<-handling
	front.clients.startDraining()
	release <- true
	for range 2 {
		if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 502 {
			t.Fatal(resp, err)
		}
	}
}

// TestPipelinedRequestTimeout: a request that began to arrive during a long call has as much time for its body as any
// other, whether it was read along with the call or is still unread.
func TestPipelinedRequestTimeout(t *testing.T) {
	for name, along := range map[string]bool{"read along": true, "unread": false} {
		t.Run(name, func(t *testing.T) { checkPipelinedRequestTimeout(t, along) })
	}
}

func checkPipelinedRequestTimeout(t *testing.T, readAlong bool) {
	const half = callHead + "Content-Length: 10\r\n\r\nhalf "
	handling, release := make(chan *clientConn, 2), make(chan bool, 2)
	addr, front, _ := newTestFrontend(t, 10, func(_ context.Context, c routing.Call) (routing.Answer, bool) {
		handling <- c.Payload.(*requestMessage).client.(*clientConn)
		<-release
		return routing.Answer{Verdict: routing.Failed}, true
	})
	c := dialClient(t, addr)
	raw := callHead + "Content-Length: 0\r\n\r\n"
	if readAlong {
		raw += half
	}
	io.WriteString(c, raw)
	accepted := <-handling
	if !readAlong {
		io.WriteString(c, half)
	}
	for arrived := false; !arrived; { // makes the call last as long as a body may take
		front.clients.mu.Lock()
		if arrived = accepted.state.nextStarted == readAlong && accepted.state.nextUnread != readAlong; arrived {
			accepted.requestStartedAt = accepted.requestStartedAt.Add(-requestTimeout)
		}
		front.clients.mu.Unlock()
	}
	release <- true
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 502 {
		t.Fatal(resp, err)
	}
	io.WriteString(c, "of it")
	release <- true
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 502 {
		t.Fatal(resp, err)
	}
}
