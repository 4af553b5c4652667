package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// TestLargeResponses: a response too long to be buffered is read completely in parts, and its connection is used again.
// A response that breaks, or is released unread, closes its connection.
func TestLargeResponses(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	sized := "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n"
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		raw      string
		complete bool
		length   int
		reason   string
	}{
		"sized":           {sized + big, true, len(big), ""},
		"chunked":         {chunks + "32000;x=y\r\n" + big + "\r\n0\r\nA: b\r\n\r\n", true, len(big), ""},
		"ended by close":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big + "cut", true, len(big) + 3, "peer-closed"},
		"truncated body":  {sized + big[10:], false, 0, "peer-closed"},
		"malformed chunk": {chunks + "32000\r\n" + big + "\r\nzz\r\n", false, 0, "reset"},
		"no last chunk":   {chunks + "32000\r\n" + big + "\r\ncut", false, 0, "peer-closed"},
	} {
		p, _ := startScriptedServer(t, c.raw+map[bool]string{false: "cut"}[c.complete])
		transport, l := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
		if r.Result != balancer.OK || r.Reply.(*response).stream == nil {
			t.Fatalf("%s: result %d, want OK and a stream", name, r.Result)
		}
		s := r.Reply.(*response)
		data, err := io.ReadAll(s.stream)
		if complete := err == nil; complete != c.complete || complete && len(s.body)+len(data) != c.length {
			t.Errorf("%s: read %d bytes, error %v", name, len(s.body)+len(data), err)
		}
		if err != nil {
			s.stream.finish("reset")
		} else {
			s.stream.finish("")
		}
		if c.reason != "" {
			l.waitFor("connection ended", "reason="+c.reason)
		} else if transport.Conns() != 1 {
			t.Errorf("%s: the connection was not returned to the pool", name)
		}
	}
	closeServer := make(chan bool)
	slow := startServer(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, chunks+"20000\r\n"+big[:1000])
		<-closeServer
	})
	transport, _ := newTestTransport(time.Second)
	r := transport.RoundTrip(t.Context(), newAttempt(slow, "GET", ""))
	if s := r.Reply.(*response); len(s.body) != 1000 { // part of an incomplete chunk, which the client receives
		t.Errorf("read %d bytes of an incomplete chunk, want 1000", len(s.body))
	}
	close(closeServer)
	p, _ := startScriptedServer(t, sized+big)
	transport, l := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")).Reply.(routing.Releaser).Release()
	l.waitFor("connection ended", "reason=called-off")
	if transport.Conns() != 0 {
		t.Error("a released response keeps its connection open")
	}
}

// TestBrokenLongResponses: a client can detect that a long response is incomplete, and the connection to the server
// carries nothing more.
func TestBrokenLongResponses(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	const sized = "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const shorter = "HTTP/1.1 200 OK\r\nContent-Length: 204794\r\n\r\n"
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n"
	const fields = "\r\nA: b\r\nA: c\r\nConnection: close\r\n\r\n"
	chunk := "32000\r\n" + big + "\r\n"
	endless := strings.Repeat("a: b\r\n", maxResponseHead)
	for name, c := range map[string]struct {
		raw, reason string
		complete    bool
	}{
		"truncated body":         {sized + big, "peer-closed", false},
		"no last chunk":          {chunks + chunk, "peer-closed", false},
		"malformed chunk":        {chunks + chunk + "zz\r\n", "spoilt", false},
		"trailer too long":       {chunks + chunk + "0\r\n" + endless, "spoilt", false},
		"truncated trailer":      {chunks + chunk + "0\r\na: b\r\n", "peer-closed", false},
		"longer than its length": {shorter + big, "spoilt", false},
		"second response":        {whole + big + whole + big, "surplus", true},
		"two fields of one name": {strings.Replace(chunks, "\r\n\r\n", fields, 1) + chunk + "0\r\n\r\n", "peer-asked", true},
	} {
		p := startServer(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, c.raw)
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn)
		})
		addr, _, transport, log, _ := newFrontendOverTransport(t, p, 10)
		conn := dialClient(t, addr)
		io.WriteString(conn, callHead+"Content-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			t.Fatal(name, err)
		}
		received, err := io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || (err == nil) != c.complete || received < 150<<10 {
			t.Errorf("%s: status %d, read %d bytes, error %v", name, resp.StatusCode, received, err)
		}
		if c.complete && strings.Contains(name, "fields") && len(resp.Header["A"]) != 2 {
			t.Errorf("%s: header %v, want two fields A", name, resp.Header)
		}
		line := log.waitFor("side=peer")
		closed := strings.Contains(line, "reason=peer-closed") // the server's close may arrive at the same time
		if !strings.Contains(line, "reason="+c.reason) && !closed {
			t.Errorf("%s: unexpected close reason in %s", name, line)
		}
		if n := transport.Conns(); n != 0 {
			t.Errorf("%s: %d connections are open, want none", name, n)
		}
	}
	p := startServer(t, func(conn net.Conn) { // its client disconnects
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, strings.Replace(sized, "300000", "60000000", 1)) // more than the socket buffers hold
		for err := error(nil); err == nil; {
			_, err = io.WriteString(conn, big)
		}
	})
	addr, _, _, log, _ := newFrontendOverTransport(t, p, 10)
	conn := dialClient(t, addr)
	io.WriteString(conn, callHead+"Content-Length: 0\r\n\r\n")
	conn.in.ReadByte()
	conn.Conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	line := log.waitFor("side=peer")
	if !strings.Contains(line, "reason=called-off") && !strings.Contains(line, "reason=reset") {
		t.Error(line)
	}
}

