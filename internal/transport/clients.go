package transport

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// overflow is how many client connections beyond the bound are taken to be turned away.
const overflow = 32

// clients bounds the client connections and closes them at need. When they are
// as many as may be, the one idle for the longest makes room, which costs its
// client a new connection at most. If none is idle, a few more are taken for a
// quick reject, since what a client has sent on a connection in the listener's
// queue counts as taken too; beyond that, new ones wait.
//
// http.Server could close idle connections itself, but it holds one for idle
// until a request's head is read: it may close one whose request it goes on to
// serve, and the client sends that request again. Here a connection is idle
// only while no byte of a request has been read, and once its end is decided
// no byte is read any more.
type clients struct {
	net.Listener
	log *slog.Logger
	max int

	mu      sync.Mutex
	changed sync.Cond
	open    map[*clientConn]bool
	idle    list.List // the longest idle first
	closed  bool      // the listener
	leaving bool      // the node closes what is idle
}

func newClients(l net.Listener, most int, log *slog.Logger) *clients {
	c := &clients{Listener: l, max: max(most, 1), log: log, open: map[*clientConn]bool{}}
	c.changed.L = &c.mu
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
	c.open[k] = true
	return k, nil
}

func (c *clients) makeRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) >= c.max && !c.closed {
		if first := c.idle.Front(); first != nil {
			c.end("evicted", first.Value.(*clientConn))
		} else if len(c.open) < c.max+overflow {
			return
		} else {
			c.changed.Wait()
		}
	}
}

// end closes connections on which no byte of a request was read. The lock is
// held, but for the closing itself.
func (c *clients) end(reason string, some ...*clientConn) {
	for _, k := range some {
		k.gone = true
		c.setIdle(k, false)
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	for _, k := range some {
		k.life.because(reason)
		k.Close()
	}
}

func (c *clients) setIdle(k *clientConn, idle bool) {
	switch {
	case idle && k.place == nil:
		k.place = c.idle.PushBack(k)
	case !idle && k.place != nil:
		c.idle.Remove(k.place)
		k.place = nil
	}
}

// crowded reports whether calls must be turned away to keep the bound.
func (c *clients) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.max
}

// leaves reports whether the node closes client connections by now.
func (c *clients) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// leave closes every connection that carries nothing. Later ones end with
// their answer.
func (c *clients) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.endIdle()
}

// drain goes on with that until none is open or ctx ends, and returns how many are.
func (c *clients) drain(ctx context.Context) int {
	defer context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.open) > 0 && ctx.Err() == nil {
		if !c.endIdle() {
			c.changed.Wait()
		}
	}
	return len(c.open)
}

// endIdle ends what carries nothing and reports whether there was any. The lock is held.
func (c *clients) endIdle() bool {
	var some []*clientConn
	for k := range c.open {
		if !k.active && !k.gone {
			some = append(some, k)
		}
	}
	if len(some) > 0 {
		c.end("drain", some...)
	}
	return len(some) > 0
}

// Close implements net.Listener.
func (c *clients) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Listener.Close()
}

func (c *clients) forget(k *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdle(k, false)
	delete(c.open, k)
	c.changed.Broadcast()
}

// state hears from http.Server when a connection has carried its answer.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	k, ok := conn.(*clientConn)
	if !ok || s != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.active, k.whole, k.next = k.next, false, false
	c.setIdle(k, !k.active && c.open[k])
	c.changed.Broadcast()
}

// clientConn is a client connection. Its marks belong to the lock of all.
type clientConn struct {
	net.Conn
	life *life
	all  *clients

	place  *list.Element // in the list of idle ones; nil: not there
	active bool          // a byte of an unanswered request has been read
	whole  bool          // that request has been read whole
	next   bool          // a byte of the one after it has been read
	gone   bool          // its end is decided
	raw    framing
}

// Read implements net.Conn. Bytes that come once the end is decided are not
// taken: their request must not be served, since its client sends it again.
func (k *clientConn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	k.life.read(err, "client-closed", "client-reset")
	if n == 0 {
		return n, err
	}
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	if k.gone {
		return 0, net.ErrClosed
	}
	k.active, k.next = true, k.next || k.whole
	k.all.setIdle(k, false)
	k.raw.read(b[:n])
	return n, err
}

// requestBegins notes that a request's head was read, and reports whether it
// may be served. A pipelined one was read along with the request before it, so
// that its connection counted as idle until now, and may have been ended.
func (k *clientConn) requestBegins() bool {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	k.active = true
	k.all.setIdle(k, false)
	return !k.gone
}

// framed says whether the head of the request that is read leaves any doubt
// about where it ends, and whether the connection must end with its answer.
func (k *clientConn) framed() (torn, last bool) {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	return k.raw.torn, k.raw.over
}

// requestRead notes that all bytes from now on are of the next request.
func (k *clientConn) requestRead() {
	k.all.mu.Lock()
	defer k.all.mu.Unlock()
	k.whole = true
}

// Write implements net.Conn.
func (k *clientConn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	if err != nil {
		k.life.because("client-gone")
	}
	return n, err
}

// CloseWrite lets http.Server end a connection on which bytes are still unread
// without a reset, which could overtake the answer.
func (k *clientConn) CloseWrite() error {
	if c, ok := k.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (k *clientConn) Close() error {
	reason := "node-closed"
	if k.all.leaves() {
		reason = "drain"
	}
	k.life.end(reason)
	return k.Conn.Close()
}
