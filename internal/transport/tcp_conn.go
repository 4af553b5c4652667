package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpConn is a Conn over TCP. All system calls for features that net.TCPConn lacks are in this type.
type tcpConn struct {
	*net.TCPConn
	raw syscall.RawConn
	// stateKnown reports whether the kernel reports the state of the connection.
	stateKnown bool
	// quietBefore is sinceArrival when the connection was wrapped.
	quietBefore time.Duration

	// The arguments and results of ReadUnderLock, which is not called concurrently. They are fields because it is called
	// for every request and would allocate each of them.

	b             []byte
	mu            sync.Locker
	beforeRead    func() error
	afterRead     func(n int)
	tryReadFunc   func(fd uintptr) bool // the method value tryRead
	n             int
	beforeReadErr error // error of beforeRead
	readErr       error // error of the system call

	// The results of Peek, which is called for every request, too.

	peekMu   sync.Mutex
	peekFunc func(fd uintptr) // the method value peekAt
	peekBuf  [1]byte
	peeked   int
	peekErr  error // error of the system call
}

func newTCPConn(c *net.TCPConn) (*tcpConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("connection: %w", err)
	}
	t := &tcpConn{TCPConn: c, raw: raw}
	t.tryReadFunc = t.tryRead
	t.peekFunc = t.peekAt
	info := t.info()
	t.stateKnown = tcpState(info.State) == tcpEstablished
	if t.stateKnown {
		t.quietBefore = quietTime(info)
	}
	return t, nil
}

// info returns the state of the connection according to the kernel; zero if the kernel does not report it.
func (t *tcpConn) info() (info unix.TCPInfo) {
	_ = t.raw.Control(func(fd uintptr) {
		if reported, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *reported
		}
	})
	return info
}

// sinceArrival returns the time since bytes last arrived, or since the connection was established if none have; 0 if
// the kernel does not report it.
func (t *tcpConn) sinceArrival() time.Duration {
	if !t.stateKnown {
		return 0
	}
	return quietTime(t.info())
}

// quietTime returns the time since the last arrival of bytes that info reports.
func quietTime(info unix.TCPInfo) time.Duration {
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// tcpState is the state of a TCP connection as in TCP_INFO (include/net/tcp_states.h).
type tcpState int

const (
	tcpUnknown     tcpState = 0
	tcpEstablished tcpState = 1
	tcpClosed      tcpState = 7 // also after a reset
	tcpCloseWait   tcpState = 8
)

// tcpStateMask selects the state of the connection, the first byte of TCP_INFO.
const tcpStateMask = 0xff

// state returns the state of the connection according to the kernel; tcpUnknown if the kernel does not report it.
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

// HasEnded implements Conn. It is always false if TCP_INFO did not report ESTABLISHED when the connection was wrapped,
// since an emulated socket API may not report the state.
func (t *tcpConn) HasEnded() bool {
	if !t.stateKnown {
		return false
	}
	state := t.state()
	return state == tcpCloseWait || state == tcpClosed
}

// Unread implements Conn.
func (t *tcpConn) Unread() (int, error) { return t.queueSize(unix.TIOCINQ) }

// Unacknowledged implements Conn.
func (t *tcpConn) Unacknowledged() (int, error) { return t.queueSize(unix.TIOCOUTQ) }

// queueSize returns the number of bytes in the kernel's queue that an ioctl request selects.
func (t *tcpConn) queueSize(request uint) (size int, err error) {
	controlErr := t.raw.Control(func(fd uintptr) { size, err = unix.IoctlGetInt(int(fd), request) })
	return size, errors.Join(controlErr, err)
}

// openWindowSegments is the size of a receive window, in segments, from which a sender does not wait for a larger one.
const openWindowSegments = 2

// ReceivesMore implements Conn. It is always false if the kernel does not report the receive window.
func (t *tcpConn) ReceivesMore() bool {
	info := t.info()
	return t.stateKnown && info.Rcv_wnd > 0 && info.Rcv_wnd >= openWindowSegments*info.Rcv_mss
}

// dialTCP is the Dialer of nodes that use sockets. Keep-alive probes are off because attempts notice a silent
// connection earlier.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// ReadUnderLock implements Conn.
func (t *tcpConn) ReadUnderLock(b []byte, mu sync.Locker, beforeRead func() error, afterRead func(n int)) (int, error) {
	t.b = b
	t.mu = mu
	t.beforeRead = beforeRead
	t.afterRead = afterRead
	t.n = 0
	t.beforeReadErr = nil
	t.readErr = nil
	err := t.raw.Read(t.tryReadFunc)
	t.b = nil
	switch {
	case t.beforeReadErr != nil:
		return 0, t.beforeReadErr
	case err != nil:
		return 0, err
	case t.readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: t.LocalAddr(), Addr: t.RemoteAddr(), Err: t.readErr}
	case t.n == 0:
		return 0, io.EOF
	}
	return min(t.n, len(b)), nil
}

// tryRead reads the available bytes and reports whether ReadUnderLock is done.
func (t *tcpConn) tryRead(fd uintptr) (done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beforeReadErr = t.beforeRead()
	if t.beforeReadErr != nil {
		return true
	}
	if len(t.b) == 0 {
		t.n, t.readErr = t.peekInCallback(fd)
		return !errors.Is(t.readErr, syscall.EAGAIN)
	}
	t.n, t.readErr = syscall.Read(int(fd), t.b)
	for errors.Is(t.readErr, syscall.EINTR) {
		t.n, t.readErr = syscall.Read(int(fd), t.b)
	}
	if t.n > 0 {
		t.afterRead(t.n)
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

// peekInCallback is Peek for use within a callback of the raw connection.
func (t *tcpConn) peekInCallback(fd uintptr) (n int, err error) {
	t.peekMu.Lock()
	defer t.peekMu.Unlock()
	t.peekAt(fd)
	return t.peeked, t.peekErr
}

// peekAt peeks at one byte without reading it. The caller must hold peekMu.
func (t *tcpConn) peekAt(fd uintptr) {
	t.peeked, _, t.peekErr = syscall.Recvfrom(int(fd), t.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
}
