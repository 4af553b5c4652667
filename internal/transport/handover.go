package transport

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// HandOver ends a front whose clients another process of the node goes on with,
// on the same listener. It accepts nothing more, gives away each connection on
// which no byte of a request was read, and ends the others with their answer:
// no client finds its connection refused, reset or unread. A connection that
// cannot be given is closed as at any planned end.
func (f *Frontend) HandOver(longest time.Duration, give func(syscall.Conn) error) {
	f.leaving.end(true)
	f.leaving.within(longest)
	ctx, most, stop := f.times(longest)
	defer stop()
	f.clients.Close()
	select {
	case <-f.served: // what was accepted last counts as open by now
	case <-ctx.Done():
	}
	f.clients.giveAway(give)
	if left := f.clients.drain(ctx, most); left > 0 && f.life.Err() == nil {
		f.log.Warn("client connections were open at the end", "left", left)
	}
	f.server.Close()
}

// giveAway has what carries nothing given to another process from now on.
func (c *clients) giveAway(give func(syscall.Conn) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving, c.give = true, give
	c.hurryLingering()
	c.endIdle()
}

// handOn gives a connection whose end is decided to another process.
func (k *clientConn) handOn(give func(syscall.Conn) error) {
	s, ok := k.Conn.(*socket)
	if !ok || give(s.TCPConn) != nil {
		return
	}
	k.life.because("handed-over")
}

// Adopt goes on with a client connection of another process.
func (f *Frontend) Adopt(conn net.Conn) {
	select {
	case f.adopted.conns <- conn:
	case <-f.adopted.closed:
		conn.Close()
	}
}

// adopted is a listener of connections that were accepted elsewhere.
type adopted struct {
	clients *clients
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (a *adopted) Accept() (net.Conn, error) {
	for {
		select {
		case conn := <-a.conns:
			if k, err := a.clients.enter(conn); err == nil {
				return k, nil
			}
		case <-a.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (a *adopted) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

// Addr implements net.Listener.
func (a *adopted) Addr() net.Addr { return a.clients.Addr() }

// ServeAdopted serves what Adopt brings until the front ends.
func (f *Frontend) ServeAdopted() error {
	f.server.Serve(f.adopted)
	return nil
}
