package transport

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// HandOver shuts the frontend down while another process of the node takes its clients over, on the same listener.
// It accepts nothing more, hands off each connection on which no byte of a request was read, and closes the others
// with their response: no client finds its connection refused, reset or unread. A connection that handOff cannot
// send is closed as at any graceful shutdown. Calls may take maxCallTime.
func (f *Frontend) HandOver(maxCallTime time.Duration, handOff func(syscall.Conn) error) {
	f.drain.beginShutdown(true)
	f.drain.setCallTime(maxCallTime)
	calls, streams, stop := f.shutdownContexts(maxCallTime)
	defer stop()
	_ = f.clients.Close()
	select {
	case <-f.serveEnded: // what was accepted last counts as open by now
	case <-calls.Done():
	}
	f.clients.startHandOff(handOff)
	f.awaitDrained(calls, streams)
}

// startHandOff has idle connections handed off from now on, in place of being closed.
func (cs *clientConns) startHandOff(handOff func(syscall.Conn) error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.handOff = handOff
	cs.shortenLingering()
	cs.closeIdle()
}

// handOffTo hands off a connection whose close is decided.
func (c *clientConn) handOffTo(handOff func(syscall.Conn) error) {
	tcp, ok := c.Conn.(*tcpConn)
	if !ok || handOff(tcp.TCPConn) != nil {
		return
	}
	c.log.setReason(reasonHandedOver)
}

// Adopt takes over a client connection that another process of the node has handed off. It closes the connection if
// the frontend has shut down.
func (f *Frontend) Adopt(conn net.Conn) {
	select {
	case f.adopted.conns <- conn:
	case <-f.adopted.closed:
		_ = conn.Close()
	}
}

// ServeAdopted serves what Adopt brings until the frontend shuts down.
func (f *Frontend) ServeAdopted() error {
	_ = f.server.Serve(f.adopted)
	return nil
}

// adoptedListener is a listener of connections that were accepted by another process.
type adoptedListener struct {
	clients *clientConns
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *adoptedListener) Accept() (net.Conn, error) {
	for {
		select {
		case conn := <-l.conns:
			if c, err := l.clients.add(conn); err == nil {
				return c, nil
			}
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *adoptedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *adoptedListener) Addr() net.Addr { return l.clients.Addr() }
