package node

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memoryNetwork is a network without sockets, for synctest: real I/O would stop its virtual clock.
type memoryNetwork struct {
	mu       sync.Mutex
	incoming map[string]chan net.Conn // by listening address
	conns    []*memoryConn
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{incoming: map[string]chan net.Conn{}}
}

func (m *memoryNetwork) listen(addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &memoryListener{conns: make(chan net.Conn, 100), closed: make(chan bool), addr: memoryAddr(addr), network: m}
	m.incoming[addr] = l.conns
	return l, nil
}

func (m *memoryNetwork) dial(ctx context.Context, addr string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := m.incoming[addr]
	if conns == nil {
		return nil, syscall.ECONNREFUSED
	}
	p := &connState{}
	p.changed.L = &p.mu
	near := &memoryConn{connState: p, addr: memoryAddr(addr)}
	far := &memoryConn{connState: p, side: 1, addr: memoryAddr(addr)}
	m.conns = append(m.conns, near, far)
	conns <- far
	return near, nil
}

// openConns counts the ends of connections that nobody has closed.
func (m *memoryNetwork) openConns() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.mu.Lock()
		if !c.closed[c.side] {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	conns   chan net.Conn
	closed  chan bool
	once    sync.Once
	addr    memoryAddr
	network *memoryNetwork
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.incoming, string(l.addr))
	})
	return nil
}

// connState is the state of a connection; each array has an element for each side.
type connState struct {
	mu         sync.Mutex
	changed    sync.Cond
	unread     [2][]byte
	sendClosed [2]bool
	closed     [2]bool
	deadline   [2]time.Time // of reads
}

// memoryConn is one side of a connection. It implements transport.Conn.
type memoryConn struct {
	*connState
	side int
	addr memoryAddr
}

func (c *memoryConn) LocalAddr() net.Addr              { return c.addr }
func (c *memoryConn) RemoteAddr() net.Addr             { return c.addr }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (c *memoryConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }

func (c *memoryConn) SetReadDeadline(t time.Time) error {
	return c.set(func() {
		c.deadline[c.side] = t
		if !t.IsZero() {
			time.AfterFunc(time.Until(t), c.changed.Broadcast)
		}
	})
}

func (c *memoryConn) CloseWrite() error { return c.set(func() { c.sendClosed[c.side] = true }) }

func (c *memoryConn) Close() error {
	return c.set(func() {
		c.sendClosed[c.side] = true
		c.closed[c.side] = true
	})
}

func (c *memoryConn) set(f func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.changed.Broadcast()
	return nil
}

func (c *memoryConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendClosed[c.side] || c.closed[1-c.side] {
		return 0, syscall.EPIPE
	}
	c.unread[1-c.side] = append(c.unread[1-c.side], b...)
	c.changed.Broadcast()
	return len(b), nil
}

// state returns how much a read finds, or its error. The lock is held.
func (c *memoryConn) state() (int, error) {
	deadline := c.deadline[c.side]
	switch {
	case c.closed[c.side]:
		return 0, net.ErrClosed
	case !deadline.IsZero() && !time.Now().Before(deadline):
		return 0, os.ErrDeadlineExceeded
	case len(c.unread[c.side]) > 0:
		return len(c.unread[c.side]), nil
	case c.sendClosed[1-c.side]:
		return 0, nil
	}
	return 0, syscall.EAGAIN
}

func (c *memoryConn) Peek() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

func (c *memoryConn) HasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sendClosed[1-c.side]
}

func (c *memoryConn) Read(b []byte) (int, error) {
	return c.ReadUnderLock(b, &sync.Mutex{}, func() error { return nil }, func(int) {})
}

func (c *memoryConn) ReadUnderLock(b []byte, mu sync.Locker, open func() error, took func(int)) (int, error) {
	for {
		if n, err := c.take(b, mu, open, took); !errors.Is(err, syscall.EAGAIN) {
			return n, err
		}
		c.mu.Lock()
		for _, err := c.state(); errors.Is(err, syscall.EAGAIN); _, err = c.state() {
			c.changed.Wait()
		}
		c.mu.Unlock()
	}
}

func (c *memoryConn) take(b []byte, mu sync.Locker, open func() error, took func(int)) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	if err := open(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.state()
	if err == nil && n == 0 {
		return 0, io.EOF
	} else if n == 0 {
		return 0, err
	}
	n = copy(b, c.unread[c.side])
	if n > 0 {
		c.unread[c.side] = c.unread[c.side][n:]
		took(n)
	}
	return n, nil
}
