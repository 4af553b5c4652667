package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/routing"
)

// TestSurplusBytesRetireConnection: if bytes follow the response, the connection carries no other attempt, however late
// the bytes arrive. The pool of http.Transport fails this test.
func TestSurplusBytesRetireConnection(t *testing.T) {
	p := startServer(t, func(conn net.Conn) {
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Call-Id")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, okResponse)
		}
	})
	transport, l := newTestTransport(time.Second)
	transport.pool.reuseDelay = reuseDelay
	go func() {
		for range l {
		}
	}()
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for j := range 500 {
				id := fmt.Sprintf("%d-%d", i, j)
				r := transport.RoundTrip(t.Context(), newAttemptWithID(p, "GET", id, ""))
				if r.Result != balancer.OK || string(r.Reply.(*response).body) != id {
					t.Errorf("attempt %s: %+v, want its own response", id, r)
				}
			}
		})
	}
	all.Wait()
	// late sends the bytes while the connection is idle.
	late := startServer(t, func(conn net.Conn) { io.WriteString(conn, okResponse); io.Copy(io.Discard, conn) })
	c, err := transport.pool.get(t.Context(), late, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	c.Read(make([]byte, 1)) // all the bytes have arrived
	c.idleSince = time.Now().Add(-reuseDelay)
	transport.pool.mu.Lock()
	transport.pool.idle[late] = []*upstreamConn{c}
	transport.pool.mu.Unlock()
	if second, err := transport.pool.get(t.Context(), late, time.Now().Add(time.Minute)); err != nil || second == c {
		t.Errorf("error %v, connection reused: %v; want a new connection", err, second == c)
	}
}

// TestLateSecondResponse: faulty servers send a second response some milliseconds after the first. No request may be
// sent on a connection before that time, or the second response would be taken for the request's own.
func TestLateSecondResponse(t *testing.T) {
	const late = 10 * time.Millisecond
	intervals := make(chan time.Duration, 1000)
	p := startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for lastResponse := (time.Time{}); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if !lastResponse.IsZero() {
				intervals <- time.Since(lastResponse)
			}
			lastResponse = time.Now()
			io.WriteString(conn, okResponse)
		}
	})
	transport, _ := newTestTransport(time.Second)
	transport.pool.reuseDelay = reuseDelay
	for len(intervals) < 10 {
		if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.OK {
			t.Fatal(r.Result)
		}
		time.Sleep(5 * time.Millisecond)
	}
	transport.Close()
	for range len(intervals) {
		if after := <-intervals; after < late {
			t.Errorf("a request arrived only %v after the previous response", after)
		}
	}
}

// TestPooledConnectionsArePerServer: a connection to a server that has left the upstream group must not carry an
// attempt for its successor at the same address.
func TestPooledConnectionsArePerServer(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, _ := newTestTransport(time.Second)
	for _, server := range []*routing.Upstream{p, routing.NewUpstream(2, "s-2", p.Addr)} {
		r := transport.RoundTrip(t.Context(), newAttempt(server, "GET", ""))
		if r.Result != balancer.OK || len(transport.pool.idle[server]) != 1 {
			t.Errorf("server %s: result %d, idle connections %v; want OK and 1 of this server",
				server.Name, r.Result, transport.pool.idle)
		}
	}
}

// TestIdleConnections: idle connections are closed well before the server's idle timeout. A request sent while the
// server closes the connection is lost.
func TestIdleConnections(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	l := make(logLines, 10)
	transport := NewUpstreamTransport(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: 50 * time.Millisecond,
		MaxConns:          4,
		Log:               l.logger(),
	})
	if transport.pool.idleTimeout >= 40*time.Millisecond {
		t.Errorf("idle timeout %v for a server's timeout of 50 ms, want less than 40 ms", transport.pool.idleTimeout)
	}
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	l.waitFor("side=peer", "reason=idle")
	for transport.Conns() > 0 { // the line is logged before the connection is subtracted
		runtime.Gosched()
	}
	transport.pool.mu.Lock()
	defer transport.pool.mu.Unlock()
	if len(transport.pool.idle) != 0 {
		t.Errorf("idle connections after the last one ended: %v, want none", transport.pool.idle)
	}
}