// TestSlowStreamedResponse: a long response below the minimum rate is given up once the node has waited for the server
// as long as for a stalled one. The time that a slow client needs does not count.
func TestSlowStreamedResponse(t *testing.T) {
	const all = 300000
	for name, c := range map[string]struct {
		part     int           // number of bytes that the server sends before each pause
		pause    time.Duration // pause of the client between two reads
		complete bool
	}{"slow server": {1, 0, false}, "slow client": {all, 10 * time.Millisecond, true}} {
		p := startServer(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", all))
			for range min(3000, all/c.part) { // limited, since nothing else would end the loop
				io.WriteString(conn, strings.Repeat("x", c.part))
				time.Sleep(time.Millisecond)
			}
		})
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
		if r.Result != balancer.OK {
			t.Fatal(name, r.Result)
		}
		stream, got, err := r.Reply.(*response).stream, 0, error(nil)
		stream.waited = streamStallTimeout - 50*time.Millisecond // as after a long wait
		for b, n := make([]byte, streamBufferSize), 0; err == nil; time.Sleep(c.pause) {
			n, err = stream.Read(b)
			got += n
		}
		if errors.Is(err, io.EOF) != c.complete || !c.complete && !errors.Is(err, os.ErrDeadlineExceeded) ||
			c.complete && got != all {
			t.Errorf("%s: read %d bytes, then error %v", name, got, err)
		}
		stream.finish("reset")
		transport.Close()
	}
}

// TestBeginningOfChunkIsNotHeldBack guards against the first bytes of a chunk that wait for the rest of it: the server
// pauses after the first chunk of a response, and after the beginning of the second.
func TestBeginningOfChunkIsNotHeldBack(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	goOn := make(chan bool)
	server := startServer(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		rest := strings.Repeat("x", 0x20000-len("abc"))
		for _, part := range []string{head + "20000\r\nabc", rest + "\r\n5\r\nde", "fgh\r\n0\r\n\r\n"} {
			io.WriteString(conn, part)
			<-goOn
		}
	})
	transport, _ := newTestTransport(time.Second)
	attempt := newAttempt(server, "GET", "")
	attempt.ExpiresAt = time.Now().Add(5 * time.Second)
	r := transport.RoundTrip(t.Context(), attempt)
	if r.Result != balancer.OK {
		t.Fatalf("result %d, want OK with the first bytes", r.Result)
	}
	s := r.Reply.(*response)
	if string(s.body) != "abc" {
		t.Errorf("first part %q, want abc", s.body)
	}
	goOn <- true
	data := make([]byte, 0x20000-3+2)
	if _, err := io.ReadFull(s.stream, data); err != nil || !strings.HasSuffix(string(data), "xde") {
		t.Errorf("read %.10q and error %v before the server went on, want all bytes that it has sent", data, err)
	}
	goOn <- true
	if rest, err := io.ReadAll(s.stream); string(rest) != "fgh" || err != nil {
		t.Errorf("read %q and error %v, want the rest", rest, err)
	}
	close(goOn)
	s.stream.finish(reasonNone)
}

// The attempt is cancelled after its head, while the first part waits for more bytes.
func TestCancelledAttemptWhoseAnswerHasBegunServesCall(t *testing.T) {
	for name, c := range map[string]struct {
		callDone bool
		result   balancer.Result
	}{"call open": {false, balancer.OK}, "call answered": {true, balancer.Cancelled}} {
		written, goOn := make(chan bool), make(chan bool)
		server := startServer(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3")
			written <- true
			<-goOn
			io.WriteString(conn, "\r\ndef\r\n0\r\n\r\n")
		})
		transport, _ := newTestTransport(time.Second)
		attempt := newAttempt(server, "GET", "")
		attempt.ExpiresAt = time.Now().Add(5 * time.Second)
		attempt.CallDone = new(atomic.Bool)
		ctx, cancel := context.WithCancelCause(t.Context())
		go func() {
			<-written
			time.Sleep(firstPartWait / 4)
			attempt.CallDone.Store(c.callDone)
			cancel(routing.ErrCancelled)
		}()
		begun := time.Now()
		r := transport.RoundTrip(ctx, attempt)
		close(goOn)
		if elapsed := time.Since(begun); r.Result != c.result || elapsed > time.Second {
			t.Errorf("%s: result %d after %v, want %d at once", name, r.Result, elapsed, c.result)
		}
		if s, ok := r.Reply.(*response); ok {
			first := string(s.body)
			if rest, err := io.ReadAll(s.stream); first+string(rest) != "abcdef" || err != nil {
				t.Errorf("%s: read %q and %q, error %v, want abcdef", name, first, rest, err)
			}
			s.stream.finish(reasonNone)
		}
	}
}

// Without memory for its first part, an answer is passed on as it arrives.
func TestAnswerInPartsWithoutMemory(t *testing.T) {
	const part = 50_000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", part, strings.Repeat("x", part))
	goOn := make(chan bool)
	server := startServer(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk)
		<-goOn
		io.WriteString(conn, chunk+"0\r\n\r\n")
	})
	transport, _ := newTestTransport(time.Second)
	transport.buffers.budget = NewMemoryBudget(0)
	r := transport.RoundTrip(t.Context(), newAttempt(server, "GET", ""))
	close(goOn)
	if r.Result != balancer.OK || r.Reply.(*response).stream == nil {
		t.Fatalf("result %d, want OK and a stream", r.Result)
	}
	s := r.Reply.(*response)
	if rest, err := io.ReadAll(s.stream); len(s.body)+len(rest) != 2*part || err != nil {
		t.Errorf("read %d bytes and error %v, want %d", len(s.body)+len(rest), err, 2*part)
	}
	s.stream.finish(reasonNone)
}
