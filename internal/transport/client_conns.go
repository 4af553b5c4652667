package transport

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConns is the listener of a Frontend, and owns the state of its client connections.
//
// http.Server could close idle connections itself, but takes one for idle until a request's head has been read: it may
// close one whose request it goes on to serve, and the client sends that request again. Here a connection is idle only
// while no byte of a request has been read, and once its close is decided no byte is read any more.
type clientConns struct {
	net.Listener
	log *slog.Logger

	mu sync.Mutex
	// changed is signaled when a connection may have made room, or has ended.
	changed sync.Cond

	// The limits: see ClientLimits.

	maxOpen     int
	maxIdle     int
	maxOverflow int

	open map[*clientConn]bool
	// silent are the connections that nothing was ever read from, the oldest first.
	silent list.List
	// idle are the connections between two requests, the longest idle first.
	idle list.List
	// lingering are the connections that wait for their last response to arrive, the longest first.
	lingering list.List
	// streaming counts the connections with a message too long to be buffered.
	streaming int

	// listenerClosed: nothing is accepted any more.
	listenerClosed bool
	// draining: connections are closed as they fall idle.
	draining bool
	// drainEnded: the time of the graceful shutdown is over, and nothing lingers any more.
	drainEnded bool
	// handOff sends an idle connection to another process of the node; nil: it is closed instead.
	handOff func(syscall.Conn) error
	// aborted: nothing is read or written any more. It is set under mu.
	aborted atomic.Bool
}

func newClientConns(l net.Listener, limits ClientLimits, log *slog.Logger) *clientConns {
	cs := &clientConns{Listener: l, log: log, open: map[*clientConn]bool{}}
	cs.changed.L = &cs.mu
	cs.setLimits(limits)
	return cs
}

// Accept implements net.Listener. It fails for good only with the listener: a connection that cannot be added is
// skipped.
func (cs *clientConns) Accept() (net.Conn, error) {
	for {
		conn, err := cs.Listener.Accept()
		if err != nil {
			return nil, classifyAcceptError(err)
		}
		if c, err := cs.add(conn); err == nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (cs *clientConns) Close() error {
	cs.mu.Lock()
	cs.listenerClosed = true
	cs.changed.Broadcast()
	cs.mu.Unlock()
	return cs.Listener.Close()
}

// classifyAcceptError marks errors of accept(2) that are those of the one connection, or of a moment's shortage, as
// temporary: http.Server then accepts again after a pause. By itself it does so for a shortage of descriptors alone.
func classifyAcceptError(err error) error {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return err
	}
	switch errno {
	case syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM,
		syscall.ENOBUFS, syscall.ENOMEM:
		return temporaryError{err}
	}
	return err
}

// temporaryError is a net.Error after which accepting goes on.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// errClientGone says that a connection has no other side any more.
var errClientGone = errors.New("client: it has gone")

// add takes up a connection that was accepted, here or by another process. It closes one that it cannot take.
func (cs *clientConns) add(conn net.Conn) (*clientConn, error) {
	addr := conn.RemoteAddr()
	if addr == nil { // handed over after its client had reset it
		_ = conn.Close()
		return nil, errClientGone
	}
	cs.makeRoom()
	wrapped, err := wrapConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("client: %w", err)
	}
	c := &clientConn{Conn: wrapped, conns: cs, requestStart: time.Now()}
	c.deadlines.init()
	c.beforeRead = c.checkReadable
	c.afterRead = c.noteRead
	c.log = newConnLog(cs.log, "client", addr.String(), func() { cs.remove(c) })
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.aborted.Load() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	cs.open[c] = true
	c.moveTo(&cs.silent)
	return c, nil
}

// remove forgets a connection that has ended.
func (cs *clientConns) remove(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.moveTo(nil)
	cs.endStreaming(c)
	delete(cs.open, c)
	cs.changed.Broadcast()
}

// connState is the http.Server's hook. http.Server calls it with StateIdle when a connection has carried its
// response.
func (cs *clientConns) connState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || s != http.StateIdle {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.endStreaming(c)
	c.finishRequest()
	if c.state.idle() && cs.open[c] {
		cs.addIdle(c)
	}
	cs.changed.Broadcast()
}

// addIdle keeps a connection that has fallen idle, or closes one that may not be kept. The lock is held.
func (cs *clientConns) addIdle(c *clientConn) {
	c.moveTo(&cs.idle)
	switch {
	case cs.draining:
		if !cs.hasNextRequest(c) {
			cs.closeConns(reasonDrain, c)
		}
	case cs.idle.Len() > cs.maxIdle:
		if longest := cs.longestIdle(); longest != nil {
			cs.closeConns(reasonEvicted, longest)
		}
	}
}

// closeConns closes connections on which no byte of a request was read, or hands them off. The lock is held, but
// for the closing itself.
func (cs *clientConns) closeConns(reason closeReason, conns ...*clientConn) {
	handOff := cs.handOff
	for _, c := range conns {
		c.state.decideClose(handOff != nil)
		c.moveTo(nil)
	}
	cs.mu.Unlock()
	defer cs.mu.Lock()
	for _, c := range conns {
		if handOff != nil {
			c.handOffTo(handOff)
		}
		c.log.setReason(reason)
		_ = c.closeNow(reason)
	}
}

// startStreaming notes a message too long to be buffered on a connection, until that has carried its response.
func (c *clientConn) startStreaming() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.streaming && c.conns.open[c] {
		c.streaming = true
		c.conns.streaming++
	}
}

// endStreaming notes that no such message is on a connection any more. The lock is held.
func (cs *clientConns) endStreaming(c *clientConn) {
	if c.streaming {
		c.streaming = false
		cs.streaming--
	}
}

// count is how many connections are open.
func (cs *clientConns) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// String counts the client connections by what they do, on one line.
func (cs *clientConns) String() string {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	reading, calls, ending := 0, 0, 0
	for c := range cs.open {
		switch {
		case c.state.closing():
			ending++
		case c.state.request == requestComplete:
			calls++
		case c.state.request == readingRequest:
			reading++
		}
	}
	return fmt.Sprintf("open=%d silent=%d idle=%d reading=%d calls=%d ending=%d",
		len(cs.open), cs.silent.Len(), cs.idle.Len(), reading, calls, ending)
}
