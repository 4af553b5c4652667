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

// TestSurplusBytesRetireConnection: with bytes behind its response a connection carries no other attempt, however
// late they come. http.Transport fails this.
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
					t.Errorf("%s: %+v", id, r)
				}
			}
		})
	}
	all.Wait()
	// late: the bytes come while the connection is idle
	late := startServer(t, func(conn net.Conn) { io.WriteString(conn, okResponse); io.Copy(io.Discard, conn) })
	c, err := transport.pool.get(t.Context(), late, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	c.Read(make([]byte, 1)) // all of it is there
	c.idleSince = time.Now().Add(-reuseDelay)
	transport.pool.mu.Lock()
	transport.pool.idle[late] = []*upstreamConn{c}
	transport.pool.mu.Unlock()
	if again, err := transport.pool.get(t.Context(), late, time.Now().Add(time.Minute)); err != nil || again == c {
		t.Errorf("%v: the same connection: %v", err, again == c)
	}
}

// TestLateSecondResponse: a second response is known to come some milliseconds behind the first, so no request may
// reach a connection sooner than that: the response would be taken for its own.
func TestLateSecondResponse(t *testing.T) {
	const late = 10 * time.Millisecond
	again := make(chan time.Duration, 1000)
	p := startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for answered := (time.Time{}); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if !answered.IsZero() {
				again <- time.Since(answered)
			}
			answered = time.Now()
			io.WriteString(conn, okResponse)
		}
	})
	transport, _ := newTestTransport(time.Second)
	transport.pool.reuseDelay = reuseDelay
	for len(again) < 10 {
		if r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.OK {
			t.Fatal(r.Result)
		}
		time.Sleep(5 * time.Millisecond)
	}
	transport.Close()
	for range len(again) {
		if after := <-again; after < late {
			t.Errorf("a request came %v after the answer before it", after)
		}
	}
}

// TestPooledConnectionsArePerServer: a connection to a server that has left must not carry an attempt for its successor
// at the same address.
func TestPooledConnectionsArePerServer(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, _ := newTestTransport(time.Second)
	for _, peer := range []*routing.Upstream{p, routing.NewUpstream(2, "s-2", p.Addr)} {
		r := transport.RoundTrip(t.Context(), newAttempt(peer, "GET", ""))
		if r.Result != balancer.OK || len(transport.pool.idle[peer]) != 1 {
			t.Errorf("%s: result %d, idle %v", peer.Name, r.Result, transport.pool.idle)
		}
	}
}

// TestIdleConnections: idle connections are closed safely before the server would close them: a request that
// crosses its close is lost.
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
		t.Errorf("idle for %v of 50 ms", transport.pool.idleTimeout)
	}
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	l.waitFor("side=peer", "reason=idle")
	for transport.Conns() > 0 { // the line comes just before it counts
		runtime.Gosched()
	}
	transport.pool.mu.Lock()
	defer transport.pool.mu.Unlock()
	if len(transport.pool.idle) != 0 {
		t.Errorf("idle after the last ended: %v", transport.pool.idle)
	}
}

// TestIdleTimeShortened: a connection that has been idle for longer than a reload allows carries no attempt, though
// the sweep that would close it is still to come.
func TestIdleTimeShortened(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	transport, _ := newTestTransport(time.Second)
	transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	long := *transport.config.Load()
	short := long
	short.ServerIdleTimeout = 1
	transport.Configure(short)
	if c := transport.pool.takeIdle(p); c != nil {
		t.Error("given out beyond its time")
	}
	transport.Configure(long)
	if c := transport.pool.takeIdle(p); c == nil {
		t.Error("not given out within its time")
	}
}

// TestUpstreamConnLimit: at the limit an attempt is not sent, which is known, unless an idle connection makes room.
func TestUpstreamConnLimit(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	transport, log := newTestTransport(time.Second)
	transport.pool.open = 10
	r := transport.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	if r.Result != balancer.NotSent || transport.pool.open != 10 {
		t.Errorf("result %d, %d connections", r.Result, transport.pool.open)
	}
	transport.pool.open = 9 // the next is the last, and makes room for another peer's once it is idle
	other, _ := startScriptedServer(t, okResponse)
	for _, peer := range []*routing.Upstream{p, other} {
		r := transport.RoundTrip(t.Context(), newAttempt(peer, "GET", ""))
		if r.Result != balancer.OK || transport.pool.open != 10 {
			t.Errorf("result %d, %d connections", r.Result, transport.pool.open)
		}
	}
	log.waitFor("side=peer", "addr="+p.Addr, "reason=idle")
}

// TestIdleConnectionReuse: within the limit, attempts find the connections of those before them. A pool too small
// for the load costs a handshake an attempt.
func TestIdleConnectionReuse(t *testing.T) {
	const most, load = 8, 6
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
		MaxConns:          most,
		Log:               l.logger(),
	})
	transport.pool.reuseDelay = 0
	for range 2 {
		var tries sync.WaitGroup
		for range load {
			tries.Go(func() { transport.RoundTrip(t.Context(), newAttempt(p, "GET", "")) })
		}
		for range load {
			<-arrived
		}
		for range load {
			release <- true
		}
		tries.Wait()
	}
	if n := opened.Load(); n != load {
		t.Errorf("%d connections for %d attempts at a time", n, load)
	}
}

// TestLocalShortageDoesNotBlameServer: where this node lacks what a connection takes, it says nothing of the server.
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
				t.Errorf("%v: attempt: %d", err, r.Result)
			}
			if r := transport.CheckHealth(t.Context(), p); r != balancer.NotSent {
				t.Errorf("%v: health check: %d", err, r)
			}
		}
		if line := log.waitFor("no connection to peers"); !strings.Contains(line, err.Error()) || len(log) > 0 {
			t.Errorf("%s, and %d more within a second", line, len(log))
		}
	}
}
