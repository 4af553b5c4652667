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

// TestSurplusBytesRetireConnection: with bytes behind its answer a connection carries no other try,
// however late they come. http.Transport fails this.
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
	k, l := newTestTransport(time.Second)
	k.pool.settleTime = settleTime
	go func() {
		for range l {
		}
	}()
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			for j := range 500 {
				id := fmt.Sprintf("%d-%d", i, j)
				if r := k.RoundTrip(t.Context(), newAttemptWithID(p, "GET", id, "")); r.Result != balancer.OK || string(r.Reply.(*response).body) != id {
					t.Errorf("%s: %+v", id, r)
				}
			}
		})
	}
	all.Wait()
	// late: the bytes come while the connection lies idle
	late := startServer(t, func(conn net.Conn) { io.WriteString(conn, okResponse); io.Copy(io.Discard, conn) })
	c, err := k.pool.get(t.Context(), late, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	c.Read(make([]byte, 1)) // all of it is there
	c.idleSince = time.Now().Add(-settleTime)
	k.pool.mu.Lock()
	k.pool.idle[late] = []*upstreamConn{c}
	k.pool.mu.Unlock()
	if again, err := k.pool.get(t.Context(), late, time.Now().Add(time.Minute)); err != nil || again == c {
		t.Errorf("%v: the same connection: %v", err, again == c)
	}
}

// TestLateSecondResponse: a second answer is known to come some milliseconds behind the first, so no request may
// reach a connection sooner than that: the answer would be taken for its own.
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
	k, _ := newTestTransport(time.Second)
	k.pool.settleTime = settleTime
	for len(again) < 10 {
		if r := k.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.OK {
			t.Fatal(r.Result)
		}
		time.Sleep(5 * time.Millisecond)
	}
	k.Close()
	for range len(again) {
		if after := <-again; after < late {
			t.Errorf("a request came %v after the answer before it", after)
		}
	}
}

// TestConnectionsBelongToPeers: one to a peer that has left must not carry a
// try for its successor at the same address.
func TestConnectionsBelongToPeers(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	k, _ := newTestTransport(time.Second)
	for _, peer := range []*routing.Upstream{p, routing.NewUpstream(2, "s-2", p.Addr)} {
		if r := k.RoundTrip(t.Context(), newAttempt(peer, "GET", "")); r.Result != balancer.OK || len(k.pool.idle[peer]) != 1 {
			t.Errorf("%s: result %d, idle %v", peer.Name, r.Result, k.pool.idle)
		}
	}
}

// TestIdleConnections are closed safely before the peer would: a request that
// crosses its closing is lost.
func TestIdleConnections(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	l := make(logLines, 10)
	k := NewUpstreamTransport(UpstreamConfig{ConnectTimeout: time.Second, ServerIdleTimeout: 50 * time.Millisecond, MaxConns: 4, Log: l.logger()})
	if k.pool.idleTimeout >= 40*time.Millisecond {
		t.Errorf("idle for %v of 50 ms", k.pool.idleTimeout)
	}
	k.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	l.waitFor("side=peer", "reason=idle")
	for k.Conns() > 0 { // the line comes just before it counts
		runtime.Gosched()
	}
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	if len(k.pool.idle) != 0 {
		t.Errorf("idle after the last ended: %v", k.pool.idle)
	}
}

// TestIdleTimeShortened: a connection that has lain idle for longer than a reload allows carries no try, though the
// sweep that would end it is still to come.
func TestIdleTimeShortened(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse)
	k, _ := newTestTransport(time.Second)
	k.RoundTrip(t.Context(), newAttempt(p, "GET", ""))
	long := *k.config.Load()
	short := long
	short.ServerIdleTimeout = 1
	k.Configure(short)
	if c := k.pool.take(p); c != nil {
		t.Error("given out beyond its time")
	}
	k.Configure(long)
	if c := k.pool.take(p); c == nil {
		t.Error("not given out within its time")
	}
}

// TestUpstreamConnLimit: the descriptors run out before the node does, and
// the try is known not to have run.
func TestUpstreamConnLimit(t *testing.T) {
	p, _ := startScriptedServer(t, okResponse, okResponse)
	k, log := newTestTransport(time.Second)
	k.pool.open = 10
	if r := k.RoundTrip(t.Context(), newAttempt(p, "GET", "")); r.Result != balancer.NotSent || k.pool.open != 10 {
		t.Errorf("result %d, %d connections", r.Result, k.pool.open)
	}
	k.pool.open = 9 // the next is the last, and makes room for another peer's once it is idle
	other, _ := startScriptedServer(t, okResponse)
	for _, peer := range []*routing.Upstream{p, other} {
		if r := k.RoundTrip(t.Context(), newAttempt(peer, "GET", "")); r.Result != balancer.OK || k.pool.open != 10 {
			t.Errorf("result %d, %d connections", r.Result, k.pool.open)
		}
	}
	log.waitFor("side=peer", "addr="+p.Addr, "reason=idle")
}

// TestIdleConnectionReuse: within the bound, tries find the connections of those before
// them. A pool too small for the load costs a handshake a try.
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
	k := NewUpstreamTransport(UpstreamConfig{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, MaxConns: most, Log: l.logger()})
	k.pool.settleTime = 0
	for range 2 {
		var tries sync.WaitGroup
		for range load {
			tries.Go(func() { k.RoundTrip(t.Context(), newAttempt(p, "GET", "")) })
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
		t.Errorf("%d connections for %d tries at a time", n, load)
	}
}

// TestOwnLackIsNoPeersFault: where this node lacks what a connection takes, nothing is said of the peer.
func TestOwnLackIsNoPeersFault(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		log := make(logLines, 10)
		k := NewUpstreamTransport(UpstreamConfig{ConnectTimeout: time.Second, ServerIdleTimeout: time.Minute, MaxConns: 10, Log: log.logger(),
			Dial: func(context.Context, string) (net.Conn, error) { return nil, os.NewSyscallError("socket", err) }})
		p := routing.NewUpstream(1, "s-1", "a:1")
		for range 3 {
			if r := k.RoundTrip(t.Context(), newAttempt(p, "POST", "book")); r.Result != balancer.NotSent {
				t.Errorf("%v: try: %d", err, r.Result)
			}
			if r := k.CheckHealth(t.Context(), p); r != balancer.NotSent {
				t.Errorf("%v: probe: %d", err, r)
			}
		}
		if line := log.waitFor("no connection to peers"); !strings.Contains(line, err.Error()) || len(log) > 0 {
			t.Errorf("%s, and %d more within a second", line, len(log))
		}
	}
}
