package node

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memory is a network without sockets, for bubbles: real I/O would hold their clock up.
type memory struct {
	mu    sync.Mutex
	ports map[string]chan net.Conn
	ends  []*end
}

func (m *memory) listen(addr string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &port{conns: make(chan net.Conn, 100), closed: make(chan bool), addr: memAddr(addr), memory: m}
	m.ports[addr] = l.conns
	return l, nil
}

func (m *memory) dial(ctx context.Context, addr string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	conns := m.ports[addr]
	if conns == nil {
		return nil, syscall.ECONNREFUSED
	}
	p := &pair{}
	p.change.L = &p.mu
	near, far := &end{pair: p, addr: memAddr(addr)}, &end{pair: p, side: 1, addr: memAddr(addr)}
	m.ends = append(m.ends, near, far)
	conns <- far
	return near, nil
}

// open counts the ends that nobody has closed.
func (m *memory) open() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.ends {
		e.mu.Lock()
		if !e.closed[e.side] {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

type memAddr string

func (memAddr) Network() string  { return "memory" }
func (a memAddr) String() string { return string(a) }

type port struct {
	conns  chan net.Conn
	closed chan bool
	once   sync.Once
	addr   memAddr
	memory *memory
}

func (l *port) Addr() net.Addr { return l.addr }

func (l *port) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *port) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		delete(l.memory.ports, string(l.addr))
	})
	return nil
}

// pair is a connection; each array is by side.
type pair struct {
	mu      sync.Mutex
	change  sync.Cond
	waiting [2][]byte // to be read
	ended   [2]bool   // its sending
	closed  [2]bool
	due     [2]time.Time // of reads
}

type end struct {
	*pair
	side int
	addr memAddr
}

func (e *end) LocalAddr() net.Addr              { return e.addr }
func (e *end) RemoteAddr() net.Addr             { return e.addr }
func (e *end) SetWriteDeadline(time.Time) error { return nil }
func (e *end) SetDeadline(t time.Time) error    { return e.SetReadDeadline(t) }

func (e *end) SetReadDeadline(t time.Time) error {
	return e.set(func() {
		if e.due[e.side] = t; !t.IsZero() {
			time.AfterFunc(time.Until(t), e.change.Broadcast)
		}
	})
}

func (e *end) CloseWrite() error { return e.set(func() { e.ended[e.side] = true }) }

func (e *end) Close() error {
	return e.set(func() { e.ended[e.side], e.closed[e.side] = true, true })
}

func (e *end) set(f func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	e.change.Broadcast()
	return nil
}

func (e *end) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended[e.side] || e.closed[1-e.side] {
		return 0, syscall.EPIPE
	}
	e.waiting[1-e.side] = append(e.waiting[1-e.side], b...)
	e.change.Broadcast()
	return len(b), nil
}

// state says what a read finds. The lock is held.
func (e *end) state() (int, error) {
	switch due := e.due[e.side]; {
	case e.closed[e.side]:
		return 0, net.ErrClosed
	case !due.IsZero() && !time.Now().Before(due):
		return 0, os.ErrDeadlineExceeded
	case len(e.waiting[e.side]) > 0:
		return len(e.waiting[e.side]), nil
	case e.ended[1-e.side]:
		return 0, nil
	}
	return 0, syscall.EAGAIN
}

func (e *end) Peek() (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state()
}

func (e *end) HasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[1-e.side]
}

func (e *end) Read(b []byte) (int, error) {
	return e.ReadGate(b, &sync.Mutex{}, func() error { return nil }, func(int) {})
}

func (e *end) ReadGate(b []byte, mu sync.Locker, open func() error, took func(int)) (int, error) {
	for {
		if n, err := e.take(b, mu, open, took); err != syscall.EAGAIN {
			return n, err
		}
		e.mu.Lock()
		for _, err := e.state(); err == syscall.EAGAIN; _, err = e.state() {
			e.change.Wait()
		}
		e.mu.Unlock()
	}
}

func (e *end) take(b []byte, mu sync.Locker, open func() error, took func(int)) (int, error) {
	mu.Lock()
	defer mu.Unlock()
	if err := open(); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n, err := e.state()
	if err == nil && n == 0 {
		return 0, io.EOF
	} else if n == 0 {
		return 0, err
	}
	if n = copy(b, e.waiting[e.side]); n > 0 {
		e.waiting[e.side] = e.waiting[e.side][n:]
		took(n)
	}
	return n, nil
}
