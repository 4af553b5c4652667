package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// socket is a Conn over TCP. What net.TCPConn does not offer is asked of the kernel, here alone.
type socket struct {
	*net.TCPConn
	raw syscall.RawConn

	// of the one ReadGate that runs; kept here, since it is called for every
	// request and would allocate each of them
	b    []byte
	mu   sync.Locker
	open func() error
	took func(n int)
	take func(fd uintptr) bool // takeGated
	n    int
	shut error // open's
	err  error // the kernel's

	// of Peek, which is called as often
	peeking sync.Mutex
	peek    func(fd uintptr) // peekAt
	one     [1]byte
	ahead   int
	failed  error // the kernel's

	telling bool // the kernel tells the connection's state
}

func newSocket(c *net.TCPConn) (*socket, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("connection: %w", err)
	}
	s := &socket{TCPConn: c, raw: raw}
	s.take, s.peek = s.takeGated, s.peekAt
	s.telling = s.state() == stateEstablished
	return s, nil
}

// States of a connection, as TCP_INFO has them (include/net/tcp_states.h).
const (
	stateUnknown     = 0
	stateEstablished = 1
	stateClose       = 7 // reset, too
	stateCloseWait   = 8
)

// state asks the kernel for the connection's state, which is the first byte of what TCP_INFO gives.
func (s *socket) state() (state int) {
	s.raw.Control(func(fd uintptr) {
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state = info & 0xff
		}
	})
	return state
}

// HasEnded implements Conn. What has never been told to be open is not believed to have ended: sockets may be another
// network's, whose calls look like the kernel's.
func (s *socket) HasEnded() bool {
	state := stateUnknown
	if s.telling {
		state = s.state()
	}
	return state == stateCloseWait || state == stateClose
}

// dialTCP is the Dialer of nodes on sockets. Keep-alive probes are off: what
// falls silent is noticed by its tries, and earlier.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// ReadGate implements Conn.
func (s *socket) ReadGate(b []byte, mu sync.Locker, open func() error, took func(n int)) (int, error) {
	s.b, s.mu, s.open, s.took, s.n, s.shut, s.err = b, mu, open, took, 0, nil, nil
	failed := s.raw.Read(s.take)
	s.b = nil
	switch {
	case s.shut != nil:
		return 0, s.shut
	case failed != nil:
		return 0, failed
	case s.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: s.err}
	case s.n == 0:
		return 0, io.EOF
	}
	return min(s.n, len(b)), nil
}

// takeGated takes what there is to read, and says whether the read is done.
func (s *socket) takeGated(fd uintptr) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut = s.open(); s.shut != nil {
		return true
	}
	if len(s.b) == 0 {
		s.n, s.err = s.lookAhead(fd)
		return s.err != syscall.EAGAIN
	}
	for s.err = syscall.EINTR; s.err == syscall.EINTR; {
		s.n, s.err = syscall.Read(int(fd), s.b)
	}
	if s.n > 0 {
		s.took(s.n)
	}
	return s.err != syscall.EAGAIN
}

// Peek implements Conn.
func (s *socket) Peek() (n int, err error) {
	s.peeking.Lock()
	defer s.peeking.Unlock()
	if err := s.raw.Control(s.peek); err != nil {
		return 0, err
	}
	return s.ahead, s.failed
}

func (s *socket) lookAhead(fd uintptr) (n int, err error) {
	s.peeking.Lock()
	defer s.peeking.Unlock()
	s.peekAt(fd)
	return s.ahead, s.failed
}

func (s *socket) peekAt(fd uintptr) {
	s.ahead, _, s.failed = syscall.Recvfrom(int(fd), s.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}
