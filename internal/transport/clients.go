package transport

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// clients bounds the client connections. When they are as many as may be, the
// one idle for the longest makes room, which costs its client a new connection
// at most; if none is idle, a new one waits and the rest in the listener's queue.
type clients struct {
	net.Listener
	log *slog.Logger
	max int

	mu     sync.Mutex
	room   sync.Cond
	open   map[*clientConn]*list.Element // in idle, or nil
	idle   list.List                     // the longest idle first
	closed bool
}

func newClients(l net.Listener, most int, log *slog.Logger) *clients {
	c := &clients{Listener: l, max: max(most, 1), log: log, open: map[*clientConn]*list.Element{}}
	c.room.L = &c.mu
	return c
}

// Accept implements net.Listener.
func (c *clients) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.makeRoom()
	k := &clientConn{Conn: conn}
	k.life = newLife(c.log, "client", conn.RemoteAddr().String(), func() { c.forget(k) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[k] = nil
	return k, nil
}

func (c *clients) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) >= c.max && !c.closed { // the new one waits here
		first := c.idle.Front()
		if first == nil {
			c.room.Wait()
			continue
		}
		k := c.idle.Remove(first).(*clientConn)
		c.open[k] = nil
		c.mu.Unlock()
		k.life.because("evicted")
		k.Close()
		c.mu.Lock()
	}
}

// Close implements net.Listener.
func (c *clients) Close() error {
	c.mu.Lock()
	c.closed = true
	c.room.Broadcast()
	c.mu.Unlock()
	return c.Listener.Close()
}

func (c *clients) forget(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[k]; e != nil {
		c.idle.Remove(e)
	}
	delete(c.open, k)
	c.room.Broadcast()
}

// state follows http.Server's connection states.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	k, ok := conn.(*clientConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, open := c.open[k]
	if !open {
		return
	}
	switch {
	case s == http.StateIdle && e == nil:
		c.open[k] = c.idle.PushBack(k)
		c.room.Broadcast()
	case s != http.StateIdle && e != nil:
		c.idle.Remove(e)
		c.open[k] = nil
	}
}

// clientConn is a client connection.
type clientConn struct {
	net.Conn
	life *life
}

func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.life.read(err, "client-closed", "client-reset")
	return n, err
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.life.because("client-gone")
	}
	return n, err
}

func (c *clientConn) Close() error {
	c.life.end("node-closed")
	return c.Conn.Close()
}
