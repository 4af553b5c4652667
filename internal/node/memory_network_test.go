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

// memoryNetwork is an in-memory network without sockets. Tests with synctest need it, since the virtual clock does not
// advance while a goroutine waits for real I/O.
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
	shared := &connState{}
	shared.changed.L = &shared.mu
	local := &memoryConn{connState: shared, addr: memoryAddr(addr)}
	remote := &memoryConn{connState: shared, side: 1, addr: memoryAddr(addr)}
	m.conns = append(m.conns, local, remote)
	conns <- remote
	return local, nil
}

// openConns returns the number of connection ends that are not closed.
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

// connState is the state of a connection that its two ends share. Each array has one element per side.
type connState struct {
	mu         sync.Mutex
	changed    sync.Cond
	unread     [2][]byte
	sendClosed [2]bool
	closed     [2]bool
	deadline   [2]time.Time // read deadlines
}

// memoryConn is one end of a connection. It implements transport.Conn.
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
	return c.update(func() {
		c.deadline[c.side] = t
		if !t.IsZero() {
			time.AfterFunc(time.Until(t), c.changed.Broadcast)
		}
	})
}

func (c *memoryConn) CloseWrite() error { return c.update(func() { c.sendClosed[c.side] = true }) }

func (c *memoryConn) Close() error {
	return c.update(func() {
		c.sendClosed[c.side] = true
		c.closed[c.side] = true
	})
}

func (c *memoryConn) update(f func()) error {
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

// readable returns the number of bytes that can be read, or the error that a read returns: EAGAIN if it would block.
// The caller holds the lock. 0 bytes without an error mean the end of the stream.
func (c *memoryConn) readable() (int, error) {
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
	return c.readable()
}

func (c *memoryConn) Unread() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread[c.side]), nil
}

func (c *memoryConn) ReceivesMore() bool { return true }

func (c *memoryConn) Unacknowledged() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread[1-c.side]), nil
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
		if n, err := c.readAvailable(b, mu, open, took); !errors.Is(err, syscall.EAGAIN) {
			return n, err
		}
		c.mu.Lock()
		for _, err := c.readable(); errors.Is(err, syscall.EAGAIN); _, err = c.readable() {
			c.changed.Wait()
		}
		c.mu.Unlock()
	}
}

func (c *memoryConn) readAvailable(b []byte, mu sync.Locker, open func() error, took func(int)) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	if err := open(); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.readable()
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
