package transport

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// overflow is how many client connections beyond the bound are taken to be turned away.
const overflow = 32

// clients bounds the client connections. When they are as many as may be, the
// one idle for the longest makes room, which costs its client a new connection
// at most. If none is idle, a few more are taken for a quick reject,
// since what a client has sent on a connection in the listener's queue counts as
// taken too; beyond that, new ones wait.
type clients struct {
	net.Listener
	log *slog.Logger
	max int

	mu              sync.Mutex
	room            sync.Cond
	open            map[*clientConn]*list.Element // in idle, or nil
	idle            list.List                     // the longest idle first
	closed, leaving bool
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
	k := &clientConn{Conn: conn, all: c}
	k.life = newLife(c.log, "client", conn.RemoteAddr().String(), func() { c.forget(k) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[k] = nil
	return k, nil
}

// crowded reports whether calls must be turned away to keep the bound.
func (c *clients) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.max
}

// leave notes that the node closes client connections from now on.
func (c *clients) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// why is the reason of a connection that the node closes.
func (c *clients) why() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return "drain"
	}
	return "node-closed"
}

func (c *clients) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) >= c.max && !c.closed {
		first := c.idle.Front()
		if first == nil {
			if len(c.open) < c.max+overflow {
				return
			}
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
	all  *clients
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
	c.life.end(c.all.why())
	return c.Conn.Close()
}
