package node

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivebridge/balancer"
	"olivebridge/internal/protocol"
	"olivebridge/internal/routing"
)

// BenchmarkNode measures calls through a complete node over loopback, from 16 client connections to 12 servers.
// The test's clients and servers allocate nothing per call, so all measured allocations are the node's.
func BenchmarkNode(b *testing.B) {
	for _, load := range []struct {
		name, method string
		body, answer int
	}{{"get", "GET", 0, 64}, {"upload", "POST", 32 << 10, 64}, {"download", "GET", 0, 64 << 10}} {
		b.Run(load.name, func(b *testing.B) {
			addr := benchNode(b, load.answer)
			var left atomic.Int64
			sendCalls := func(n int) {
				left.Store(int64(n))
				var clients sync.WaitGroup
				for i := range 16 {
					clients.Go(func() { benchClient(b, addr, load.method, load.body, i, &left) })
				}
				clients.Wait()
			}
			sendCalls(20000) // warm-up: opens connections, fills buffer pools and raises the concurrency limits
			b.ReportAllocs()
			b.ResetTimer()
			sendCalls(b.N)
		})
	}
}

// benchNode starts a node with 12 servers and returns its address. Each server answers every request immediately with
// a body of bodyBytes.
func benchNode(b *testing.B, bodyBytes int) (addr string) {
	c := testConfig()
	c.Listen, c.Sockets, c.KnownEndpoints.Endpoints = "127.0.0.1:0", 1024, nil
	class := c.Settings.Classes[0]
	class.Idempotency = balancer.Idempotent
	c.Settings.Classes = append(c.Settings.Classes, class)
	c.NameIndex = protocol.NameIndex{Classes: map[string]int{"book": 0, "look": 1}, Methods: []string{"POST", "GET"}}
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Cache: hit\r\nContent-Length: " +
		strconv.Itoa(bodyBytes) + "\r\n\r\n" + strings.Repeat("x", bodyBytes))
	for i := range 12 {
		l := benchListener(b)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go benchServer(conn, response)
			}
		}()
		c.KnownEndpoints.Endpoints = append(c.KnownEndpoints.Endpoints, routing.Endpoint{
			Server: balancer.Server{ID: balancer.ServerID(i + 1), Weight: 1, State: balancer.Ready},
			Name:   fmt.Sprint("s-", i),
			Addr:   l.Addr().String(),
		})
	}
	l := benchListener(b)
	n, err := Start(c, Options{Listen: func(string) (net.Listener, error) { return l, nil },
		WrapWatcher: func(routing.Watcher) routing.Watcher { return staticWatcher{} }})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(n.Abort)
	return l.Addr().String()
}

// staticWatcher watches an endpoint list that never changes: it delivers no list.
type staticWatcher struct{}

func (staticWatcher) Watch(ctx context.Context, _ func(routing.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

func benchListener(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	return l
}

// benchServer answers each request on conn with the same bytes.
func benchServer(conn net.Conn, response []byte) {
	defer conn.Close()
	for buf := make([]byte, 128<<10); ; {
		if _, err := benchRead(conn, buf); err != nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// benchClient sends one call after another on one connection until left, the number of calls that all clients still
// have to send, reaches zero.
func benchClient(b *testing.B, addr, method string, body, clientNumber int, left *atomic.Int64) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer conn.Close()
	class := map[string]string{"GET": "look", "POST": "book"}[method]
	head := fmt.Sprintf("%s /api/items?user=u%d HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %02d%016x-00000000\r\n"+
		"X-Call-Class: %s\r\nX-Budget: 1.500\r\nUser-Agent: bench/1\r\nAccept: */*\r\n",
		method, clientNumber, clientNumber, time.Now().UnixNano(), class)
	if body > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	raw := []byte(head + "\r\n" + strings.Repeat("x", body))
	callNumber := bytes.Index(raw, []byte("-00000000")) + 1
	for buf, i := make([]byte, 128<<10), 0; left.Add(-1) >= 0; i++ {
		for digit, rest := callNumber+7, i; digit >= callNumber; digit, rest = digit-1, rest/10 {
			raw[digit] = byte('0' + rest%10)
		}
		if _, err := conn.Write(raw); err != nil {
			b.Error(err)
			return
		}
		if got, err := benchRead(conn, buf); err != nil || !bytes.HasPrefix(got, []byte("HTTP/1.1 200")) {
			b.Errorf("got response %.60q, error %v; want status 200", got, err)
			return
		}
	}
}

// benchRead reads one HTTP message into buf and returns its bytes.
func benchRead(conn net.Conn, buf []byte) ([]byte, error) {
	for n, size := 0, 0; ; {
		k, err := conn.Read(buf[n:])
		if err != nil {
			return nil, err
		}
		n += k
		if end := bytes.Index(buf[:n], []byte("\r\n\r\n")); size == 0 && end >= 0 {
			size = end + 4
			if header := bytes.Index(buf[:end], []byte("Content-Length: ")); header >= 0 {
				length := 0
				for _, c := range buf[header+len("Content-Length: ") : end] {
					if c < '0' || c > '9' {
						break
					}
					length = length*10 + int(c-'0')
				}
				size += length
			}
		}
		if size > 0 && n >= size {
			return buf[:n], nil
		}
	}
}
