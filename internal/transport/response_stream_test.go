package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// TestLargeResponses: a response too long to be buffered comes in parts, to its end, and its connection is used
// again; one that breaks, or is released unread, closes it.
func TestLargeResponses(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	sized := "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n"
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		raw   string
		whole bool
		n     int
		ends  string
	}{
		"sized":         {sized + big, true, len(big), ""},
		"chunked":       {chunks + "32000;x=y\r\n" + big + "\r\n0\r\nA: b\r\n\r\n", true, len(big), ""},
		"with its end":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big + "cut", true, len(big) + 3, "peer-closed"},
		"cut short":     {sized + big[10:], false, 0, "peer-closed"},
		"a bad chunk":   {chunks + "32000\r\n" + big + "\r\nzz\r\n", false, 0, "reset"},
		"no last chunk": {chunks + "32000\r\n" + big + "\r\ncut", false, 0, "peer-closed"},
	} {
		p, _ := startScriptedServer(t, c.raw+map[bool]string{false: "cut"}[c.whole])
		transport, l := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
		if r.Result != balancer.OK || r.Reply.(*response).stream == nil {
			t.Fatalf("%s: result %d", name, r.Result)
		}
		s := r.Reply.(*response)
		data, err := io.ReadAll(s.stream)
		if whole := err == nil; whole != c.whole || whole && len(s.body)+len(data) != c.n {
			t.Errorf("%s: %d bytes, %v", name, len(s.body)+len(data), err)
		}
		if err != nil {
			s.stream.finish("reset")
		} else {
			s.stream.finish("")
		}
		if c.ends != "" {
			l.waitFor("connection ended", "reason="+c.ends)
		} else if transport.Conns() != 1 {
			t.Errorf("%s: its connection is not kept", name)
		}
	}
	halves := make(chan bool)
	slow := startServer(t, func(conn net.Conn) {
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, chunks+"20000\r\n"+big[:1000])
		<-halves
	})
	transport, _ := newTestTransport(time.Second)
	r := transport.RoundTrip(t.Context(), newAttempt(slow, "GET", ""))
	if s := r.Reply.(*response); len(s.body) != 1000 { // what a chunk in the making has so far is there for the client
		t.Errorf("%d bytes of a chunk that is still coming", len(s.body))
	}
	close(halves)
	p, _ := startScriptedServer(t, sized+big)
	transport, l := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")).Reply.(routing.Releaser).Release()
	l.waitFor("connection ended", "reason=called-off")
	if transport.Conns() != 0 {
		t.Error("a released response holds its connection")
	}
}

// TestBrokenLongResponses: a client can tell that a long response is incomplete, and the connection that brought it
// carries nothing more.
func TestBrokenLongResponses(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	const sized = "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const fields = "\r\nA: b\r\nA: c\r\nConnection: close\r\n\r\n"
	chunk := "32000\r\n" + big + "\r\n"
	endless := strings.Repeat("a: b\r\n", maxResponseHead)
	for name, c := range map[string]struct {
		raw, reason string
		whole       bool
	}{
		"cut short":               {sized + big, "peer-closed", false},
		"no last chunk":           {chunks + chunk, "peer-closed", false},
		"a chunk that is none":    {chunks + chunk + "zz\r\n", "spoilt", false},
		"an endless trailer":      {chunks + chunk + "0\r\n" + endless, "spoilt", false},
		"a trailer cut short":     {chunks + chunk + "0\r\na: b\r\n", "peer-closed", false},
		"in two fields of a name": {strings.Replace(chunks, "\r\n\r\n", fields, 1) + chunk + "0\r\n\r\n", "peer-asked", true},
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
		got, err := io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || (err == nil) != c.whole || got < 150<<10 {
			t.Errorf("%s: status %d, %d bytes, %v", name, resp.StatusCode, got, err)
		}
		if c.whole && strings.Contains(name, "fields") && len(resp.Header["A"]) != 2 {
			t.Errorf("%s: %v", name, resp.Header)
		}
		line := log.waitFor("side=peer")
		closed := strings.Contains(line, "reason=peer-closed") // its close may come along
		if !strings.Contains(line, "reason="+c.reason) && !closed {
			t.Errorf("%s: %s", name, line)
		}
		if n := transport.Conns(); n != 0 {
			t.Errorf("%s: %d connections are left", name, n)
		}
	}
	p := startServer(t, func(conn net.Conn) { // one whose client has left
		http.ReadRequest(bufio.NewReader(conn))
		io.WriteString(conn, strings.Replace(sized, "300000", "60000000", 1)) // more than sockets hold
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

// TestSlowStreamedResponse: a long response that comes slower than any known is given up once its server was waited for
// as long as one that stands still; the time that a slow client takes does not count.
func TestSlowStreamedResponse(t *testing.T) {
	const all = 300000
	for name, c := range map[string]struct {
		part  int           // bytes that the peer gives at a time, with a pause behind
		pause time.Duration // of the client between two reads
		whole bool
	}{"trickling": {1, 0, false}, "taken slowly": {all, 10 * time.Millisecond, true}} {
		p := startServer(t, func(conn net.Conn) {
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", all))
			for range 3000 { // it ends by itself, as nothing else would end it
				io.WriteString(conn, strings.Repeat("x", c.part))
				time.Sleep(time.Millisecond)
			}
		})
		transport, _ := newTestTransport(time.Second)
		r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
		if r.Result != balancer.OK {
			t.Fatal(name, r.Result)
		}
		rest, got, err := r.Reply.(*response).stream, 0, error(nil)
		rest.waited = streamStallTimeout - 50*time.Millisecond // as after a long wait
		for b, n := make([]byte, streamBufferSize), 0; err == nil; time.Sleep(c.pause) {
			n, err = rest.Read(b)
			got += n
		}
		if errors.Is(err, io.EOF) != c.whole || !c.whole && !errors.Is(err, os.ErrDeadlineExceeded) || c.whole && got != all {
			t.Errorf("%s: %d bytes, then %v", name, got, err)
		}
		rest.finish("reset")
		transport.Close()
	}
}
