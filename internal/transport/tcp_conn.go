package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
)

// tcpConn is a Conn over TCP. What net.TCPConn does not offer is asked of the kernel, here alone.
type tcpConn struct {
	*net.TCPConn
	raw syscall.RawConn
	// stateKnown: the kernel tells the connection's state.
	stateKnown bool

	// The arguments and results of the one ReadGate that runs. They are kept here, since it is called for every request
	// and would allocate each of them.

	b          []byte
	mu         sync.Locker
	beforeTake func() error
	afterTake  func(n int)
	takeFunc   func(fd uintptr) bool // takeGated
	n          int
	gateErr    error // of beforeTake
	readErr    error // of the kernel

	// The results of Peek, which is called as often.

	peekMu   sync.Mutex
	peekFunc func(fd uintptr) // peekAt
	peekBuf  [1]byte
	peeked   int
	peekErr  error // of the kernel
}

func newTCPConn(c *net.TCPConn) (*tcpConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("connection: %w", err)
	}
	t := &tcpConn{TCPConn: c, raw: raw}
	t.takeFunc = t.takeGated
	t.peekFunc = t.peekAt
	t.stateKnown = t.state() == tcpEstablished
	return t, nil
}

// tcpState is the state of a connection, as TCP_INFO has it (include/net/tcp_states.h).
type tcpState int

const (
	tcpUnknown     tcpState = 0
	tcpEstablished tcpState = 1
	tcpClosed      tcpState = 7 // reset, too
	tcpCloseWait   tcpState = 8
)

// tcpStateMask selects the connection's state, the first byte of what TCP_INFO gives.
const tcpStateMask = 0xff

// state asks the kernel for the connection's state.
func (t *tcpConn) state() tcpState {
	state := tcpUnknown
	_ = t.raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = tcpState(info & tcpStateMask)
		}
	})
	return state
}

// HasEnded implements Conn. If TCP_INFO did not say ESTABLISHED when the connection was wrapped, it is always false: an
// emulated socket API may not report the state.
func (t *tcpConn) HasEnded() bool {
	if !t.stateKnown {
		return false
	}
	state := t.state()
	return state == tcpCloseWait || state == tcpClosed
}

// dialTCP is the Dialer of nodes on sockets. Keep-alive probes are off: a connection that falls silent is noticed
// by its attempts, and earlier.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// ReadGate implements Conn.
func (t *tcpConn) ReadGate(b []byte, mu sync.Locker, open func() error, took func(n int)) (int, error) {
	t.b = b
	t.mu = mu
	t.beforeTake = open
	t.afterTake = took
	t.n = 0
	t.gateErr = nil
	t.readErr = nil
	err := t.raw.Read(t.takeFunc)
	t.b = nil
	switch {
	case t.gateErr != nil:
		return 0, t.gateErr
	case err != nil:
		return 0, err
	case t.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: t.LocalAddr(), Addr: t.RemoteAddr(), Err: t.readErr}
	case t.n == 0:
		return 0, io.EOF
	}
	return min(t.n, len(b)), nil
}

// takeGated takes what there is to read, and says whether the read is done.
func (t *tcpConn) takeGated(fd uintptr) (done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateErr = t.beforeTake()
	if t.gateErr != nil {
		return true
	}
	if len(t.b) == 0 {
		t.n, t.readErr = t.lookAhead(fd)
		return !errors.Is(t.readErr, syscall.EAGAIN)
	}
	t.n, t.readErr = syscall.Read(int(fd), t.b)
	for errors.Is(t.readErr, syscall.EINTR) {
		t.n, t.readErr = syscall.Read(int(fd), t.b)
	}
	if t.n > 0 {
		t.afterTake(t.n)
	}
	return !errors.Is(t.readErr, syscall.EAGAIN)
}

// Peek implements Conn.
func (t *tcpConn) Peek() (n int, err error) {
	t.peekMu.Lock()
	defer t.peekMu.Unlock()
	if err := t.raw.Control(t.peekFunc); err != nil {
		return 0, err
	}
	return t.peeked, t.peekErr
}

// lookAhead is Peek within a call on the raw connection.
func (t *tcpConn) lookAhead(fd uintptr) (n int, err error) {
	t.peekMu.Lock()
	defer t.peekMu.Unlock()
	t.peekAt(fd)
	return t.peeked, t.peekErr
}

// peekAt asks the kernel for a byte, and leaves it there. The lock of peeks is held.
func (t *tcpConn) peekAt(fd uintptr) {
	t.peeked, _, t.peekErr = syscall.Recvfrom(int(fd), t.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}
