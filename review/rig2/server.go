package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a stand-in server has received with its last byte.
type run struct {
	id       string
	server   string
	at       time.Time // when the last byte arrived
	budget   time.Duration
	bodySize int64
}

// server is a stand-in for an upstream server. It answers health checks at once and each request after its work.
type server struct {
	name      string
	addr      string
	zone      string
	startedMS int64
	work      func(r *http.Request) time.Duration // time for which a request is processed

	// saidLength returns the Content-Length of the answer with a body; nil: the length of the body.
	saidLength func(body string) int

	// second is called after the answer to a request has been written; nil: nothing more is written.
	second func(c *serverConn, answer []byte)

	record   *record
	listener net.Listener

	mu   sync.Mutex
	runs []run
}

// serverConn is a connection to a stand-in server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
	write  sync.Mutex
	// received is the number of requests whose first byte has arrived.
	received atomic.Int64
}

// startServer starts a stand-in server on a free port of the loopback address.
func startServer(rec *record, name string, work func(r *http.Request) time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, addr: listener.Addr().String(), zone: "tamworth", work: work, record: rec, listener: listener}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: conn, reader: bufio.NewReader(conn)})
	}
}

// serve answers the requests of one connection, one after the other.
func (s *server) serve(c *serverConn) {
	defer func() { _ = c.Close() }()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		c.received.Add(1)
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			return
		}
		if !s.answer(c, request, size) {
			return
		}
	}
}

// answer processes one request and writes its answer. It reports whether the connection may go on.
func (s *server) answer(c *serverConn, request *http.Request, size int64) bool {
	if request.URL.Path == "/health/live" {
		return c.writeAll([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) == nil
	}
	id := request.Header.Get("X-Call-Id")
	if id == "" {
		return c.writeAll([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")) == nil
	}
	got := run{id: id, server: s.name, at: time.Now(), budget: seconds(request.Header.Get("X-Budget")), bodySize: size}
	s.mu.Lock()
	s.runs = append(s.runs, got)
	s.mu.Unlock()
	s.record.line("%s runs %s, told %v", s.name, id, got.budget)
	time.Sleep(s.work(request))
	body := answerTo(id)
	said := len(body)
	if s.saidLength != nil {
		said = s.saidLength(body)
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", said, body)
	if c.writeAll(answer) != nil {
		return false
	}
	if s.second != nil {
		s.second(c, answer)
	}
	return true
}

// answerTo is the body of the answer that a server makes for a request.
func answerTo(id string) string { return "answer to " + id }

func (c *serverConn) writeAll(b []byte) error {
	c.write.Lock()
	defer c.write.Unlock()
	_, err := c.Write(b)
	return err
}

// allRuns returns a copy of the requests that the server has received.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}

// runsAfter returns the requests that the server has received after a time.
func (s *server) runsAfter(at time.Time) []run {
	var late []run
	for _, r := range s.allRuns() {
		if r.at.After(at) {
			late = append(late, r)
		}
	}
	return late
}

// seconds parses a duration in seconds; 0 if it is none.
func seconds(text string) time.Duration {
	d, _ := time.ParseDuration(text + "s")
	return d
}
