package admin

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

const (
	// MaxConnections bounds the connections whose line is not in. An operator's client sends it at once.
	MaxConnections = 32
	// lineTimeout is how long a client may take for its line.
	lineTimeout = 5 * time.Second
	// replyTimeout is how long the reply may take to be written.
	replyTimeout = time.Second
	// drainTimeout is how long a client may go on sending once it has its reply.
	drainTimeout = replyTimeout / 4
	// acceptBackoff is the pause after a failed accept.
	acceptBackoff = 10 * time.Millisecond
)

// Executor carries out commands. Do returns a text for the operator, or an error that says why the command was not
// carried out. It is called from many goroutines and must not wait for traffic: a reply is due within 1 s.
type Executor interface {
	Do(Command) (string, error)
}

// Server takes commands on a listener. When there are too many connections whose line is not in, the oldest is
// closed, so that silent clients keep nobody out. Its methods are safe for concurrent use.
type Server struct {
	listener net.Listener
	executor Executor
	log      *slog.Logger

	running sync.WaitGroup // the accept loop and the connections
	mu      sync.Mutex
	limit   int       // of waiting, 1 to MaxConnections
	waiting list.List // of net.Conn whose line is not in, the oldest first
	closed  bool
}

// Serve serves commands on a listener until Close.
func Serve(listener net.Listener, executor Executor, log *slog.Logger) *Server {
	s := &Server{listener: listener, executor: executor, log: log, limit: MaxConnections}
	s.running.Go(s.acceptLoop)
	return s
}

// SetMaxConnections bounds the connections whose line is not in: to 1 at least and MaxConnections at most.
func (s *Server) SetMaxConnections(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = min(max(limit, 1), MaxConnections)
	s.closeOldest(s.limit)
}

// Close closes the listener, and returns once all connections are served.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		_ = e.Value.(net.Conn).Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.running.Wait()
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no file descriptor is left, for example, which passes
			s.log.Warn("operators' door", "reason", err.Error())
			time.Sleep(acceptBackoff)
			continue
		}
		if element := s.addWaiting(conn); element != nil {
			s.running.Go(func() { s.serveConn(conn, element) })
		}
	}
}

// addWaiting enters a new connection and closes the oldest for it if need be. nil: the server is closed.
func (s *Server) addWaiting(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return nil
	}
	s.closeOldest(s.limit - 1)
	return s.waiting.PushBack(conn)
}

// closeOldest closes the oldest connections until no more than limit are left. The lock is held.
func (s *Server) closeOldest(limit int) {
	for s.waiting.Len() > limit {
		oldest := s.waiting.Front()
		s.waiting.Remove(oldest)
		_ = oldest.Value.(net.Conn).Close() // its reader ends with that
	}
}

// removeWaiting takes a connection from the list, and reports whether it was still there.
func (s *Server) removeWaiting(element *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.waiting.Len()
	s.waiting.Remove(element)
	return s.waiting.Len() < before
}

// serveConn reads one line and replies to it.
func (s *Server) serveConn(conn net.Conn, element *list.Element) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := readLine(conn)
	if !s.removeWaiting(element) {
		return // closed for a newer one
	}
	reply := s.reply(line, err)
	_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, _ = fmt.Fprintln(conn, reply)
	drain(conn)
}

// drain reads what a client sent beyond its line, so that closing the connection does not reset it before the reply has
// arrived.
func drain(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = halfCloser.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = conn.Read(make([]byte, maxLineBytes))
}

// reply carries out a line's command and words the reply. readErr is why there is no line.
func (s *Server) reply(line string, readErr error) (reply string) {
	defer func() { // guards the node: no one else would recover here
		if p := recover(); p != nil {
			s.log.Error("panic", "in", "operators' door", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			reply = "FAILURE a fault in the program, see its log; it may hold"
		}
	}()
	command, text, err := s.execute(line, readErr)
	reply = "SUCCESS " + text
	if err != nil {
		reply = "FAILURE " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	if command.Name != Status || err != nil {
		s.log.Info("operator call", "call", command.Name, "server", command.ServerID, "answer", reply)
	}
	return reply
}

func (s *Server) execute(line string, readErr error) (command Command, text string, err error) {
	if readErr != nil {
		return Command{}, "", readErr
	}
	command, err = Parse(line)
	if err != nil {
		return command, "", err
	}
	text, err = s.executor.Do(command)
	return command, text, err
}

// readLine reads up to the first newline, which is not returned. The error is worded for the operator.
func readLine(conn net.Conn) (string, error) {
	line, err := bufio.NewReaderSize(conn, maxLineBytes).ReadSlice('\n')
	switch {
	case err == nil:
		return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
	case errors.Is(err, bufio.ErrBufferFull):
		return "", fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", fmt.Errorf("no whole line came within %v", lineTimeout)
	}
	return "", errors.New("the line has no end")
}
