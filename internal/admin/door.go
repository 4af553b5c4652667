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
	// MaxCallers bounds the connections. A caller with a line sends it at once; those beyond are holders.
	MaxConnections = 32
	// lineTimeout is how long a caller may take for its line.
	lineTimeout = 5 * time.Second
	// answerTimeout is how long the answer may take to be written.
	answerTimeout = time.Second
)

// Desk carries calls out. What it returns is told to the caller: a text, or
// why it was not done. It must not wait for traffic: an answer is owed in 1 s.
type Executor interface {
	Do(Command) (string, error)
}

// Door takes calls on a listener. The oldest caller without a line goes when
// there are too many, so that holders keep nobody out.
type Server struct {
	l    net.Listener
	desk Executor
	log  *slog.Logger

	mu      sync.Mutex
	most    int       // callers
	callers list.List // of net.Conn, the oldest first, whose line is not in
	closed  bool
	running sync.WaitGroup
}

// Open serves calls on l until Close.
func Serve(l net.Listener, desk Executor, log *slog.Logger) *Server {
	d := &Server{l: l, desk: desk, log: log, most: MaxConnections}
	d.running.Go(d.serve)
	return d
}

// Bound sets how many callers without a line there may be, MaxCallers at most.
func (d *Server) SetMaxConnections(most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = min(max(most, 1), MaxConnections)
	d.leaveOnly(d.most)
}

// Close ends the door, and returns once nothing of it is left.
func (d *Server) Close() {
	d.mu.Lock()
	d.closed = true
	for e := d.callers.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	d.mu.Unlock()
	d.l.Close()
	d.running.Wait()
}

func (d *Server) serve() {
	for {
		conn, err := d.l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // want of descriptors, which passes
			d.log.Warn("operators' door", "reason", err.Error())
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if place := d.enter(conn); place != nil {
			d.running.Go(func() { d.hear(conn, place) })
		}
	}
}

// enter makes room for a caller; nil: the door is closed.
func (d *Server) enter(conn net.Conn) *list.Element {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		conn.Close()
		return nil
	}
	d.leaveOnly(d.most - 1)
	return d.callers.PushBack(conn)
}

// leaveOnly ends the oldest callers until no more than so many are left. The lock is held.
func (d *Server) leaveOnly(most int) {
	for d.callers.Len() > most {
		oldest := d.callers.Front()
		d.callers.Remove(oldest)
		oldest.Value.(net.Conn).Close() // its reader ends with that
	}
}

// leave takes a caller from the list, and reports whether it still stood there.
func (d *Server) leave(place *list.Element) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.callers.Len()
	d.callers.Remove(place)
	return d.callers.Len() < before
}

// hear takes one caller's line and answers it.
func (d *Server) hear(conn net.Conn, place *list.Element) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := readLine(conn)
	if !d.leave(place) {
		return // closed to make room
	}
	answer := d.answer(line, err)
	conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	fmt.Fprintln(conn, answer)
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		c.CloseWrite() // what the caller sent beyond its line must not turn the answer into a reset
		conn.SetReadDeadline(time.Now().Add(answerTimeout / 4))
		conn.Read(make([]byte, maxLine))
	}
}

// answer carries a call out and words what came of it.
func (d *Server) answer(line string, err error) (said string) {
	defer func() { // guards the node: no one else would catch it here
		if p := recover(); p != nil {
			d.log.Error("panic", "in", "operators' door", "value", fmt.Sprint(p), "stack", string(debug.Stack()))
			said = "FAILURE a fault in the program, see its log; it may hold"
		}
	}()
	var call Command
	text := ""
	if err == nil {
		call, err = Parse(line)
	}
	if err == nil {
		text, err = d.desk.Do(call)
	}
	said = "SUCCESS " + text
	if err != nil {
		said = "FAILURE " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	if call.Name != Status || err != nil {
		d.log.Info("operator call", "call", call.Name, "server", call.ServerID, "answer", said)
	}
	return said
}

// readLine reads up to the first newline. Without one nothing is done.
func readLine(conn net.Conn) (string, error) {
	line, err := bufio.NewReaderSize(conn, maxLine).ReadSlice('\n')
	switch {
	case err == nil:
		return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
	case errors.Is(err, bufio.ErrBufferFull):
		return "", fmt.Errorf("the line is longer than %d bytes", maxLine)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", fmt.Errorf("no whole line came within %v", lineTimeout)
	}
	return "", errors.New("the line has no end")
}
