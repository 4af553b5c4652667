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

// clientConns is the listener of a Frontend and owns the state of its client connections.
//
// http.Server could close idle connections itself, but it treats a connection as idle until the head of a request has
// been read. It may therefore close a connection and still serve the request that was being read, and the client sends
// that request again. In clientConns a connection is idle only while no byte of a request has been read, and once its
// close is decided no further byte is read.
type clientConns struct {
	net.Listener
	log    *slog.Logger
	memory *MemoryBudget // charged for heads; nil: their memory is not bounded
	// discardBuffers holds the buffers of lingering connections, while these have bytes to discard.
	discardBuffers sync.Pool

	// pacer gives turns to connections that use up their allowance; paused is the number of their pauses.
	pacer  requestPacer
	paused atomic.Int64

	mu sync.Mutex
	// changed is signaled when a connection may have become evictable or has ended.
	changed sync.Cond

	// The limits of ClientLimits, in connections.

	maxOpen     int
	maxIdle     int
	maxOverflow int

	open map[*clientConn]bool
	// silent contains the connections from which nothing has been read, oldest first.
	silent list.List
	// idle contains the connections between two requests, longest idle first.
	idle list.List
	// lingering contains the connections that wait for their last response to arrive, longest lingering first.
	lingering list.List
	// streaming is the number of connections that carry a message too long to be buffered.
	streaming int

	// lastEviction is the time of the last call of evictStalled that searched for a connection.
	lastEviction time.Time

	// listenerClosed reports whether the listener is closed.
	listenerClosed bool
	// draining reports whether connections are closed as soon as they are idle.
	draining bool
	// drainEnded reports whether the time of the graceful shutdown has elapsed. No connection lingers from then on.
	drainEnded bool
	// handOff sends an idle connection to another process of the node; if nil, the connection is closed instead.
	handOff func(syscall.Conn) error
	// aborted reports whether all reads and writes fail. It is set while mu is held.
	aborted atomic.Bool
}

func newClientConns(l net.Listener, limits ClientLimits, memory *MemoryBudget, log *slog.Logger) *clientConns {
	cs := &clientConns{Listener: l, log: log, memory: memory, open: map[*clientConn]bool{}}
	cs.changed.L = &cs.mu
	cs.setLimits(limits)
	return cs
}

// Accept implements net.Listener. It skips connections that add rejects and fails only with an error of the listener.
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

// classifyAcceptError marks those errors of accept(2) as temporary that concern a single connection or a momentary
// shortage. http.Server accepts again, after a pause, only after a temporary error; without the mark, it would do so
// only after a shortage of descriptors.
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

// temporaryError is a net.Error that is temporary: http.Server continues to accept after it.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// errNoRemoteAddr reports a connection whose remote side has gone.
var errNoRemoteAddr = errors.New("client: connection has no remote address")

// add registers a connection that was accepted by this process or by another. If it returns an error, it has closed
// conn.
func (cs *clientConns) add(conn net.Conn) (*clientConn, error) {
	addr := conn.RemoteAddr()
	if addr == nil { // the client reset the connection before it was handed over
		_ = conn.Close()
		return nil, errNoRemoteAddr
	}
	cs.makeRoom()
	wrapped, err := wrapConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("client: %w", err)
	}
	c := &clientConn{Conn: wrapped, conns: cs, waited: waitedInQueue(wrapped), requestStartedAt: time.Now()}
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

// remove unregisters a connection that has ended.
func (cs *clientConns) remove(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c.moveTo(nil)
	cs.endStreaming(c)
	c.releaseHead()
	delete(cs.open, c)
	cs.changed.Broadcast()
}

// connState is the ConnState hook of http.Server, which calls it with StateIdle when the response to a request has been
// written.
func (cs *clientConns) connState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || s != http.StateIdle {
		return
	}
	cs.endRequest(c)
	c.pauseIfOverAllowance()
}

// endRequest records that the response to a request has been written.
func (cs *clientConns) endRequest(c *clientConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.endStreaming(c)
	c.releaseHead()
	c.finishRequest()
	if c.state.idle() && cs.open[c] {
		cs.addIdle(c)
	}
	cs.changed.Broadcast()
}

// addIdle adds a connection that has become idle to the idle list, or closes connections that must not stay open. The
// caller must hold mu.
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

// closeConns closes or hands off connections on which no byte of a request was read, or rejects the incomplete request
// if it has stalled. The caller must hold mu, which closeConns releases during the closing itself.
func (cs *clientConns) closeConns(reason closeReason, conns ...*clientConn) {
	handOff := cs.handOff
	for _, c := range conns {
		c.state.decideClose(handOff != nil)
		c.moveTo(nil)
		if reason == reasonStalled && handOff == nil {
			c.rejected.Store(true)
		}
	}
	cs.mu.Unlock()
	defer cs.mu.Lock()
	for _, c := range conns {
		if handOff != nil {
			c.handOffTo(handOff)
		}
		c.log.setReason(reason)
		if c.rejected.Load() {
			c.writeRejection(rejection)
		}
		_ = c.closeNow(reason)
	}
}

// startStreaming records that the connection carries a message too long to be buffered. It applies until the response
// has been written.
func (c *clientConn) startStreaming() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.streaming && c.conns.open[c] {
		c.streaming = true
		c.conns.streaming++
	}
}

// endStreaming records that the connection no longer carries a message too long to be buffered. The caller must hold
// mu.
func (cs *clientConns) endStreaming(c *clientConn) {
	if c.streaming {
		c.streaming = false
		cs.streaming--
	}
}

// count returns the number of open connections.
func (cs *clientConns) count() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// String returns the number of connections in each state, on one line.
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
