package path

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// stubServers are stubs of the servers to which a node sends requests. Each answers immediately and with the least
// work that HTTP/1.1 allows, so that the servers do not limit the measurement.
type stubServers struct {
	listeners []net.Listener
	serving   sync.WaitGroup
	accepted  atomic.Int64 // connections accepted since the start
	mu        sync.Mutex
	open      map[net.Conn]bool
	closed    bool
}

// Request targets of the stub servers, with the size of the response body.
const (
	targetSmall = "/small" // 64 bytes
	targetLarge = "/large" // 64 KiB
)

var (
	smallResponse = newResponse(64)
	largeResponse = newResponse(64 << 10)
)

// newResponse returns the bytes of a response with a body of size bytes.
func newResponse(size int) []byte {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n"
	return append(fmt.Appendf(nil, head, size), bytes.Repeat([]byte("0123456789abcdef"), size/16)...)
}

// startStubServers starts count servers on loopback.
func startStubServers(count int) (*stubServers, error) {
	p := &stubServers{open: map[net.Conn]bool{}}
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.close()
			return nil, fmt.Errorf("a peer: %w", err)
		}
		p.listeners = append(p.listeners, l)
		p.serving.Go(func() { p.accept(l) })
	}
	return p, nil
}

func (p *stubServers) addresses() (addrs []string) {
	for _, l := range p.listeners {
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

func (p *stubServers) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			_ = conn.Close()
			return
		}
		p.open[conn] = true
		p.accepted.Add(1)
		p.mu.Unlock()
		p.serving.Go(func() {
			serveConn(conn)
			_ = conn.Close()
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.open, conn)
		})
	}
}

// serveConn answers the requests of one connection until it is closed.
func serveConn(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 16<<10)
	for {
		answer, length := smallResponse, 0
		for first := true; ; first = false {
			line, err := in.ReadSlice('\n')
			if err != nil {
				return
			}
			if first && bytes.Contains(line, []byte(targetLarge)) {
				answer = largeResponse
			}
			if name, value, ok := bytes.Cut(line, []byte(":")); ok && len(name) == len("Content-Length") &&
				strings.EqualFold(string(name), "Content-Length") {
				length, _ = strconv.Atoi(string(bytes.TrimSpace(value))) // 0 if malformed: tested elsewhere
			}
			if len(line) <= 2 {
				break
			}
		}
		if _, err := in.Discard(length); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// close closes the listeners and all connections and waits until their goroutines have ended.
func (p *stubServers) close() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.mu.Lock()
	p.closed = true
	for conn := range p.open {
		_ = conn.Close()
	}
	p.mu.Unlock()
	p.serving.Wait()
}
