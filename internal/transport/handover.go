package transport

import (
	"net"
	"sync"
	"syscall"
)

// HandOver shuts the frontend down while another process of the node takes over its clients on the same listener. The
// frontend accepts no further connections, passes each connection on which no byte of a request was read to handOff,
// and closes the others with their response, so no connection of a client is refused, reset or left unread. A
// connection for which handOff fails is closed as in any graceful shutdown. Each open call may take MaxCallTime.
func (f *Frontend) HandOver(limits ShutdownLimits, handOff func(syscall.Conn) error) {
	calls, streams, stop := f.beginShutdown(limits, true)
	defer stop()
	_ = f.clients.Close()
	select {
	case <-f.serveEnded: // every connection that was accepted is registered as open now
	case <-calls.Done():
	}
	f.clients.startHandOff(handOff)
	f.awaitDrained(calls, streams)
}

// startHandOff makes idle connections be handed off from now on, instead of closed.
func (cs *clientConns) startHandOff(handOff func(syscall.Conn) error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.draining = true
	cs.handOff = handOff
	cs.shortenLingering()
	cs.closeIdle()
}

// handOffTo passes a connection whose close is decided to handOff.
func (c *clientConn) handOffTo(handOff func(syscall.Conn) error) {
	tcp, ok := c.Conn.(*tcpConn)
	if !ok || handOff(tcp.TCPConn) != nil {
		return
	}
	c.log.setReason(reasonHandedOver)
}

// Adopt takes over a client connection that another process of the node has handed off. It closes the connection if the
// frontend has shut down.
func (f *Frontend) Adopt(conn net.Conn) {
	select {
	case f.adopted.conns <- conn:
	case <-f.adopted.closed:
		_ = conn.Close()
	}
}

// ServeAdopted serves the connections passed to Adopt until the frontend shuts down.
func (f *Frontend) ServeAdopted() error {
	_ = f.server.Serve(f.adopted)
	return nil
}

// adoptedListener is a net.Listener whose connections were accepted by another process.
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