// TestIdleTimeShortened: a connection that has been idle for longer than the timeout set by a reload carries no
// attempt, even before the sweep that closes it.
func TestIdleTimeShortened(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	transport, _ := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	long := *transport.config.Load()
	short := long
	short.ServerIdleTimeout = 1
	transport.Configure(short)
	if c := transport.pool.takeIdle(p); c != nil {
		t.Error("an idle connection was reused after the shortened timeout")
	}
	transport.Configure(long)
	if c := transport.pool.takeIdle(p); c == nil {
		t.Error("an idle connection was not reused within the timeout")
	}
}

// TestUpstreamConnLimit: at the connection limit an attempt has the result NotSent, unless an idle connection can be
// evicted.
func TestUpstreamConnLimit(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, log := newTestTransport(time.Second)
	transport.pool.open = 10
	r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	if r.Result != balancer.NotSent || transport.pool.open != 10 {
		t.Errorf("result %d with %d connections open", r.Result, transport.pool.open)
	}
	transport.pool.open = 9 // one connection is left; once it is idle, it is evicted for a connection to the other server
	other, _ := startScriptedServer(t, okResponse)
	for _, server := range []*routing.Upstream{p, other} {
		r := transport.RoundTrip(t.Context(), newAttempt(server, "GET", ""))
		if r.Result != balancer.OK || transport.pool.open != 10 {
			t.Errorf("result %d with %d connections open", r.Result, transport.pool.open)
		}
	}
	log.waitFor("side=peer", "addr="+p.Addr, "reason=idle")
}

// TestIdleConnectionReuse: within the limit, attempts reuse the connections of earlier attempts. A pool too small for
// the load would need one handshake per attempt.
func TestIdleConnectionReuse(t *testing.T) {
	const maxConns, load = 8, 6
	var opened atomic.Int64
	arrived, release := make(chan bool), make(chan bool)
	p := startServer(t, func(conn net.Conn) {
		opened.Add(1)
		for in := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			arrived <- true
			<-release
			io.WriteString(conn, okResponse)
		}
	})
	l := make(logLines, 100)
	transport := NewUpstreamTransport(UpstreamConfig{
		ConnectTimeout:    time.Second,
		ServerIdleTimeout: time.Minute,
		MaxConns:          maxConns,
		Log:               l.logger(),
	})
	transport.pool.reuseDelay = 0
	for range 2 {
		var attempts sync.WaitGroup
		for range load {
			attempts.Go(func() { transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")) })
		}
		for range load {
			<-arrived
		}
		for range load {
			release <- true
		}
		attempts.Wait()
	}
	if n := opened.Load(); n != load {
		t.Errorf("%d connections were opened for %d concurrent attempts", n, load)
	}
}

// TestLocalShortageDoesNotBlameServer: if this node lacks the resources for a connection, the attempt does not count as
// a failure of the server.
func TestLocalShortageDoesNotBlameServer(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		log := make(logLines, 10)
		transport := NewUpstreamTransport(UpstreamConfig{
			ConnectTimeout:    time.Second,
			ServerIdleTimeout: time.Minute,
			MaxConns:          10,
			Log:               log.logger(),
			Dial:              func(context.Context, string) (net.Conn, error) { return nil, os.NewSyscallError("socket", err) },
		})
		p := routing.NewUpstream(1, "s-1", "a:1")
		for range 3 {
			if r := transport.RoundTrip(t.Context(), newAttempt(p, "POST", "book")); r.Result != balancer.NotSent {
				t.Errorf("%v: result %d of the attempt, want not sent", err, r.Result)
			}
			if r := transport.CheckHealth(t.Context(), p); r != balancer.NotSent {
				t.Errorf("%v: result %d of the health check, want not sent", err, r)
			}
		}
		if line := log.waitFor("no connection to peers"); !strings.Contains(line, err.Error()) || len(log) > 0 {
			t.Errorf("logged %q and %d more lines within a second, want one line with the error", line, len(log))
		}
	}
}
