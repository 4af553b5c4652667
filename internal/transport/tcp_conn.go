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
type tcpConn struct {
	*net.TCPConn
	raw syscall.RawConn

	// of the one ReadGate that runs; kept here, since it is called for every
	// request and would allocate each of them
	b          []byte
	mu         sync.Locker
	beforeTake func() error
	afterTake  func(n int)
	takeFunc   func(fd uintptr) bool // takeGated
	n          int
	gateErr    error // open's
	readErr    error // the kernel's

	// of Peek, which is called as often
	peekMu   sync.Mutex
	peekFunc func(fd uintptr) // peekAt
	peekBuf  [1]byte
	peeked   int
	peekErr  error // the kernel's

	stateKnown bool // the kernel tells the connection's state
}

func newTCPConn(c *net.TCPConn) (*tcpConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("connection: %w", err)
	}
	s := &tcpConn{TCPConn: c, raw: raw}
	s.takeFunc, s.peekFunc = s.takeGated, s.peekAt
	s.stateKnown = s.state() == stateEstablished
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
func (s *tcpConn) state() (state int) {
	s.raw.Control(func(fd uintptr) {
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state = info & 0xff
		}
	})
	return state
}

// HasEnded implements Conn. What has never been told to be open is not believed to have ended: sockets may be another
// network's, whose calls look like the kernel's.
func (s *tcpConn) HasEnded() bool {
	state := stateUnknown
	if s.stateKnown {
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
func (s *tcpConn) ReadGate(b []byte, mu sync.Locker, open func() error, took func(n int)) (int, error) {
	s.b, s.mu, s.beforeTake, s.afterTake, s.n, s.gateErr, s.readErr = b, mu, open, took, 0, nil, nil
	failed := s.raw.Read(s.takeFunc)
	s.b = nil
	switch {
	case s.gateErr != nil:
		return 0, s.gateErr
	case failed != nil:
		return 0, failed
	case s.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: s.readErr}
	case s.n == 0:
		return 0, io.EOF
	}
	return min(s.n, len(b)), nil
}

// takeGated takes what there is to read, and says whether the read is done.
func (s *tcpConn) takeGated(fd uintptr) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gateErr = s.beforeTake(); s.gateErr != nil {
		return true
	}
	if len(s.b) == 0 {
		s.n, s.readErr = s.lookAhead(fd)
		return s.readErr != syscall.EAGAIN
	}
	for s.readErr = syscall.EINTR; s.readErr == syscall.EINTR; {
		s.n, s.readErr = syscall.Read(int(fd), s.b)
	}
	if s.n > 0 {
		s.afterTake(s.n)
	}
	return s.readErr != syscall.EAGAIN
}

// Peek implements Conn.
func (s *tcpConn) Peek() (n int, err error) {
	s.peekMu.Lock()
	defer s.peekMu.Unlock()
	if err := s.raw.Control(s.peekFunc); err != nil {
		return 0, err
	}
	return s.peeked, s.peekErr
}

func (s *tcpConn) lookAhead(fd uintptr) (n int, err error) {
	s.peekMu.Lock()
	defer s.peekMu.Unlock()
	s.peekAt(fd)
	return s.peeked, s.peekErr
}

func (s *tcpConn) peekAt(fd uintptr) {
	s.peeked, _, s.peekErr = syscall.Recvfrom(int(fd), s.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}
