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
	// MaxConnections is the maximum number of connections that have not yet sent a complete line. An operator's client
	// sends its line at once.
	MaxConnections = 32
	// lineTimeout is the time limit for receiving the line.
	lineTimeout = 5 * time.Second
	// replyTimeout is the time limit for writing the reply.
	replyTimeout = time.Second
	// drainTimeout is the time limit for reading further data from the client after the reply.
	drainTimeout = replyTimeout / 4
	// acceptBackoff is the pause after a failed accept.
	acceptBackoff = 10 * time.Millisecond
)

// Executor executes commands. Do returns a message for the operator, or an error that states why the command was not
// executed. Do is called concurrently and must not wait for traffic: the reply is due within 1 s.
type Executor interface {
	Do(Command) (string, error)
}

// Server executes commands that it receives on a listener. If too many connections have not yet sent a complete line,
// it closes the oldest of them, so silent clients do not block others. Its methods are safe for concurrent use.
type Server struct {
	listener net.Listener
	executor Executor
	log      *slog.Logger

	running sync.WaitGroup // accept loop and connections
	mu      sync.Mutex
	limit   int       // maximum length of waiting, from 1 to MaxConnections
	waiting list.List // of net.Conn without a complete line, oldest first
	closed  bool
}

// Serve starts a Server that serves commands on a listener until Close.
func Serve(listener net.Listener, executor Executor, log *slog.Logger) *Server {
	s := &Server{listener: listener, executor: executor, log: log, limit: MaxConnections}
	s.running.Go(s.acceptLoop)
	return s
}

// SetMaxConnections sets the maximum number of connections without a complete line. The limit is clamped to the range
// from 1 to MaxConnections.
func (s *Server) SetMaxConnections(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = min(max(limit, 1), MaxConnections)
	s.closeOldest(s.limit)
}

// Close closes the listener and waits until all connections have been served.
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
		if err != nil { // temporary, for example no free file descriptor
			s.log.Warn("operators' door", "reason", err.Error())
			time.Sleep(acceptBackoff)
			continue
		}
		if element := s.addWaiting(conn); element != nil {
			s.running.Go(func() { s.serveConn(conn, element) })
		}
	}
}

// addWaiting adds a new connection to the waiting ones and closes the oldest if the limit requires it. It returns nil
// if the server is closed.
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

// closeOldest closes the oldest waiting connections until at most limit are left. The lock must be held.
func (s *Server) closeOldest(limit int) {
	for s.waiting.Len() > limit {
		oldest := s.waiting.Front()
		s.waiting.Remove(oldest)
		_ = oldest.Value.(net.Conn).Close() // this also ends the reader of the connection
	}
}

// removeWaiting removes a connection from the waiting ones and reports whether it was among them.
func (s *Server) removeWaiting(element *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.waiting.Len()
	s.waiting.Remove(element)
	return s.waiting.Len() < before
}

// serveConn reads one line from a connection and replies to it.
func (s *Server) serveConn(conn net.Conn, element *list.Element) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := readLine(conn)
	if !s.removeWaiting(element) {
		return // closed by closeOldest
	}
	reply := s.reply(line, err)
	_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, _ = fmt.Fprintln(conn, reply)
	drain(conn)
}

// drain reads data that a client sent after its line. Otherwise closing the connection could reset it before the reply
// has arrived.
func drain(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = halfCloser.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = conn.Read(make([]byte, maxLineBytes))
}

// reply executes the command of a line and returns the reply. readErr is the error if no line could be read.
func (s *Server) reply(line string, readErr error) (reply string) {
	defer func() { // otherwise a panic would end the node
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

// readLine returns the first line without its line ending. The error text is meant for the operator.
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
